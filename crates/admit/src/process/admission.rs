//! The admission of one agent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use types::{
    ClassName, DataCentre, Loads, RequestId, ReservationId, Target, UpstreamId, UpstreamState,
};

use crate::{
    Claim, Decision, Offer, Outcome, PeerAnswer, Reason, Report, RequestInfo, Reserve, Settings,
    Wake,
    process::health::Health,
    request::state::{Reservation, Running, State, Waiting},
    version::{Class, Peers},
};

/// Decides about the requests of one agent.
///
/// Local requests and reservations of peers compete for a slot in the order in
/// which they ask for it. A slot that becomes free goes to the local queue
/// first, so a reservation is granted only while no local request is queued.
#[derive(Debug, Clone)]
pub struct Admission {
    settings: Settings,
    rng: SmallRng,
    leaving: bool,
    health: Health,
    connections: u32,
    max_connections: u32,
    /// Every class with a target, and deleted ones until nothing is left.
    classes: BTreeMap<ClassName, Class>,
    peers: Peers,
    /// Requests that wait or run here.
    requests: BTreeMap<RequestId, State>,
    /// `until` of every waiting request.
    timeouts: BTreeSet<(Instant, RequestId)>,
    reservations: BTreeMap<ReservationId, Reservation>,
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
    ) -> Vec<Wake> {
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
                wakes.extend(self.refuse_waiting(&name, Reason::UnknownClass));
                self.forget_if_gone(&name);
            }
        }
        wakes
    }

    /// Sets whether the upstream leaves. Queued requests are then handed off.
    pub fn set_leaving(&mut self, now: Instant, leaving: bool) -> Vec<Wake> {
        self.leaving = leaving;
        self.serving_changed(now)
    }

    /// Notes that a connection to the upstream could not be opened; enough of
    /// them in a row make the upstream `Down`.
    pub fn connect_failed(&mut self, now: Instant) -> Vec<Wake> {
        if self.health.failed(now, &self.settings) {
            return self.serving_changed(now);
        }
        Vec::new()
    }

    /// Notes that a connection to the upstream was opened; ends `Down`.
    pub fn connect_succeeded(&mut self, now: Instant) -> Vec<Wake> {
        let was_down = self.health.is_down();
        self.health.succeeded();
        if was_down {
            return self.serving_changed(now);
        }
        Vec::new()
    }

    /// Whether an upstream that is down is to be probed now. The probe counts
    /// as begun; report it with `connect_failed` or `connect_succeeded`.
    pub fn probe_due(&mut self, now: Instant) -> bool {
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
    /// is replaced or `report_limit` passes, and never raises them over the
    /// target.
    pub fn note_report(&mut self, now: Instant, class: &ClassName, report: Report) -> Vec<Wake> {
        if let Some(known) = self.classes.get_mut(class) {
            known.note_report(now, report, &self.settings);
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
    pub fn note_peer_load(&mut self, now: Instant, peer: UpstreamId, loads: &Loads) -> Vec<Wake> {
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
            return Decision::Refuse(Reason::DuplicateId);
        }
        if request.deadline.is_some_and(|at| at <= now) {
            return Decision::Refuse(Reason::Deadline);
        }
        let class = self.classes.get(&request.class);
        let Some(class) = class.filter(|class| class.has_target()) else {
            return Decision::Refuse(Reason::UnknownClass);
        };
        if serving && !request.elsewhere && class.has_free_slot() {
            self.run(now, request.id, request.class);
            return Decision::Run;
        }
        if !request.handed_off {
            return self.wait(now, request);
        }
        Decision::Refuse(if serving {
            Reason::Full
        } else {
            Reason::NotServing
        })
    }

    /// Notes the answer of a peer that was asked. `None` if the request got
    /// another decision meanwhile and nothing is to be done.
    pub fn peer_answer(
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
                Some(Decision::Pass { peer })
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
    pub fn finish(&mut self, now: Instant, id: RequestId, outcome: Outcome) -> Vec<Wake> {
        let Some(State::Running(running)) = self.requests.get(&id) else {
            return Vec::new();
        };
        let running = running.clone();
        if let Some(class) = self.classes.get_mut(&running.class) {
            match outcome {
                Outcome::Completed => {
                    class.note_service_time(now.saturating_duration_since(running.since));
                }
                Outcome::Shed => class.note_shed(now, &self.settings),
                Outcome::Failed | Outcome::NotStarted => {}
            }
        }
        self.requests.remove(&id);
        self.free_slot(now, &running.class)
    }

    /// Forgets a request that the caller cancelled, whether it waits or runs.
    /// For one that runs, call it when the connection to the upstream is
    /// closed.
    pub fn cancel(&mut self, now: Instant, id: RequestId) -> Vec<Wake> {
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

    /// Holds a slot for a request of the peer `from` until `deadline`, at most
    /// for `reservation_limit`. The same id again gets the same answer. A peer
    /// that is refused may get an [`Offer`] within `offer_within`.
    pub fn reserve(
        &mut self,
        now: Instant,
        id: ReservationId,
        from: UpstreamId,
        class: &ClassName,
        deadline: Instant,
    ) -> Reserve {
        if let Some(held) = self.reservations.get(&id) {
            return Reserve::Granted {
                expires: held.expires,
            };
        }
        // A peer asks because its own slots are taken.
        self.peers.note_full(now, from, class, &self.settings);
        let serving = self.is_serving();
        match self.classes.get_mut(class) {
            Some(known) if serving && now < deadline && known.has_free_slot() => {
                let expires = deadline.min(now + self.settings.reservation_limit);
                known.reserved += 1;
                let class = class.clone();
                self.reservations.insert(id, Reservation { class, expires });
                Reserve::Granted { expires }
            }
            Some(known) if serving => {
                known.note_asked(from, now + self.settings.offer_within);
                Reserve::Refused(self.loads())
            }
            _ => Reserve::Refused(self.loads()),
        }
    }

    /// Slots that became free while no local request was queued, held for
    /// peers that were refused shortly before. Call it after each input that
    /// can free a slot, and send each offer to its peer.
    pub fn take_offers(&mut self, now: Instant) -> Vec<Offer> {
        let mut offers = Vec::new();
        if !self.is_serving() {
            return offers;
        }
        let expires = now + self.settings.reservation_limit;
        for (name, known) in &mut self.classes {
            while known.has_free_slot()
                && let Some(peer) = known.take_asker(now)
            {
                let id = ReservationId(self.rng.random());
                known.reserved += 1;
                let class = name.clone();
                self.reservations.insert(id, Reservation { class, expires });
                let class = name.clone();
                offers.push(Offer { peer, class, id });
            }
        }
        offers
    }

    /// Notes that `peer` offers a slot. Returns the queued request that is
    /// passed to it; `None` if the offer is to be released.
    pub fn offered(&mut self, peer: UpstreamId, class: &ClassName) -> Option<Wake> {
        let id = self.classes.get(class)?.queued().next()?;
        self.peers.note_granted(peer, class);
        self.stop_waiting(id);
        let decision = Decision::Pass { peer };
        Some(Wake { id, decision })
    }

    /// Turns a reservation into the request `request` that runs here. An
    /// upstream that began to leave still takes it; one that is down does not.
    pub fn claim(&mut self, now: Instant, id: ReservationId, request: RequestId) -> Claim {
        let valid = self
            .reservations
            .get(&id)
            .is_some_and(|held| now < held.expires);
        if !valid || self.health.is_down() || self.requests.contains_key(&request) {
            return Claim::Lapsed;
        }
        if let Some(held) = self.reservations.remove(&id) {
            if let Some(class) = self.classes.get_mut(&held.class) {
                class.reserved -= 1;
            }
            self.run(now, request, held.class);
        }
        Claim::Run
    }

    /// Gives back a reservation that the peer does not need.
    pub fn release(&mut self, now: Instant, id: ReservationId) -> Vec<Wake> {
        let Some(held) = self.reservations.remove(&id) else {
            return Vec::new();
        };
        if let Some(class) = self.classes.get_mut(&held.class) {
            class.reserved -= 1;
        }
        self.start_queued(now, &held.class)
    }

    /// Ends what has passed its deadline and asks peers again.
    pub fn tick(&mut self, now: Instant) -> Vec<Wake> {
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

    /// When `tick` or `probe_due` has something to do next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let timeout = self.timeouts.first().map(|(at, _)| *at);
        let lapse = self.reservations.values().map(|held| held.expires).min();
        let limit = self.classes.values().filter_map(Class::limit_ends).min();
        let asks = self.may_ask() && self.settings.ask_again.is_some();
        let waits = self.classes.values().filter(|c| !c.is_queue_empty());
        let ask = waits.map(|class| class.ask_at).min().filter(|_| asks);
        [timeout, lapse, limit, ask, self.health.next_probe()]
            .into_iter()
            .flatten()
            .min()
    }

    fn is_serving(&self) -> bool {
        self.state() == UpstreamState::Ready
    }

    fn may_ask(&self) -> bool {
        self.settings.hand_off && !self.peers.is_empty()
    }

    fn run(&mut self, now: Instant, id: RequestId, class: ClassName) {
        if let Some(known) = self.classes.get_mut(&class) {
            known.in_flight += 1;
        }
        let running = Running { class, since: now };
        self.requests.insert(id, State::Running(running));
    }

    /// Queues a request, or lets it ask peers when the queue has no room or
    /// would keep it for too long.
    fn wait(&mut self, now: Instant, request: RequestInfo) -> Decision {
        if !self.may_ask() && (self.leaving || request.elsewhere) {
            return Decision::Refuse(Reason::NotServing);
        }
        let limit = now + self.settings.queue_limit;
        let until = request.deadline.map_or(limit, |at| at.min(limit));
        let waiting = Waiting {
            class: request.class,
            until,
            deadline: request.deadline,
            place: None,
            asked: None,
            tried: Vec::new(),
            round_over: false,
            elsewhere: request.elsewhere,
        };
        if let Some(class) = self.classes.get_mut(&waiting.class) {
            class.asking += 1;
        }
        self.timeouts.insert((until, request.id));
        self.requests.insert(request.id, State::Waiting(waiting));
        let refusal = self.enqueue(now, request.id).err();
        if refusal.is_some() && self.too_many_asking(request.id) {
            self.stop_waiting(request.id);
            return Decision::Refuse(Reason::QueueFull);
        }
        self.ask_next(now, request.id)
    }

    fn too_many_asking(&self, id: RequestId) -> bool {
        let class = match self.requests.get(&id) {
            Some(State::Waiting(waiting)) => self.classes.get(&waiting.class),
            _ => None,
        };
        class.is_some_and(|class| class.asking > self.settings.max_asking)
    }

    /// Gives a waiting request a place in the queue, unless it has one.
    fn enqueue(&mut self, now: Instant, id: RequestId) -> Result<(), Reason> {
        let Some(State::Waiting(waiting)) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        let Some(class) = self.classes.get_mut(&waiting.class) else {
            return Err(Reason::UnknownClass);
        };
        if waiting.place.is_some() {
            return Ok(());
        }
        if waiting.elsewhere {
            return Err(Reason::NotServing);
        }
        if !class.has_queue_room(&self.settings) {
            return Err(Reason::QueueFull);
        }
        let wait = class.expected_wait(&self.settings);
        if !class.can_meet(now, wait, waiting.deadline) {
            return Err(Reason::Deadline);
        }
        class.asking -= 1;
        waiting.place = Some(class.enqueue(now, id));
        Ok(())
    }

    /// Goes on with the first round of questions; after it, the request stays
    /// queued or is refused.
    fn ask_next(&mut self, now: Instant, id: RequestId) -> Decision {
        let may_ask = self.may_ask();
        let Some(State::Waiting(waiting)) = self.requests.get_mut(&id) else {
            return Decision::Refuse(Reason::QueueTimeout);
        };
        if may_ask && !waiting.round_over {
            let class = &waiting.class;
            if let Some(peer) = self.peers.choose(now, class, &waiting.tried, &mut self.rng) {
                waiting.asked = Some(peer);
                waiting.tried.push(peer);
                return Decision::HandOff { peer };
            }
        }
        waiting.round_over = true;
        waiting.tried = Vec::new();
        let until = waiting.until;
        match self.enqueue(now, id) {
            Ok(()) => Decision::Queue { until },
            Err(reason) => {
                self.stop_waiting(id);
                Decision::Refuse(reason)
            }
        }
    }

    /// Lets the oldest queued request that awaits no answer ask one peer.
    fn ask_again(&mut self, now: Instant, name: &ClassName) -> Option<Wake> {
        let pause = self.settings.ask_again.filter(|_| self.may_ask())?;
        let class = self.classes.get_mut(name)?;
        class.ask_at = now + pause.mul_f64(self.rng.random_range(0.75..1.25));
        let idle = |id: &RequestId| matches!(self.requests.get(id), Some(State::Waiting(w)) if w.asked.is_none());
        let id = class.queued().find(idle)?;
        let peer = self.peers.choose(now, name, &[], &mut self.rng)?;
        if let Some(State::Waiting(waiting)) = self.requests.get_mut(&id) {
            waiting.asked = Some(peer);
        }
        let decision = Decision::HandOff { peer };
        Some(Wake { id, decision })
    }

    /// Removes a waiting request from every index.
    fn stop_waiting(&mut self, id: RequestId) -> Option<Waiting> {
        let Some(State::Waiting(waiting)) = self.requests.remove(&id) else {
            return None;
        };
        self.timeouts.remove(&(waiting.until, id));
        if let Some(class) = self.classes.get_mut(&waiting.class) {
            match waiting.place {
                Some(place) => class.dequeue(place),
                None => class.asking -= 1,
            }
        }
        Some(waiting)
    }

    fn free_slot(&mut self, now: Instant, name: &ClassName) -> Vec<Wake> {
        if let Some(class) = self.classes.get_mut(name) {
            class.in_flight -= 1;
        }
        let wakes = self.start_queued(now, name);
        self.forget_if_gone(name);
        wakes
    }

    /// Gives free slots to queued requests, and refuses those whose deadline
    /// can no longer be met.
    fn start_queued(&mut self, now: Instant, name: &ClassName) -> Vec<Wake> {
        let mut wakes = Vec::new();
        while let Some(id) = self.next_to_start(now, name) {
            let deadline = self.stop_waiting(id).and_then(|waiting| waiting.deadline);
            let class = self.classes.get(name);
            let in_time = class.is_some_and(|c| c.can_meet(now, Duration::ZERO, deadline));
            let decision = if in_time {
                self.run(now, id, name.clone());
                Decision::Run
            } else {
                Decision::Refuse(Reason::Deadline)
            };
            wakes.push(Wake { id, decision });
        }
        wakes
    }

    fn next_to_start(&self, now: Instant, name: &ClassName) -> Option<RequestId> {
        let class = self.classes.get(name)?;
        let may_start = self.is_serving() && class.has_free_slot();
        class.next_queued(now, &self.settings).filter(|_| may_start)
    }

    fn refuse_overdue(&mut self, now: Instant) -> Vec<Wake> {
        let mut wakes = Vec::new();
        while let Some((until, id)) = self.timeouts.first().copied() {
            if until > now {
                break;
            }
            let deadline = self.stop_waiting(id).and_then(|waiting| waiting.deadline);
            let reason = if deadline.is_some_and(|at| at <= now) {
                Reason::Deadline
            } else if self.is_serving() {
                Reason::QueueTimeout
            } else {
                Reason::NotServing
            };
            let decision = Decision::Refuse(reason);
            wakes.push(Wake { id, decision });
        }
        wakes
    }

    fn refuse_waiting(&mut self, name: &ClassName, reason: Reason) -> Vec<Wake> {
        let decision = Decision::Refuse(reason);
        let ids = self.waiting_of(name);
        for &id in &ids {
            self.stop_waiting(id);
        }
        ids.into_iter().map(|id| Wake { id, decision }).collect()
    }

    fn waiting_of(&self, name: &ClassName) -> Vec<RequestId> {
        let of_class = |id: &RequestId| matches!(self.requests.get(id), Some(State::Waiting(w)) if w.class == *name);
        let ids = self.timeouts.iter().map(|(_, id)| *id);
        ids.filter(of_class).collect()
    }

    /// Starts queued requests when the upstream takes new work again, and lets
    /// them ask peers when it no longer does.
    fn serving_changed(&mut self, now: Instant) -> Vec<Wake> {
        let names: Vec<ClassName> = self.classes.keys().cloned().collect();
        let mut wakes = Vec::new();
        for name in names {
            if self.is_serving() {
                wakes.extend(self.start_queued(now, &name));
            } else {
                wakes.extend(self.hand_off_queued(now, &name));
            }
        }
        wakes
    }

    fn hand_off_queued(&mut self, now: Instant, name: &ClassName) -> Vec<Wake> {
        let mut wakes = Vec::new();
        for id in self.waiting_of(name) {
            let Some(State::Waiting(waiting)) = self.requests.get_mut(&id) else {
                continue;
            };
            waiting.round_over = false;
            if waiting.asked.is_some() {
                continue;
            }
            let decision = self.ask_next(now, id);
            if !matches!(decision, Decision::Queue { .. }) {
                wakes.push(Wake { id, decision });
            }
        }
        wakes
    }

    fn forget_if_gone(&mut self, name: &ClassName) {
        if self.classes.get(name).is_some_and(Class::is_gone) {
            self.classes.remove(name);
        }
    }
}
