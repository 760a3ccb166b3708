//! The admission of one agent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use rand::{SeedableRng, rngs::SmallRng};
use types::{
    ClassName, DataCentre, Loads, RequestId, ReservationId, Target, UpstreamId, UpstreamState,
};

use crate::{
    Decision, DeferredDecision, LoadReport, PeerAnswer, RefusalReason, RequestInfo, RequestOutcome,
    Settings,
    process::health::Health,
    request::state::{Reservation, Running, State},
    version::{Class, Peers},
};

/// Decides about the requests of one agent.
///
/// Local requests and reservations of peers compete for a slot in the order in
/// which they ask for it. A slot that becomes free goes to the local queue
/// first, so a reservation is granted only while no local request is queued.
#[derive(Debug, Clone)]
pub struct Admission {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    pub(crate) connections: u32,
    pub(crate) max_connections: u32,
    /// Every class with a target, and deleted ones until nothing is left.
    pub(crate) classes: BTreeMap<ClassName, Class>,
    pub(crate) peers: Peers,
    /// Requests that wait or run here.
    pub(crate) requests: BTreeMap<RequestId, State>,
    /// `until` of every waiting request.
    pub(crate) timeouts: BTreeSet<(Instant, RequestId)>,
    pub(crate) reservations: BTreeMap<ReservationId, Reservation>,
}

impl Admission {
    /// An admission without targets or peers. `seed` drives the choice among
    /// peers.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Admission {
            max_connections: settings.max_connections,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            leaving: false,
            health: Health::default(),
            connections: 0,
            classes: BTreeMap::new(),
            peers: Peers::default(),
            requests: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            reservations: BTreeMap::new(),
        }
    }

    /// Applies the targets of a configuration version. Requests in progress
    /// are never cut: under a lowered target they sink. Queued requests of a
    /// deleted class are refused.
    pub fn set_targets(
        &mut self,
        now: Instant,
        targets: &BTreeMap<ClassName, Target>,
    ) -> Vec<DeferredDecision> {
        let largest = targets.values().map(|target| target.connections.0).max();
        self.max_connections = largest.unwrap_or(0).min(self.settings.max_connections);
        for class in self.classes.values_mut() {
            class.set_target(None);
        }
        for (name, target) in targets {
            let class = self.classes.entry(name.clone());
            class
                .or_insert_with(|| Class::new(now))
                .set_target(Some(target.carry.0));
        }
        let mut wakes = Vec::new();
        let names: Vec<ClassName> = self.classes.keys().cloned().collect();
        for name in names {
            if targets.contains_key(&name) {
                wakes.extend(self.start_queued(now, &name));
            } else {
                wakes.extend(self.refuse_waiting(&name, RefusalReason::UnknownClass));
                self.forget_if_gone(&name);
            }
        }
        wakes
    }

    /// Sets whether the upstream leaves. Queued requests are then handed off.
    pub fn set_leaving(&mut self, now: Instant, leaving: bool) -> Vec<DeferredDecision> {
        self.leaving = leaving;
        self.serving_changed(now)
    }

    /// Notes that a connection to the upstream could not be opened; enough of
    /// them in a row make the upstream `Down`.
    pub fn connect_failed(&mut self, now: Instant) -> Vec<DeferredDecision> {
        if self.health.failed(now, &self.settings) {
            return self.serving_changed(now);
        }
        Vec::new()
    }

    /// Notes that a connection to the upstream was opened; ends `Down`.
    pub fn connect_succeeded(&mut self, now: Instant) -> Vec<DeferredDecision> {
        let was_down = self.health.is_down();
        self.health.succeeded();
        if was_down {
            return self.serving_changed(now);
        }
        Vec::new()
    }

    /// Whether an upstream that is down is to be probed now. The probe counts
    /// as begun; report it with `connect_failed` or `connect_succeeded`.
    pub fn start_due_probe(&mut self, now: Instant) -> bool {
        self.health.begin_probe(now)
    }

    /// State of the upstream; leaving goes before down.
    #[must_use]
    pub fn state(&self) -> UpstreamState {
        match (self.leaving, self.health.is_down()) {
            (true, _) => UpstreamState::Leaving,
            (false, true) => UpstreamState::Down,
            (false, false) => UpstreamState::Ready,
        }
    }

    /// Notes what the upstream says of a class. It lowers the slots until it
    /// is replaced or `report_lifetime` passes, and never raises them over the
    /// target.
    pub fn apply_report(
        &mut self,
        now: Instant,
        class: &ClassName,
        report: LoadReport,
    ) -> Vec<DeferredDecision> {
        if let Some(known) = self.classes.get_mut(class) {
            known.apply_report(now, report, &self.settings);
        }
        self.start_queued(now, class)
    }

    /// Whether one more connection may be accepted.
    #[must_use]
    pub fn may_accept_connection(&self) -> bool {
        !self.leaving && self.connections < self.max_connections
    }

    /// Counts a connection that was opened.
    pub fn connection_opened(&mut self) {
        self.connections = self.connections.saturating_add(1);
    }

    /// Counts a connection that was closed.
    pub fn connection_closed(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Sets the peers of the service, each with its data centre; `own` is the
    /// data centre of this agent. Known loads of peers that stay are kept.
    pub fn set_peers(&mut self, own: &DataCentre, peers: &BTreeMap<UpstreamId, DataCentre>) {
        self.peers.set(own, peers);
    }

    /// Notes the loads of a peer. A queued request may be woken to ask it.
    pub fn update_peer_loads(
        &mut self,
        now: Instant,
        peer: UpstreamId,
        loads: &Loads,
    ) -> Vec<DeferredDecision> {
        self.peers.note_loads(peer, loads);
        let free = loads.iter().filter(|(_, load)| load.free().0 > 0);
        free.filter_map(|(class, _)| self.ask_again(now, class))
            .collect()
    }

    /// Own loads, as announced and as sent with refusals to peers. Slots that
    /// are held for peers count as in flight; an upstream that takes no new
    /// work offers no slots.
    #[must_use]
    pub fn loads(&self) -> Loads {
        let serving = self.is_serving();
        let classes = self.classes.iter();
        classes
            .map(|(name, class)| (name.clone(), class.load(serving)))
            .collect()
    }

    /// Decides about a new request. A retry arrives under a new id.
    pub fn arrive(&mut self, now: Instant, request: RequestInfo) -> Decision {
        let serving = self.is_serving();
        if self.requests.contains_key(&request.id) {
            return Decision::Refuse(RefusalReason::DuplicateId);
        }
        if request.deadline.is_some_and(|at| at <= now) {
            return Decision::Refuse(RefusalReason::Deadline);
        }
        let class = self.classes.get(&request.class);
        let Some(class) = class.filter(|class| class.has_target()) else {
            return Decision::Refuse(RefusalReason::UnknownClass);
        };
        if serving && !request.exclude_local && class.has_free_slot() {
            self.run(now, request.id, request.class);
            return Decision::Run;
        }
        if !request.handed_off {
            return self.wait(now, request);
        }
        Decision::Refuse(if serving {
            RefusalReason::NoFreeSlot
        } else {
            RefusalReason::NotServing
        })
    }

    /// Notes the answer of a peer that was asked. `None` if the request got
    /// another decision meanwhile and nothing is to be done.
    pub fn handle_peer_answer(
        &mut self,
        now: Instant,
        id: RequestId,
        peer: UpstreamId,
        answer: PeerAnswer,
    ) -> Option<Decision> {
        let awaited = match self.requests.get_mut(&id) {
            Some(State::Waiting(waiting)) if waiting.asked == Some(peer) => {
                waiting.asked = None;
                Some(waiting.class.clone())
            }
            _ => None,
        };
        match (answer, awaited) {
            (PeerAnswer::Granted, Some(class)) => {
                self.peers.note_granted(peer, &class);
                self.stop_waiting(id);
                Some(Decision::Forward { peer })
            }
            (PeerAnswer::Granted, None) => Some(Decision::Release { peer }),
            (PeerAnswer::Refused(loads), awaited) => {
                self.peers.note_loads(peer, &loads);
                let class = awaited?;
                self.peers.note_full(now, peer, &class, &self.settings);
                Some(self.ask_next(now, id))
            }
            (PeerAnswer::Unreachable, awaited) => {
                self.peers.note_unreachable(now, peer);
                awaited?;
                Some(self.ask_next(now, id))
            }
        }
    }

    /// Releases the slot of a request that ran here.
    pub fn finish(
        &mut self,
        now: Instant,
        id: RequestId,
        outcome: RequestOutcome,
    ) -> Vec<DeferredDecision> {
        let Some(State::Running(running)) = self.requests.get(&id) else {
            return Vec::new();
        };
        let running = running.clone();
        if let Some(class) = self.classes.get_mut(&running.class) {
            match outcome {
                RequestOutcome::Completed => {
                    class.note_service_time(now.saturating_duration_since(running.since));
                }
                RequestOutcome::Shed => class.note_shed(now, &self.settings),
                RequestOutcome::Failed | RequestOutcome::NotStarted => {}
            }
        }
        self.requests.remove(&id);
        self.free_slot(now, &running.class)
    }

    /// Forgets a request that the caller cancelled, whether it waits or runs.
    /// For one that runs, call it when the connection to the upstream is
    /// closed.
    pub fn cancel(&mut self, now: Instant, id: RequestId) -> Vec<DeferredDecision> {
        match self.requests.get(&id) {
            Some(State::Running(running)) => {
                let class = running.class.clone();
                self.requests.remove(&id);
                self.free_slot(now, &class)
            }
            Some(State::Waiting(_)) => {
                self.stop_waiting(id);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Ends what has passed its deadline and asks peers again.
    pub fn tick(&mut self, now: Instant) -> Vec<DeferredDecision> {
        let mut wakes = self.refuse_overdue(now);
        let lapsed = self.reservations.iter().filter(|(_, r)| r.expires <= now);
        let lapsed: Vec<ReservationId> = lapsed.map(|(id, _)| *id).collect();
        for id in lapsed {
            wakes.extend(self.release(now, id));
        }
        let names: Vec<ClassName> = self.classes.keys().cloned().collect();
        for name in &names {
            let class = self.classes.get_mut(name);
            let (old, ask) = class.map_or((false, false), |class| {
                (class.drop_old_limit(now), class.ask_at <= now)
            });
            if old {
                wakes.extend(self.start_queued(now, name));
            }
            if ask {
                wakes.extend(self.ask_again(now, name));
            }
            self.forget_if_gone(name);
        }
        wakes
    }

    /// When `tick` or `start_due_probe` has something to do next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let timeout = self.timeouts.first().map(|(at, _)| *at);
        let lapse = self.reservations.values().map(|held| held.expires).min();
        let limit = self.classes.values().filter_map(Class::limit_ends).min();
        let asks = self.may_ask() && self.settings.ask_interval.is_some();
        let waits = self.classes.values().filter(|c| !c.is_queue_empty());
        let ask = waits.map(|class| class.ask_at).min().filter(|_| asks);
        [timeout, lapse, limit, ask, self.health.next_probe()]
            .into_iter()
            .flatten()
            .min()
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state() == UpstreamState::Ready
    }

    pub(crate) fn may_ask(&self) -> bool {
        self.settings.hand_off_enabled && !self.peers.is_empty()
    }

    pub(crate) fn run(&mut self, now: Instant, id: RequestId, class: ClassName) {
        if let Some(known) = self.classes.get_mut(&class) {
            known.in_flight += 1;
        }
        let running = Running { class, since: now };
        self.requests.insert(id, State::Running(running));
    }

    pub(crate) fn forget_if_gone(&mut self, name: &ClassName) {
        if self.classes.get(name).is_some_and(Class::is_gone) {
            self.classes.remove(name);
        }
    }
}
