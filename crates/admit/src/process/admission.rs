//! Admission control of one agent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use types::{
    ClassLoads, ClassName, DataCentre, RequestId, ReservationId, Target, UpstreamId, UpstreamState,
};

use crate::{
    Decision, DeferredDecision, LoadReport, PeerAnswer, Refusal, RefusalReason, RequestInfo,
    RequestOutcome, Settings,
    process::{ColdSettings, cold_start::ColdStart, health::Health},
    request::state::{RequestState, Reservation, Running},
    version::{Class, Peers},
};

/// Admission control for the requests of one agent.
///
/// Local requests and reservations of peers get slots in order of arrival. A
/// freed slot goes to the local queue first, so a reservation is granted only
/// while no local request is queued.
#[derive(Debug, Clone)]
pub struct Admission {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    /// Limit of the requests at a cold upstream; `None` if there is none.
    pub(crate) cold_start: Option<ColdStart>,
    pub(crate) connections: u32,
    pub(crate) max_connections: u32,
    /// Classes with a target, and deleted ones until their last request ends.
    pub(crate) classes: BTreeMap<ClassName, Class>,
    pub(crate) peers: Peers,
    /// Requests that wait or run at this agent.
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    /// `timeout_at` of every waiting request.
    pub(crate) timeouts: BTreeSet<(Instant, RequestId)>,
    pub(crate) reservations: BTreeMap<ReservationId, Reservation>,
}

impl Admission {
    /// Creates an admission without targets or peers. `seed` seeds the random
    /// choice among peers.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Admission {
            max_connections: settings.max_connections,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            leaving: false,
            health: Health::default(),
            cold_start: None,
            connections: 0,
            classes: BTreeMap::new(),
            peers: Peers::default(),
            requests: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            reservations: BTreeMap::new(),
        }
    }

    /// Limits the requests at the upstream while it is cold, from the start of the agent
    /// at `now`.
    pub fn limit_cold_starts(&mut self, now: Instant, settings: &ColdSettings) {
        self.cold_start = Some(ColdStart::new(now, settings));
    }

    /// Applies the targets of a configuration version. A lowered target does
    /// not abort requests in progress: their number decreases as they finish.
    /// Queued requests of a deleted class are refused.
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
                .or_insert_with(|| Class::new(now, &self.settings))
                .set_target(Some(target.carry.0));
        }
        let mut decisions = Vec::new();
        let names: Vec<ClassName> = self.classes.keys().cloned().collect();
        for name in names {
            if targets.contains_key(&name) {
                decisions.extend(self.start_queued(now, &name));
            } else {
                decisions.extend(self.refuse_waiting(&name, RefusalReason::UnknownClass));
                self.remove_unused_class(&name);
            }
        }
        decisions
    }

    /// Sets whether the upstream is leaving. If it is, queued requests are
    /// handed off.
    pub fn set_leaving(&mut self, now: Instant, leaving: bool) -> Vec<DeferredDecision> {
        self.leaving = leaving;
        self.handle_serving_change(now)
    }

    /// Records that a connection to the upstream could not be opened. After
    /// `down_after_failures` consecutive failures the upstream is `Down`.
    pub fn connect_failed(&mut self, now: Instant) -> Vec<DeferredDecision> {
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.connect_failed();
        }
        if self.health.record_failure(now, &self.settings) {
            return self.handle_serving_change(now);
        }
        Vec::new()
    }

    /// Records that a connection to the upstream was opened, which ends `Down`.
    pub fn connect_succeeded(&mut self, now: Instant) -> Vec<DeferredDecision> {
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.connect_succeeded(now);
        }
        let was_down = self.health.is_down();
        self.health.record_success();
        if was_down {
            return self.handle_serving_change(now);
        }
        Vec::new()
    }

    /// Returns true if the upstream is down and a probe is due, and schedules
    /// the next probe. The caller runs the probe and reports its result with
    /// `connect_failed` or `connect_succeeded`.
    pub fn start_due_probe(&mut self, now: Instant) -> bool {
        self.health.begin_probe(now)
    }

    /// State of the upstream. `Leaving` takes precedence over `Down`.
    #[must_use]
    pub fn state(&self) -> UpstreamState {
        match (self.leaving, self.health.is_down()) {
            (true, _) => UpstreamState::Leaving,
            (false, true) => UpstreamState::Down,
            (false, false) => UpstreamState::Ready,
        }
    }

    /// Applies a load report of the upstream for a class. It lowers the slots
    /// until the next report or until `report_lifetime` has passed, and never
    /// raises them above the target.
    pub fn apply_report(
        &mut self,
        now: Instant,
        class: &ClassName,
        report: LoadReport,
    ) -> Vec<DeferredDecision> {
        if let Some(class_state) = self.classes.get_mut(class) {
            class_state.apply_report(now, report, &self.settings);
        }
        self.start_queued(now, class)
    }

    /// Returns true if one more connection may be accepted.
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
    /// data centre of this agent. The loads of peers that remain are kept.
    pub fn set_peers(&mut self, own: &DataCentre, peers: &BTreeMap<UpstreamId, DataCentre>) {
        self.peers.set(own, peers);
    }

    /// Updates the loads of a peer. If it has free slots, a queued request may
    /// ask it.
    pub fn update_peer_loads(
        &mut self,
        now: Instant,
        peer: UpstreamId,
        loads: &ClassLoads,
    ) -> Vec<DeferredDecision> {
        self.peers.update_loads(peer, loads);
        let free = loads.iter().filter(|(_, load)| load.free().0 > 0);
        free.filter_map(|(class, _)| self.ask_again(now, class))
            .collect()
    }

    /// Loads of the local upstream, as announced and as sent with refusals to
    /// peers. Reserved slots count as in flight; an upstream that takes no new
    /// work offers no slots.
    #[must_use]
    pub fn loads(&self) -> ClassLoads {
        let serving = self.is_serving();
        let classes = self.classes.iter();
        classes
            .map(|(name, class)| (name.clone(), class.load(serving)))
            .collect()
    }

    /// Decides about a new request. A retry has a new request id.
    pub fn arrive(&mut self, now: Instant, request: RequestInfo) -> Decision {
        let serving = self.is_serving();
        if self.requests.contains_key(&request.id) {
            return Decision::Refuse(RefusalReason::DuplicateId);
        }
        if request.deadline.is_some_and(|at| at <= now) {
            return Decision::Refuse(RefusalReason::Deadline);
        }
        let has_cold_room = self.cold_room(now) > 0;
        let class = self.classes.get(&request.class);
        let Some(class) = class.filter(|class| class.has_target()) else {
            return Decision::Refuse(RefusalReason::UnknownClass);
        };
        if serving && !request.exclude_local && has_cold_room && class.has_free_slot() {
            self.start(now, request.id, request.class);
            return Decision::Run;
        }
        if !request.handed_off {
            return self.queue_or_ask(now, request);
        }
        Decision::Refuse(if serving {
            RefusalReason::NoFreeSlot
        } else {
            RefusalReason::NotServing
        })
    }

    /// What the caller of a request that is refused now is told.
    pub fn refusal(&mut self, now: Instant, class: &ClassName, reason: RefusalReason) -> Refusal {
        let spread = self.rng.random();
        let class = self.classes.get_mut(class);
        class.map_or(Refusal::without_backlog(reason), |class| Refusal {
            reason,
            retry_after: class.assign_retry(now, spread),
        })
    }

    /// Handles the answer of a peer that was asked for a reservation. Returns
    /// `None` if the request got another decision meanwhile and no action is
    /// needed.
    pub fn handle_peer_answer(
        &mut self,
        now: Instant,
        id: RequestId,
        peer: UpstreamId,
        answer: PeerAnswer,
    ) -> Option<Decision> {
        let awaited = match self.requests.get_mut(&id) {
            Some(RequestState::Waiting(waiting)) if waiting.awaited_peer == Some(peer) => {
                waiting.awaited_peer = None;
                Some(waiting.class.clone())
            }
            _ => None,
        };
        match (answer, awaited) {
            (PeerAnswer::Granted, Some(class)) => {
                self.peers.record_granted(peer, &class);
                self.stop_waiting(id);
                Some(Decision::Forward { peer })
            }
            (PeerAnswer::Granted, None) => Some(Decision::Release { peer }),
            (PeerAnswer::Refused(loads), awaited) => {
                self.peers.update_loads(peer, &loads);
                let class = awaited?;
                self.peers.record_full(now, peer, &class, &self.settings);
                Some(self.ask_next(now, id))
            }
            (PeerAnswer::Unreachable, awaited) => {
                self.peers.record_unreachable(now, peer);
                awaited?;
                Some(self.ask_next(now, id))
            }
        }
    }

    /// Releases the slot of a request that ran on the local upstream.
    pub fn finish(
        &mut self,
        now: Instant,
        id: RequestId,
        outcome: RequestOutcome,
    ) -> Vec<DeferredDecision> {
        let Some(RequestState::Running(running)) = self.requests.get(&id) else {
            return Vec::new();
        };
        let running = running.clone();
        if let Some(class) = self.classes.get_mut(&running.class) {
            match outcome {
                RequestOutcome::Completed => {
                    class.record_service_time(now.saturating_duration_since(running.started_at));
                }
                RequestOutcome::Shed => class.apply_shed(now, &self.settings),
                RequestOutcome::Failed | RequestOutcome::NotStarted => {}
            }
        }
        self.requests.remove(&id);
        self.release_slot(now, &running.class)
    }

    /// Removes a waiting or running request that the caller cancelled. For a
    /// running request, call this once the connection to the upstream is
    /// closed.
    pub fn cancel(&mut self, now: Instant, id: RequestId) -> Vec<DeferredDecision> {
        match self.requests.get(&id) {
            Some(RequestState::Running(running)) => {
                let class = running.class.clone();
                self.requests.remove(&id);
                self.release_slot(now, &class)
            }
            Some(RequestState::Waiting(_)) => {
                self.stop_waiting(id);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Refuses requests that timed out, expires reservations and load reports,
    /// and asks peers for queued requests.
    pub fn tick(&mut self, now: Instant) -> Vec<DeferredDecision> {
        let mut decisions = self.refuse_timed_out(now);
        let expired = self.reservations.iter().filter(|(_, r)| r.expires <= now);
        let expired: Vec<ReservationId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            decisions.extend(self.release(now, id));
        }
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.tick(now);
        }
        let names: Vec<ClassName> = self.classes.keys().cloned().collect();
        for name in &names {
            let class = self.classes.get_mut(name);
            let (limit_expired, ask_due) = class.map_or((false, false), |class| {
                (class.drop_expired_limit(now), class.next_ask_at <= now)
            });
            if limit_expired || self.cold_start.is_some() {
                decisions.extend(self.start_queued(now, name));
            }
            if ask_due {
                decisions.extend(self.ask_again(now, name));
            }
            self.remove_unused_class(name);
        }
        decisions
    }

    /// Next instant at which `tick` or `start_due_probe` is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let timeout = self.timeouts.first().map(|(at, _)| *at);
        let reservation_expiry = self
            .reservations
            .values()
            .map(|reservation| reservation.expires)
            .min();
        let limit_expiry = self
            .classes
            .values()
            .filter_map(Class::limit_expires_at)
            .min();
        let asking_enabled = self.can_ask_peers() && self.settings.ask_interval.is_some();
        let with_queue = self.classes.values().filter(|c| !c.is_queue_empty());
        let ask = with_queue
            .map(|class| class.next_ask_at)
            .min()
            .filter(|_| asking_enabled);
        let is_held = |class: &&Class| class.has_free_slot() && !class.is_queue_empty();
        let cold_start = self.cold_start.as_ref().filter(|_| self.is_serving());
        let cold = cold_start
            .and_then(ColdStart::next_allowed_at)
            .filter(|_| self.classes.values().any(|class| is_held(&class)));
        [
            timeout,
            cold,
            reservation_expiry,
            limit_expiry,
            ask,
            self.health.next_probe(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state() == UpstreamState::Ready
    }

    /// Requests that may start now as far as the upstream is cold. Those with a
    /// reservation may start as well.
    pub(crate) fn cold_room(&self, now: Instant) -> usize {
        let allowance = self.cold_start.as_ref().map(|cold| cold.allowance(now));
        allowance.map_or(usize::MAX, |n| n.saturating_sub(self.reservations.len()))
    }

    pub(crate) fn can_ask_peers(&self) -> bool {
        self.settings.hand_off_enabled && !self.peers.is_empty()
    }

    pub(crate) fn start(&mut self, now: Instant, id: RequestId, class: ClassName) {
        if let Some(class_state) = self.classes.get_mut(&class) {
            class_state.in_flight += 1;
        }
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.record_start(now);
        }
        let running = Running {
            class,
            started_at: now,
        };
        self.requests.insert(id, RequestState::Running(running));
    }

    pub(crate) fn remove_unused_class(&mut self, name: &ClassName) {
        if self.classes.get(name).is_some_and(Class::is_unused) {
            self.classes.remove(name);
        }
    }
}
