//! Agreement on the first group, explored exhaustively with faults.

mod explorer;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

use directory::{FirstGroup, FormationMessage};
use explorer::{Model, explore};
use replica::{
    AcceptorState, FirstGroupPolicy, Formation, FormationOutput, HeardHosts, MembershipSettings,
    first_member_id,
};
use types::MemberId;

/// Number of seeds; they are the first hosts.
const SEEDS: usize = 3;

/// Above the number of states of three hosts.
const MAX_STATES: usize = 1_000_000;

/// Number of states of five hosts that are checked.
const MAX_STATES_OF_FIVE: usize = 300_000;

/// Member ids of hosts whose disk was wiped start here.
const FIRST_LATER_ID: u64 = 1 << 48;

/// A deployment at its first start, and the faults that may occur.
///
/// A message that is not delivered is lost, and a partition is the loss of the messages
/// between its sides together with proposers that have not heard the other side. A
/// proposer may have heard any control hosts at all, also one that was wiped since.
/// Time is left out: a seed may propose at any moment.
struct Deployment {
    hosts: usize,
    /// Hosts without a disk.
    observers: &'static [usize],
    tolerated_losses: usize,
    /// Attempts of each seed.
    max_attempts: u8,
    max_attempts_total: u8,
    /// Kills, with the disk kept or wiped.
    max_kills: u8,
    max_wipes: u8,
    /// Checks that a group forms from one in this many states.
    liveness_period: u64,
    beginning: Beginning,
    /// Whether proposers have heard as few hosts as possible (one of two sets), or all.
    heard_few_or_all: bool,
    /// A seeded fault: a host without a saved acceptor state starts with a new one.
    forgets_promises: bool,
}

/// The state in which a search begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beginning {
    /// No host has started.
    NoHost,
    /// All hosts have started.
    AllHosts,
    /// All hosts have started, and the first two seeds have chosen a group, which no
    /// other host knows yet.
    ChosenGroup,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Process {
    NotStarted,
    Up,
    Down,
}

#[derive(Debug, Clone, Hash)]
struct Host {
    process: Process,
    wiped: bool,
    attempts: u8,
    /// The seed's state machine, while its process runs.
    formation: Option<Formation>,
    /// The acceptor state on disk.
    saved: Option<AcceptorState>,
    /// Whether the member has formed the first group.
    formed: bool,
    /// Whether the acknowledged change is on the disk.
    holds_change: bool,
}

#[derive(Debug, Clone, Hash)]
struct State {
    hosts: Vec<Host>,
    /// Sender, receiver and message.
    messages: BTreeSet<(usize, usize, FormationMessage)>,
    /// The groups that were chosen: at most one, unless the protocol is wrong.
    chosen: Vec<FirstGroup>,
    acknowledged: bool,
    kills: u8,
    wipes: u8,
}

#[derive(Debug, Clone)]
enum Action {
    Start(usize),
    Kill {
        host: usize,
        wipe: bool,
    },
    Propose(usize, BTreeMap<Ipv4Addr, MemberId>),
    Deliver(usize, usize, FormationMessage),
    /// The chosen group arrives at a host.
    Inform(usize),
    /// A change is acknowledged, with these disks.
    Acknowledge(Vec<usize>),
}

fn ip(host: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(host).unwrap() + 1)
}

fn host_at(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]) - 1
}

fn member_id(host: usize, wiped: bool) -> MemberId {
    if wiped {
        MemberId(FIRST_LATER_ID + host as u64)
    } else {
        first_member_id(ip(host))
    }
}

fn seeds() -> BTreeSet<Ipv4Addr> {
    (0..SEEDS).map(ip).collect()
}

impl State {
    /// Removes messages that have no effect, now or later: to a host that is no
    /// acceptor any more, and answers to an attempt that has ended.
    fn remove_stale(&mut self) {
        let hosts = &self.hosts;
        self.messages.retain(|(_, to, message)| {
            let host = &hosts[*to];
            let is_lost = host.saved.is_none()
                && host.formation.is_none()
                && host.process != Process::NotStarted;
            let attempt = host.formation.as_ref().and_then(Formation::attempt);
            match message {
                FormationMessage::Prepare(_) | FormationMessage::Accept { .. } => !is_lost,
                FormationMessage::Promise { ballot, .. }
                | FormationMessage::Accepted(ballot)
                | FormationMessage::Rejected { ballot, .. } => attempt == Some(*ballot),
            }
        });
    }

    /// The voters that have formed the group and still have their disks.
    fn formed_voters(&self) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(_, host)| host.formed && host.process == Process::Up)
            .map(|(n, _)| n)
            .collect()
    }
}

impl Deployment {
    fn has_disk(&self, host: usize) -> bool {
        !self.observers.contains(&host)
    }

    fn policy(&self) -> FirstGroupPolicy {
        FirstGroupPolicy::new(&MembershipSettings {
            min_voters: 2 * self.tolerated_losses + 1,
            ..MembershipSettings::default()
        })
    }

    /// The group that a seed proposes if it has heard these hosts.
    fn group(&self, controls: &BTreeMap<Ipv4Addr, MemberId>) -> Option<FirstGroup> {
        let heard = HeardHosts {
            controls: controls.clone(),
            observers: self.observers.iter().map(|n| ip(*n)).collect(),
        };
        self.policy().group(&heard, &seeds(), true)
    }

    /// Every set of control hosts that a proposer may have heard.
    fn heard_sets(&self, state: &State, proposer: usize) -> Vec<BTreeMap<Ipv4Addr, MemberId>> {
        let mut sets = vec![BTreeMap::new()];
        for (n, host) in state.hosts.iter().enumerate() {
            if !self.has_disk(n) || host.process == Process::NotStarted {
                continue;
            }
            let mut ids = vec![member_id(n, host.wiped)];
            if n != proposer && host.wiped {
                // Its directory entry may be from before the loss of the disk.
                ids.push(member_id(n, false));
            }
            let without = if n == proposer {
                Vec::new()
            } else {
                sets.clone()
            };
            let with = ids.iter().flat_map(|id| {
                sets.iter().map(|set| {
                    let mut set = set.clone();
                    set.insert(ip(n), *id);
                    set
                })
            });
            sets = with.chain(without).collect();
        }
        sets.retain(|set| self.group(set).is_some());
        if self.heard_few_or_all {
            let min_hosts = self.policy().min_hosts();
            let (few, all): (Vec<_>, Vec<_>) = sets
                .into_iter()
                .filter(|set| [min_hosts, self.hosts].contains(&set.len()))
                .partition(|set| set.len() == min_hosts);
            let last = few.last().filter(|_| few.len() > 1).cloned();
            sets = few
                .first()
                .cloned()
                .into_iter()
                .chain(last)
                .chain(all)
                .collect();
        }
        sets
    }

    fn start(&self, state: &mut State, n: usize) {
        let host = &mut state.hosts[n];
        let bootstrap = host.process == Process::NotStarted;
        let is_new = host.saved.is_none() && (bootstrap || self.forgets_promises);
        if n < SEEDS && is_new {
            host.saved = Some(AcceptorState::new(seeds()));
        }
        host.process = Process::Up;
        host.formation = host.saved.clone().map(|saved| Formation::new(ip(n), saved));
    }

    fn execute(&self, state: &mut State, n: usize, out: FormationOutput) {
        let host = &mut state.hosts[n];
        let formation = host.formation.as_ref().unwrap();
        if out.state_changed && self.has_disk(n) {
            host.saved = Some(formation.acceptor().clone());
        }
        if let Some(group) = formation.chosen()
            && !state.chosen.contains(group)
        {
            state.chosen.push(group.clone());
        }
        for (to, message) in out.messages {
            state.messages.insert((n, host_at(to), message));
        }
    }

    fn deliver(&self, state: &mut State, from: usize, to: usize, message: FormationMessage) {
        if let Some(formation) = &mut state.hosts[to].formation {
            let out = formation.receive(ip(from), message);
            self.execute(state, to, out);
        }
    }

    /// The chosen group arrives at a host.
    fn inform(&self, state: &mut State, n: usize) {
        let group = state.chosen[0].clone();
        let host = &mut state.hosts[n];
        if self.has_disk(n) && group.contains(member_id(n, host.wiped)) {
            host.formed = true;
        }
        if let Some(formation) = &mut host.formation {
            let out = formation.learn(&group);
            self.execute(state, n, out);
        }
    }

    fn can_be_informed(&self, state: &State, n: usize) -> bool {
        let (Some(group), host) = (state.chosen.first(), &state.hosts[n]) else {
            return false;
        };
        let forms = self.has_disk(n) && !host.formed && group.contains(member_id(n, host.wiped));
        let learns = host
            .formation
            .as_ref()
            .is_some_and(|f| f.chosen().is_none());
        host.process == Process::Up && (forms || learns)
    }

    /// Runs without faults until nothing changes: all hosts are started, messages are
    /// delivered, and each seed makes an attempt in turn.
    fn settle(&self, state: &State) -> State {
        let mut state = state.clone();
        state.messages.clear();
        for n in 0..self.hosts {
            if state.hosts[n].process != Process::Up {
                self.start(&mut state, n);
            }
        }
        let hosts = state.hosts.iter().enumerate();
        let heard: BTreeMap<Ipv4Addr, MemberId> = hosts
            .filter(|(n, _)| self.has_disk(*n))
            .map(|(n, host)| (ip(n), member_id(n, host.wiped)))
            .collect();
        // A seed that was isolated may have used more rounds than the others.
        for n in (0..SEEDS).cycle().take(SEEDS * 3) {
            let group = self.group(&heard);
            if let (Some(formation), Some(group)) = (&mut state.hosts[n].formation, group) {
                let out = formation.propose(group);
                self.execute(&mut state, n, out);
            }
            while let Some((from, to, message)) = state.messages.pop_first() {
                self.deliver(&mut state, from, to, message);
            }
        }
        for n in 0..self.hosts {
            if self.can_be_informed(&state, n) {
                self.inform(&mut state, n);
            }
        }
        state
    }

    /// A group forms once a majority of the seeds is up and connected, if at most one
    /// host was lost before. A group with placeholders, which is proposed only while
    /// there are fewer disks than voters, may bear no loss.
    fn check_formation(&self, state: &State) -> Result<(), String> {
        let settled = self.settle(state);
        check_agreement(&settled)?;
        let [group] = &settled.chosen[..] else {
            return Err(format!("no group is chosen: {settled:#?}"));
        };
        let mut voters = group.0.iter();
        let has_placeholders = voters.any(|(_, ip)| ip.is_unspecified());
        let may_bear_none = has_placeholders && state.wipes > 0;
        if may_bear_none || 2 * settled.formed_voters().len() > group.0.len() {
            Ok(())
        } else {
            Err(format!("no majority has formed the group: {settled:#?}"))
        }
    }
}

fn check_agreement(state: &State) -> Result<(), String> {
    if state.chosen.len() > 1 {
        return Err(format!("two groups: {:?}", state.chosen));
    }
    Ok(())
}

impl Model for Deployment {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let host = Host {
            process: Process::NotStarted,
            wiped: false,
            attempts: 0,
            formation: None,
            saved: None,
            formed: false,
            holds_change: false,
        };
        let mut state = State {
            hosts: vec![host; self.hosts],
            messages: BTreeSet::new(),
            chosen: Vec::new(),
            acknowledged: false,
            kills: 0,
            wipes: 0,
        };
        if self.beginning != Beginning::NoHost {
            (0..self.hosts).for_each(|n| self.start(&mut state, n));
        }
        if self.beginning == Beginning::ChosenGroup {
            let heard = self.heard_sets(&state, 0).swap_remove(0);
            state = self.apply(&state, &Action::Propose(0, heard));
            let is_between = |(from, to, _): &&(usize, usize, _)| from + to == 1;
            while let Some((from, to, message)) = state.messages.iter().find(is_between).cloned() {
                state = self.apply(&state, &Action::Deliver(from, to, message));
            }
        }
        state
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let attempts: u8 = state.hosts.iter().map(|host| host.attempts).sum();
        for (n, host) in state.hosts.iter().enumerate() {
            if host.process != Process::Up {
                actions.push(Action::Start(n));
                continue;
            }
            if state.kills < self.max_kills {
                actions.push(Action::Kill {
                    host: n,
                    wipe: false,
                });
                if state.wipes < self.max_wipes {
                    actions.push(Action::Kill {
                        host: n,
                        wipe: true,
                    });
                }
            }
            let proposes = host
                .formation
                .as_ref()
                .is_some_and(|f| f.chosen().is_none());
            if proposes && host.attempts < self.max_attempts && attempts < self.max_attempts_total {
                let sets = self.heard_sets(state, n).into_iter();
                actions.extend(sets.map(|heard| Action::Propose(n, heard)));
            }
            if self.can_be_informed(state, n) {
                actions.push(Action::Inform(n));
            }
        }
        for (from, to, message) in &state.messages {
            if state.hosts[*to].process == Process::Up {
                actions.push(Action::Deliver(*from, *to, message.clone()));
            }
        }
        if let (Some(group), false) = (state.chosen.first(), state.acknowledged) {
            // With more disks than a majority, a change is on more of them; the states
            // with exactly a majority include every set that is enough.
            let voters = state.formed_voters();
            if voters.len() == group.0.len() / 2 + 1 {
                actions.push(Action::Acknowledge(voters));
            }
        }
    }

    fn apply(&self, state: &State, action: &Action) -> State {
        let mut next = state.clone();
        match action {
            Action::Start(n) => self.start(&mut next, *n),
            Action::Kill { host: n, wipe } => {
                let host = &mut next.hosts[*n];
                host.process = Process::Down;
                host.formation = None;
                next.kills += 1;
                if !self.has_disk(*n) {
                    host.saved = None;
                }
                if *wipe {
                    next.wipes += 1;
                    host.wiped = true;
                    host.saved = None;
                    host.formed = false;
                    host.holds_change = false;
                }
            }
            Action::Propose(n, heard) => {
                let group = self.group(heard).unwrap();
                let host = &mut next.hosts[*n];
                host.attempts += 1;
                let out = host.formation.as_mut().unwrap().propose(group);
                self.execute(&mut next, *n, out);
            }
            Action::Deliver(from, to, message) => {
                next.messages.remove(&(*from, *to, message.clone()));
                self.deliver(&mut next, *from, *to, message.clone());
            }
            Action::Inform(n) => self.inform(&mut next, *n),
            Action::Acknowledge(disks) => {
                next.acknowledged = true;
                for n in disks {
                    next.hosts[*n].holds_change = true;
                }
            }
        }
        next.remove_stale();
        next
    }

    fn check(&self, state: &State) -> Result<(), String> {
        check_agreement(state)?;
        let holders = state.hosts.iter().filter(|host| host.holds_change);
        let losses = usize::from(state.wipes);
        if state.acknowledged && losses <= self.tolerated_losses && holders.count() == 0 {
            return Err("an acknowledged change is lost".to_owned());
        }
        let acceptors = (0..SEEDS).filter(|n| {
            let host = &state.hosts[*n];
            host.process == Process::NotStarted || host.saved.is_some()
        });
        let is_sampled = || {
            use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
            let hasher = BuildHasherDefault::<DefaultHasher>::default();
            hasher.hash_one(state).is_multiple_of(self.liveness_period)
        };
        if state.wipes <= 1 && 2 * acceptors.count() > SEEDS && is_sampled() {
            self.check_formation(state)?;
        }
        Ok(())
    }
}

const THREE_HOSTS: Deployment = Deployment {
    hosts: 3,
    observers: &[],
    tolerated_losses: 1,
    max_attempts: 1,
    max_attempts_total: 2,
    max_kills: 1,
    max_wipes: 1,
    liveness_period: 128,
    beginning: Beginning::NoHost,
    heard_few_or_all: false,
    forgets_promises: false,
};

/// Guards against two groups, the loss of an acknowledged change, and a deployment that
/// never forms a group, in each order of starts, messages, losses and one kill.
#[test]
fn three_hosts_form_one_group() {
    let coverage = explore(&THREE_HOSTS, MAX_STATES);
    eprintln!("{coverage:?}");
    assert!(coverage.complete, "{coverage:?}");
}

/// The same with a seed that has no disk, whose kill loses its promises.
#[test]
fn two_hosts_and_an_observer_form_one_group() {
    let model = Deployment {
        observers: &[2],
        max_wipes: 0,
        ..THREE_HOSTS
    };
    let coverage = explore(&model, MAX_STATES);
    eprintln!("{coverage:?}");
    assert!(coverage.complete, "{coverage:?}");
}

/// With two tolerated losses. To reach deeper states, all hosts have started.
const FIVE_HOSTS: Deployment = Deployment {
    hosts: 5,
    tolerated_losses: 2,
    beginning: Beginning::AllHosts,
    heard_few_or_all: true,
    ..THREE_HOSTS
};

fn check_five_hosts(model: &Deployment) {
    let coverage = explore(model, MAX_STATES_OF_FIVE);
    eprintln!("{coverage:?}");
    assert!(coverage.complete || coverage.states == MAX_STATES_OF_FIVE);
}

/// The same with five hosts, for as many states as fit.
#[test]
fn five_hosts_form_one_group() {
    check_five_hosts(&FIVE_HOSTS);
}

/// The same from the moment when the first two seeds have chosen a group, with two kills.
#[test]
fn five_hosts_keep_a_chosen_group() {
    check_five_hosts(&Deployment {
        beginning: Beginning::ChosenGroup,
        max_attempts_total: 3,
        max_kills: 2,
        max_wipes: 2,
        ..FIVE_HOSTS
    });
}

/// Guards against a search that finds no fault: if a seed whose disk was wiped answered
/// as an acceptor again, two groups would form.
#[test]
#[should_panic(expected = "two groups")]
fn a_seed_that_forgets_its_promises_is_found() {
    let model = Deployment {
        forgets_promises: true,
        ..THREE_HOSTS
    };
    explore(&model, MAX_STATES);
}
