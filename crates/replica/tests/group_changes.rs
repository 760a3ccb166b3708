//! Searches for orders of membership changes and faults after which the control group loses
//! an accepted change, or never leads again. It drives the consensus and the membership
//! policy without network, disk or clock.

mod explorer;
#[path = "../../consensus/tests/harness/mod.rs"]
mod harness;

use std::{
    any::Any,
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
    panic::{self, AssertUnwindSafe},
    time::Instant,
};

use consensus::Settings;
use explorer::{Model, explore};
use harness::Cluster;
use replica::{ControlHostContact, MembershipPolicy, MembershipSettings};
use types::{DataCentre, MemberId};

/// Hosts of the first group, which tolerates the loss of one disk.
const FORMER: u64 = 3;
const FORMER_COUNT: usize = 3;

/// Steps between two reviews of the membership by the leader.
const REVIEW_STEPS: u64 = 5;

/// Steps in which the group reacts to an event but does not finish: 200 ms.
const SHORT_STEPS: u64 = 10;

/// Steps in which a successor catches up and a silent member is removed: 4 s.
const SETTLE_STEPS: u64 = 200;

/// Steps in which a group leads again after all events have ended: 15 s, the recovery time.
const RECOVERY_STEPS: u64 = 750;

/// Number of states that are searched in a test run. A million states take hours.
const MAX_STATES: usize = 1500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// A host with an empty disk starts at a new address.
    Join,
    /// A host is removed for good, without a notice.
    Remove(MemberId),
    /// A host goes down and loses its disk.
    LoseDisk(MemberId),
    /// The host that lost its disk starts again at its address.
    Return,
    Restart(MemberId),
    Freeze(MemberId),
    Thaw(MemberId),
    /// The links of a host are cut.
    Cut(MemberId),
    Heal,
    /// A change is proposed at each host that leads, and little time passes.
    Propose,
    /// All changes and removals that are due come to their end.
    Settle,
}

/// How often each kind of event may occur.
#[derive(Debug, Clone, Copy)]
struct Limits {
    joins: usize,
    losses: usize,
    disturbances: usize,
}

/// A group with the events so far.
#[derive(Clone)]
struct State {
    cluster: Cluster,
    policy: MembershipPolicy,
    /// When each host was last heard by the others.
    last_heard: BTreeMap<MemberId, Instant>,
    steps: u64,
    next_id: u64,
    /// The ports of all hosts in the order in which they have joined.
    ports: Vec<u16>,
    /// How many of the ports belong to hosts that have had the time to catch up.
    settled: usize,
    /// Number of former hosts that were removed.
    removed: usize,
    /// The host whose disk is lost and its next id, until it starts again.
    down: Option<(MemberId, MemberId)>,
    /// Whether the host whose disk was lost has not had the time to catch up.
    recovering: bool,
    frozen: Option<MemberId>,
    cut: Option<MemberId>,
    limits: Limits,
    /// The invariant of the harness that the last event has violated.
    violation: Option<String>,
}

impl State {
    fn new(limits: Limits, seed: u64) -> Self {
        let cluster = Cluster::with_settings(FORMER, seed, Settings::default());
        let policy = MembershipPolicy::new(MembershipSettings::default());
        let mut state = State {
            cluster,
            policy,
            last_heard: BTreeMap::new(),
            steps: 0,
            next_id: FORMER,
            ports: (1..=FORMER)
                .map(|id| harness::address(MemberId(id)).port())
                .collect(),
            settled: FORMER_COUNT,
            removed: 0,
            down: None,
            recovering: false,
            frozen: None,
            cut: None,
            limits,
            violation: None,
        };
        state.run(SETTLE_STEPS);
        state.propose();
        state
    }

    fn hosts(&self) -> Vec<MemberId> {
        self.cluster.processes.keys().copied().collect()
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.cluster.run_step();
            self.steps += 1;
            if self.steps.is_multiple_of(REVIEW_STEPS) {
                self.review();
            }
        }
    }

    /// Lets each leader propose the change that the policy asks for.
    fn review(&mut self) {
        let now = self.cluster.now;
        for id in self.hosts() {
            let process = &self.cluster.processes[&id];
            if process.member.is_some() && !process.suspended {
                self.last_heard.insert(id, now);
            }
        }
        for id in self.hosts() {
            if !self.leads(id) {
                continue;
            }
            let status = self.cluster.status(id);
            let Some(group) = status.group.filter(|_| !status.change_pending) else {
                continue;
            };
            let contacts = self.contacts_of(id);
            let caught_up = &status.caught_up;
            let change = self
                .policy
                .next_change(id, &group, caught_up, &contacts, now);
            if let Some(change) = change {
                self.cluster.propose_change(id, change);
            }
        }
    }

    fn leads(&self, id: MemberId) -> bool {
        let status = self.cluster.status_of(id);
        status.is_some_and(|status| status.is_leader()) && !self.cluster.processes[&id].suspended
    }

    /// The data centre of a host. Each former host has its own, and successors join those
    /// one after the other.
    fn data_centre(&self, id: MemberId) -> DataCentre {
        let port = self.cluster.address_of(id).port();
        let number = self.ports.iter().position(|known| *known == port);
        let number = number.unwrap_or_default() as u64 % FORMER;
        format!("dc-{number}").parse().unwrap()
    }

    /// The contacts of a host. A host that is cut off has none with the others.
    fn contacts_of(&self, id: MemberId) -> BTreeMap<MemberId, ControlHostContact> {
        let heard = self.last_heard.iter().filter(|(other, _)| {
            let is_cut = |member| self.cut == Some(member);
            **other == id || !is_cut(id) && !is_cut(**other)
        });
        let contact = |(other, last_heard): (&MemberId, &Instant)| {
            let contact = ControlHostContact {
                address: self.cluster.address_of(*other),
                last_heard: *last_heard,
                data_centre: self.data_centre(*other),
                leaving: false,
            };
            (*other, contact)
        };
        heard.map(contact).collect()
    }

    fn propose(&mut self) {
        for id in self.hosts() {
            if self.leads(id) {
                self.cluster.propose(id);
            }
        }
        self.run(SHORT_STEPS);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Join => {
                self.next_id += 1;
                let id = MemberId(self.next_id);
                self.cluster.add_process(id);
                self.ports.push(self.cluster.address_of(id).port());
                self.limits.joins -= 1;
            }
            Event::Remove(id) => {
                self.cluster.remove_process(id);
                self.removed += 1;
            }
            Event::LoseDisk(id) => {
                self.next_id += 1;
                let successor = MemberId(self.next_id);
                self.cluster.replace_disk(id, successor);
                self.cluster.crash(successor);
                self.down = Some((id, successor));
                self.recovering = true;
                self.limits.losses -= 1;
            }
            Event::Return => {
                if let Some((_, successor)) = self.down.take() {
                    self.cluster.restart(successor);
                }
            }
            Event::Restart(id) => {
                self.cluster.crash(id);
                self.cluster.restart(id);
                self.limits.disturbances -= 1;
            }
            Event::Freeze(id) => {
                self.cluster.processes.get_mut(&id).unwrap().suspended = true;
                self.frozen = Some(id);
                self.limits.disturbances -= 1;
            }
            Event::Thaw(id) => {
                self.cluster.resume(id);
                self.frozen = None;
            }
            Event::Cut(id) => {
                self.cluster.isolate(id);
                self.cut = Some(id);
                self.limits.disturbances -= 1;
            }
            Event::Heal => {
                self.cluster.blocked_links.clear();
                self.cut = None;
            }
            Event::Propose => return self.propose(),
            Event::Settle => {
                self.run(SETTLE_STEPS);
                self.settled = self.ports.len();
                self.recovering &= self.down.is_some();
                return;
            }
        }
        self.run(SHORT_STEPS);
    }

    /// The events that the tolerated losses allow: one disk at a time, and a removed host
    /// only after its successor has caught up.
    fn events(&self) -> Vec<Event> {
        let calm = self.frozen.is_none() && self.cut.is_none();
        let running = self.hosts().into_iter();
        let running: Vec<MemberId> = running
            .filter(|id| self.down.is_none_or(|(_, successor)| successor != *id))
            .collect();
        let mut events = vec![Event::Propose, Event::Settle];
        events.extend((self.limits.joins > 0).then_some(Event::Join));
        events.extend(self.down.map(|_| Event::Return));
        events.extend(self.frozen.map(Event::Thaw));
        events.extend(self.cut.map(|_| Event::Heal));
        for id in running {
            if self.may_be_removed(id) && calm {
                events.push(Event::Remove(id));
            }
            if self.limits.losses > 0 && !self.recovering && calm {
                events.push(Event::LoseDisk(id));
            }
            if self.limits.disturbances > 0 && calm {
                events.extend([Event::Restart(id), Event::Freeze(id), Event::Cut(id)]);
            }
        }
        events
    }

    /// Whether a host may be removed: its successor has caught up. With one successor, any
    /// former host may be the one that it replaces, in whatever data centre.
    fn may_be_removed(&self, id: MemberId) -> bool {
        let port = self.cluster.address_of(id).port();
        let Some(place) = self.ports.iter().position(|known| *known == port) else {
            return false;
        };
        let is_former = place < FORMER_COUNT;
        let single = self.ports.len() == FORMER_COUNT + 1;
        let has_successor = self.settled > FORMER_COUNT + if single { 0 } else { place };
        is_former && has_successor && self.removed < self.settled - FORMER_COUNT
    }

    /// Ends all events, and checks that the group leads and has every accepted change.
    fn check_recovery(&self) -> Result<(), String> {
        let mut state = self.clone();
        let before = state.cluster.accepted.values().max().copied();
        let events = [
            Some(Event::Heal),
            state.frozen.map(Event::Thaw),
            state.down.map(|_| Event::Return),
        ];
        for event in events.into_iter().flatten() {
            state.apply(event);
        }
        let mut token = None;
        for _ in 0..RECOVERY_STEPS / SHORT_STEPS {
            state.run(SHORT_STEPS);
            let accepted = |token| state.cluster.accepted.get(&token).copied();
            if let Some(index) = token.and_then(accepted) {
                // The harness compares the entries up to the index with the accepted ones.
                return if before < Some(index) {
                    Ok(())
                } else {
                    Err("an accepted change is lost".to_owned())
                };
            }
            if let Some(leader) = state.cluster.leader() {
                token = Some(state.cluster.propose(leader));
            }
        }
        Err("no change is accepted after all events have ended".to_owned())
    }
}

/// States are equal if their groups, roles and faults are, whatever their terms and logs.
impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        for id in self.hosts() {
            let status = self.cluster.status_of(id);
            let group = status.as_ref().and_then(|status| status.group.as_ref());
            let members = group.map(|group| {
                let ids = |m: &BTreeMap<MemberId, _>| m.keys().copied().collect::<BTreeSet<_>>();
                (
                    ids(&group.voters),
                    ids(&group.learners),
                    ids(&group.outgoing),
                )
            });
            let leads = status.as_ref().is_some_and(consensus::Status::is_leader);
            (id, leads, members).hash(hasher);
            let entries = &self.cluster.processes[&id].disk.entries;
            entries.len().hash(hasher);
        }
        let Limits {
            joins,
            losses,
            disturbances,
        } = self.limits;
        (
            joins,
            losses,
            disturbances,
            self.down,
            self.recovering,
            self.frozen,
            self.cut,
        )
            .hash(hasher);
        (
            self.ports.len(),
            self.settled,
            self.removed,
            &self.violation,
        )
            .hash(hasher);
    }
}

fn panic_text(cause: &(dyn Any + Send)) -> String {
    let text = cause.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| cause.downcast_ref::<&str>().copied());
    text.unwrap_or("a panic without a text").to_owned()
}

/// A search from a state.
struct Search(State);

impl Model for Search {
    type State = State;
    type Action = Event;

    fn initial(&self) -> State {
        self.0.clone()
    }

    fn actions(&self, state: &State, events: &mut Vec<Event>) {
        events.extend(state.events());
    }

    fn apply(&self, state: &State, event: &Event) -> State {
        let applied = panic::catch_unwind(AssertUnwindSafe(|| {
            let mut next = state.clone();
            next.apply(*event);
            next
        }));
        applied.unwrap_or_else(|cause| State {
            violation: Some(panic_text(cause.as_ref())),
            ..state.clone()
        })
    }

    fn check(&self, state: &State) -> Result<(), String> {
        match &state.violation {
            Some(violation) => Err(violation.clone()),
            None => panic::catch_unwind(AssertUnwindSafe(|| state.check_recovery()))
                .unwrap_or_else(|cause| Err(panic_text(cause.as_ref()))),
        }
    }
}

/// Number of states to search, more in searches by hand.
fn max_states() -> usize {
    let states = std::env::var("LIMPET_SEARCH_STATES").ok();
    states.and_then(|n| n.parse().ok()).unwrap_or(MAX_STATES)
}

fn search(name: &str, initial: State) {
    let started = Instant::now();
    let coverage = explore(&Search(initial), max_states());
    println!("{name}: {coverage:?} in {:?}", started.elapsed());
    assert!(coverage.states >= max_states() || coverage.complete);
}

/// Guards against an order of a replacement, a lost disk and a disturbance after which an
/// accepted change is lost or the group never leads again.
#[test]
fn no_order_of_a_replacement_and_a_lost_disk_stops_the_group() {
    let limits = Limits {
        joins: 1,
        losses: 1,
        disturbances: 1,
    };
    search("from the start", State::new(limits, 1));
}

/// The same from the moment when a successor votes, which is more events from the start.
#[test]
fn no_order_of_events_after_a_successor_has_joined_stops_the_group() {
    let limits = Limits {
        joins: 1,
        losses: 2,
        disturbances: 1,
    };
    let mut state = State::new(limits, 2);
    state.apply(Event::Join);
    state.apply(Event::Settle);
    search("with a successor", state);
}

/// Guards against a search that finds nothing: with the former quorums, more than half of
/// the voters in each case, it finds the fault of review/11.
#[test]
#[should_panic(expected = "no change is accepted after all events have ended")]
fn the_search_finds_the_fault_of_majorities_only() {
    let limits = Limits {
        joins: 1,
        losses: 1,
        disturbances: 0,
    };
    let mut state = State::new(limits, 3);
    state.cluster.set_min_quorum(usize::MAX);
    state.apply(Event::Join);
    state.apply(Event::Settle);
    search("majorities only", state);
}

/// Guards against successors that do not take over when the hosts which they replace are
/// removed at the same time, in any order of joining and also beside a lost disk.
#[test]
fn three_hosts_that_are_removed_at_once_leave_their_successors() {
    let limits = Limits {
        joins: FORMER_COUNT,
        losses: 1,
        disturbances: 0,
    };
    for settles in [false, true] {
        let mut state = State::new(limits, 4);
        for _ in 0..FORMER {
            state.apply(Event::Join);
            if settles {
                state.apply(Event::Settle);
            }
        }
        state.apply(Event::Settle);
        state.propose();
        for id in 1..=FORMER {
            state.cluster.remove_process(MemberId(id));
        }
        assert_eq!(state.check_recovery(), Ok(()));
        for lost in FORMER + 1..=2 * FORMER {
            let mut state = state.clone();
            state.propose();
            state.apply(Event::LoseDisk(MemberId(lost)));
            assert_eq!(state.check_recovery(), Ok(()), "disk of {lost}");
        }
    }
}

/// Guards against former hosts that get their votes back when a successor is lost, and are
/// removed then: two successors were half of four voters.
#[test]
fn a_successor_that_loses_its_disk_does_not_give_a_former_host_its_vote_back() {
    let limits = Limits {
        joins: FORMER_COUNT,
        losses: 1,
        disturbances: 0,
    };
    let mut state = State::new(limits, 6);
    for _ in 0..FORMER {
        state.apply(Event::Join);
    }
    state.apply(Event::Settle);
    state.apply(Event::LoseDisk(MemberId(FORMER + 1)));
    state.apply(Event::Settle);
    for id in 1..=FORMER {
        state.cluster.remove_process(MemberId(id));
    }
    assert_eq!(state.check_recovery(), Ok(()));
}

/// The same, with a search over all orders of the removals and a lost disk.
#[test]
fn no_order_of_removals_after_three_successors_have_joined_stops_the_group() {
    let limits = Limits {
        joins: FORMER_COUNT,
        losses: 1,
        disturbances: 1,
    };
    let mut state = State::new(limits, 5);
    for _ in 0..FORMER {
        state.apply(Event::Join);
    }
    state.apply(Event::Settle);
    search("with three successors", state);
}
