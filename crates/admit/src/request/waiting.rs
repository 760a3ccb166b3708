//! Requests that wait for a local slot or for the answer of a peer.

use std::time::{Duration, Instant};

use rand::Rng;
use types::{ClassName, RequestId};

use super::state::{QueuePlace, RequestState, Waiting};
use crate::{Admission, Decision, DeferredDecision, RefusalReason, RequestInfo};

impl Admission {
    /// Queues a request, or asks peers if the queue is full or the expected
    /// wait exceeds the deadline.
    pub(crate) fn queue_or_ask(&mut self, now: Instant, request: RequestInfo) -> Decision {
        if !self.can_ask_peers() && (self.leaving || request.exclude_local) {
            return Decision::Refuse(RefusalReason::NotServing);
        }
        let limit = now + self.settings.queue_timeout;
        let until = request.deadline.map_or(limit, |at| at.min(limit));
        let waiting = Waiting {
            class: request.class,
            timeout_at: until,
            deadline: request.deadline,
            caller: request.caller,
            place: QueuePlace::Outside,
            awaited_peer: None,
            asked_peers: Vec::new(),
            first_round_done: false,
            exclude_local: request.exclude_local,
        };
        if let Some(class) = self.classes.get_mut(&waiting.class) {
            class.asking += 1;
        }
        self.timeouts.insert((until, request.id));
        self.requests
            .insert(request.id, RequestState::Waiting(waiting));
        let refusal = self.enqueue(now, request.id).err();
        if refusal.is_some() && self.exceeds_asking_limit(request.id) {
            self.stop_waiting(request.id);
            return Decision::Refuse(RefusalReason::QueueFull);
        }
        self.ask_next(now, request.id)
    }

    pub(crate) fn exceeds_asking_limit(&self, id: RequestId) -> bool {
        let class = match self.requests.get(&id) {
            Some(RequestState::Waiting(waiting)) => self.classes.get(&waiting.class),
            _ => None,
        };
        class.is_some_and(|class| class.asking > self.settings.max_unqueued_asking)
    }

    /// Adds a waiting request to the queue of its class, unless it is queued.
    /// Without peers to ask, one that gets no slot in time is refused at once.
    pub(crate) fn enqueue(&mut self, now: Instant, id: RequestId) -> Result<(), RefusalReason> {
        let may_ask = self.can_ask_peers();
        let Some(RequestState::Waiting(waiting)) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        let Some(class) = self.classes.get_mut(&waiting.class) else {
            return Err(RefusalReason::UnknownClass);
        };
        if waiting.place == QueuePlace::Queued {
            return Ok(());
        }
        if waiting.exclude_local {
            return Err(RefusalReason::NotServing);
        }
        if waiting.place == QueuePlace::Displaced {
            return Err(RefusalReason::QueueFull);
        }
        let has_room = class.has_queue_room(&self.settings);
        if !has_room && !self.settings.fair_queueing {
            return Err(RefusalReason::QueueFull);
        }
        let wait = class.expected_wait(&self.settings);
        if !may_ask && now + wait > waiting.timeout_at {
            return Err(RefusalReason::QueueTimeout);
        }
        if !class.can_meet(now, wait, waiting.deadline) {
            return Err(RefusalReason::Deadline);
        }
        class.asking -= 1;
        waiting.place = QueuePlace::Queued;
        class.enqueue(now, id, waiting);
        if has_room {
            return Ok(());
        }
        self.displace_last(now, id)
    }

    /// Removes the last request from the full queue of a class that `id` was added to, and
    /// lets the next tick refuse it unless it is `id`.
    fn displace_last(&mut self, now: Instant, id: RequestId) -> Result<(), RefusalReason> {
        let name = match self.requests.get(&id) {
            Some(RequestState::Waiting(waiting)) => &waiting.class,
            _ => return Ok(()),
        };
        let Some(class) = self.classes.get_mut(name) else {
            return Ok(());
        };
        let Some(last) = class.take_last(now) else {
            return Ok(());
        };
        class.asking += 1;
        if let Some(RequestState::Waiting(waiting)) = self.requests.get_mut(&last) {
            waiting.place = QueuePlace::Outside;
            if last == id {
                return Err(RefusalReason::QueueFull);
            }
            waiting.place = QueuePlace::Displaced;
            self.timeouts.remove(&(waiting.timeout_at, last));
            waiting.timeout_at = now;
            self.timeouts.insert((now, last));
        }
        Ok(())
    }

    /// Asks the next peer of the first round. After the last one, the request
    /// stays queued or is refused.
    pub(crate) fn ask_next(&mut self, now: Instant, id: RequestId) -> Decision {
        let can_ask_peers = self.can_ask_peers();
        let Some(RequestState::Waiting(waiting)) = self.requests.get_mut(&id) else {
            return Decision::Refuse(RefusalReason::QueueTimeout);
        };
        if can_ask_peers && !waiting.first_round_done {
            let class = &waiting.class;
            if let Some(peer) = self
                .peers
                .choose(now, class, &waiting.asked_peers, &mut self.rng)
            {
                waiting.awaited_peer = Some(peer);
                waiting.asked_peers.push(peer);
                return Decision::AskPeer { peer };
            }
        }
        waiting.first_round_done = true;
        waiting.asked_peers = Vec::new();
        let until = waiting.timeout_at;
        match self.enqueue(now, id) {
            Ok(()) => Decision::Queue { until },
            Err(reason) => {
                self.stop_waiting(id);
                Decision::Refuse(reason)
            }
        }
    }

    /// Asks one peer for the oldest queued request without a pending answer.
    pub(crate) fn ask_again(&mut self, now: Instant, name: &ClassName) -> Option<DeferredDecision> {
        let pause = self
            .settings
            .ask_interval
            .filter(|_| self.can_ask_peers())?;
        let class = self.classes.get_mut(name)?;
        class.next_ask_at = now + pause.mul_f64(self.rng.random_range(0.75..1.25));
        let has_no_pending_ask = |id: RequestId| matches!(self.requests.get(&id), Some(RequestState::Waiting(w)) if w.awaited_peer.is_none());
        let id = class.oldest_queued(has_no_pending_ask)?;
        let peer = self.peers.choose(now, name, &[], &mut self.rng)?;
        if let Some(RequestState::Waiting(waiting)) = self.requests.get_mut(&id) {
            waiting.awaited_peer = Some(peer);
        }
        let decision = Decision::AskPeer { peer };
        Some(DeferredDecision { id, decision })
    }

    /// Removes a waiting request from every index.
    pub(crate) fn stop_waiting(&mut self, id: RequestId) -> Option<Waiting> {
        let Some(RequestState::Waiting(waiting)) = self.requests.remove(&id) else {
            return None;
        };
        self.timeouts.remove(&(waiting.timeout_at, id));
        if let Some(class) = self.classes.get_mut(&waiting.class) {
            if waiting.place == QueuePlace::Queued {
                class.dequeue(id);
            } else {
                class.asking -= 1;
            }
        }
        Some(waiting)
    }

    pub(crate) fn release_slot(&mut self, now: Instant, name: &ClassName) -> Vec<DeferredDecision> {
        if let Some(class) = self.classes.get_mut(name) {
            class.in_flight -= 1;
        }
        let decisions = self.start_queued(now, name);
        self.remove_unused_class(name);
        decisions
    }

    /// Starts queued requests in free slots, and refuses those whose deadline
    /// can no longer be met.
    pub(crate) fn start_queued(&mut self, now: Instant, name: &ClassName) -> Vec<DeferredDecision> {
        let mut decisions = Vec::new();
        while let Some(id) = self.next_to_start(now, name) {
            let deadline = self.deadline(id);
            let class = self.classes.get_mut(name);
            let class = class.filter(|c| c.can_meet(now, Duration::ZERO, deadline));
            let in_time = class.is_some();
            if let Some(class) = class {
                class.serve(now, id);
            }
            self.stop_waiting(id);
            let decision = if in_time {
                self.start(now, id, name.clone());
                Decision::Run
            } else {
                Decision::Refuse(RefusalReason::Deadline)
            };
            decisions.push(DeferredDecision { id, decision });
        }
        decisions.extend(self.refuse_hopeless(now, name));
        decisions
    }

    /// Refuses the queued requests that get no slot in time, unless a peer may take them.
    fn refuse_hopeless(&mut self, now: Instant, name: &ClassName) -> Vec<DeferredDecision> {
        let class = self.classes.get_mut(name);
        let class = class.filter(|class| !class.is_queue_empty());
        let Some(class) = class else {
            return Vec::new();
        };
        if self.settings.hand_off_enabled && !self.peers.is_empty() {
            return Vec::new();
        }
        let hopeless = class.take_hopeless(now);
        let decision = Decision::Refuse(RefusalReason::Deadline);
        for &id in &hopeless {
            self.stop_waiting(id);
        }
        let decide = |id| DeferredDecision { id, decision };
        hopeless.into_iter().map(decide).collect()
    }

    pub(crate) fn next_to_start(&mut self, now: Instant, name: &ClassName) -> Option<RequestId> {
        let may_start = self.is_serving() && self.cold_room(now) > 0;
        let class = self.classes.get_mut(name)?;
        let may_start = may_start && class.has_free_slot();
        may_start.then(|| class.next_queued(now, &self.settings))?
    }

    fn deadline(&self, id: RequestId) -> Option<Instant> {
        match self.requests.get(&id) {
            Some(RequestState::Waiting(waiting)) => waiting.deadline,
            _ => None,
        }
    }

    pub(crate) fn refuse_timed_out(&mut self, now: Instant) -> Vec<DeferredDecision> {
        let mut decisions = Vec::new();
        while let Some((until, id)) = self.timeouts.first().copied() {
            if until > now {
                break;
            }
            let waiting = self.stop_waiting(id);
            let deadline = waiting.as_ref().and_then(|waiting| waiting.deadline);
            let reason = if waiting.is_some_and(|waiting| waiting.place == QueuePlace::Displaced) {
                RefusalReason::QueueFull
            } else if deadline.is_some_and(|at| at <= now) {
                RefusalReason::Deadline
            } else if self.is_serving() {
                RefusalReason::QueueTimeout
            } else {
                RefusalReason::NotServing
            };
            let decision = Decision::Refuse(reason);
            decisions.push(DeferredDecision { id, decision });
        }
        decisions
    }

    pub(crate) fn refuse_waiting(
        &mut self,
        name: &ClassName,
        reason: RefusalReason,
    ) -> Vec<DeferredDecision> {
        let decision = Decision::Refuse(reason);
        let ids = self.waiting_in_class(name);
        for &id in &ids {
            self.stop_waiting(id);
        }
        ids.into_iter()
            .map(|id| DeferredDecision { id, decision })
            .collect()
    }

    pub(crate) fn waiting_in_class(&self, name: &ClassName) -> Vec<RequestId> {
        let of_class = |id: &RequestId| matches!(self.requests.get(id), Some(RequestState::Waiting(w)) if w.class == *name);
        let ids = self.timeouts.iter().map(|(_, id)| *id);
        ids.filter(of_class).collect()
    }

    /// Starts queued requests if the upstream takes new work, and otherwise
    /// asks peers for them.
    pub(crate) fn handle_serving_change(&mut self, now: Instant) -> Vec<DeferredDecision> {
        let names: Vec<ClassName> = self.classes.keys().cloned().collect();
        let mut decisions = Vec::new();
        for name in names {
            if self.is_serving() {
                decisions.extend(self.start_queued(now, &name));
            } else {
                decisions.extend(self.hand_off_queued(now, &name));
            }
        }
        decisions
    }

    pub(crate) fn hand_off_queued(
        &mut self,
        now: Instant,
        name: &ClassName,
    ) -> Vec<DeferredDecision> {
        let mut decisions = Vec::new();
        for id in self.waiting_in_class(name) {
            let Some(RequestState::Waiting(waiting)) = self.requests.get_mut(&id) else {
                continue;
            };
            waiting.first_round_done = false;
            if waiting.awaited_peer.is_some() {
                continue;
            }
            let decision = self.ask_next(now, id);
            if !matches!(decision, Decision::Queue { .. }) {
                decisions.push(DeferredDecision { id, decision });
            }
        }
        decisions
    }
}
