//! Requests that wait for a slot, here or at a peer.

use std::time::{Duration, Instant};

use rand::Rng;
use types::{ClassName, RequestId};

use super::state::{State, Waiting};
use crate::{Admission, Decision, DeferredDecision, RefusalReason, RequestInfo};

impl Admission {
    /// Queues a request, or lets it ask peers when the queue has no room or
    /// would keep it for too long.
    pub(crate) fn wait(&mut self, now: Instant, request: RequestInfo) -> Decision {
        if !self.may_ask() && (self.leaving || request.exclude_local) {
            return Decision::Refuse(RefusalReason::NotServing);
        }
        let limit = now + self.settings.queue_timeout;
        let until = request.deadline.map_or(limit, |at| at.min(limit));
        let waiting = Waiting {
            class: request.class,
            until,
            deadline: request.deadline,
            place: None,
            asked: None,
            tried: Vec::new(),
            round_over: false,
            exclude_local: request.exclude_local,
        };
        if let Some(class) = self.classes.get_mut(&waiting.class) {
            class.asking += 1;
        }
        self.timeouts.insert((until, request.id));
        self.requests.insert(request.id, State::Waiting(waiting));
        let refusal = self.enqueue(now, request.id).err();
        if refusal.is_some() && self.too_many_asking(request.id) {
            self.stop_waiting(request.id);
            return Decision::Refuse(RefusalReason::QueueFull);
        }
        self.ask_next(now, request.id)
    }

    pub(crate) fn too_many_asking(&self, id: RequestId) -> bool {
        let class = match self.requests.get(&id) {
            Some(State::Waiting(waiting)) => self.classes.get(&waiting.class),
            _ => None,
        };
        class.is_some_and(|class| class.asking > self.settings.max_unqueued_asking)
    }

    /// Gives a waiting request a place in the queue, unless it has one.
    pub(crate) fn enqueue(&mut self, now: Instant, id: RequestId) -> Result<(), RefusalReason> {
        let Some(State::Waiting(waiting)) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        let Some(class) = self.classes.get_mut(&waiting.class) else {
            return Err(RefusalReason::UnknownClass);
        };
        if waiting.place.is_some() {
            return Ok(());
        }
        if waiting.exclude_local {
            return Err(RefusalReason::NotServing);
        }
        if !class.has_queue_room(&self.settings) {
            return Err(RefusalReason::QueueFull);
        }
        let wait = class.expected_wait(&self.settings);
        if !class.can_meet(now, wait, waiting.deadline) {
            return Err(RefusalReason::Deadline);
        }
        class.asking -= 1;
        waiting.place = Some(class.enqueue(now, id));
        Ok(())
    }

    /// Goes on with the first round of questions; after it, the request stays
    /// queued or is refused.
    pub(crate) fn ask_next(&mut self, now: Instant, id: RequestId) -> Decision {
        let may_ask = self.may_ask();
        let Some(State::Waiting(waiting)) = self.requests.get_mut(&id) else {
            return Decision::Refuse(RefusalReason::QueueTimeout);
        };
        if may_ask && !waiting.round_over {
            let class = &waiting.class;
            if let Some(peer) = self.peers.choose(now, class, &waiting.tried, &mut self.rng) {
                waiting.asked = Some(peer);
                waiting.tried.push(peer);
                return Decision::AskPeer { peer };
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
    pub(crate) fn ask_again(&mut self, now: Instant, name: &ClassName) -> Option<DeferredDecision> {
        let pause = self.settings.ask_interval.filter(|_| self.may_ask())?;
        let class = self.classes.get_mut(name)?;
        class.ask_at = now + pause.mul_f64(self.rng.random_range(0.75..1.25));
        let idle = |id: &RequestId| matches!(self.requests.get(id), Some(State::Waiting(w)) if w.asked.is_none());
        let id = class.queued().find(idle)?;
        let peer = self.peers.choose(now, name, &[], &mut self.rng)?;
        if let Some(State::Waiting(waiting)) = self.requests.get_mut(&id) {
            waiting.asked = Some(peer);
        }
        let decision = Decision::AskPeer { peer };
        Some(DeferredDecision { id, decision })
    }

    /// Removes a waiting request from every index.
    pub(crate) fn stop_waiting(&mut self, id: RequestId) -> Option<Waiting> {
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

    pub(crate) fn free_slot(&mut self, now: Instant, name: &ClassName) -> Vec<DeferredDecision> {
        if let Some(class) = self.classes.get_mut(name) {
            class.in_flight -= 1;
        }
        let wakes = self.start_queued(now, name);
        self.forget_if_gone(name);
        wakes
    }

    /// Gives free slots to queued requests, and refuses those whose deadline
    /// can no longer be met.
    pub(crate) fn start_queued(&mut self, now: Instant, name: &ClassName) -> Vec<DeferredDecision> {
        let mut wakes = Vec::new();
        while let Some(id) = self.next_to_start(now, name) {
            let deadline = self.stop_waiting(id).and_then(|waiting| waiting.deadline);
            let class = self.classes.get(name);
            let in_time = class.is_some_and(|c| c.can_meet(now, Duration::ZERO, deadline));
            let decision = if in_time {
                self.run(now, id, name.clone());
                Decision::Run
            } else {
                Decision::Refuse(RefusalReason::Deadline)
            };
            wakes.push(DeferredDecision { id, decision });
        }
        wakes
    }

    pub(crate) fn next_to_start(&self, now: Instant, name: &ClassName) -> Option<RequestId> {
        let class = self.classes.get(name)?;
        let may_start = self.is_serving() && class.has_free_slot();
        class.next_queued(now, &self.settings).filter(|_| may_start)
    }

    pub(crate) fn refuse_overdue(&mut self, now: Instant) -> Vec<DeferredDecision> {
        let mut wakes = Vec::new();
        while let Some((until, id)) = self.timeouts.first().copied() {
            if until > now {
                break;
            }
            let deadline = self.stop_waiting(id).and_then(|waiting| waiting.deadline);
            let reason = if deadline.is_some_and(|at| at <= now) {
                RefusalReason::Deadline
            } else if self.is_serving() {
                RefusalReason::QueueTimeout
            } else {
                RefusalReason::NotServing
            };
            let decision = Decision::Refuse(reason);
            wakes.push(DeferredDecision { id, decision });
        }
        wakes
    }

    pub(crate) fn refuse_waiting(
        &mut self,
        name: &ClassName,
        reason: RefusalReason,
    ) -> Vec<DeferredDecision> {
        let decision = Decision::Refuse(reason);
        let ids = self.waiting_of(name);
        for &id in &ids {
            self.stop_waiting(id);
        }
        ids.into_iter()
            .map(|id| DeferredDecision { id, decision })
            .collect()
    }

    pub(crate) fn waiting_of(&self, name: &ClassName) -> Vec<RequestId> {
        let of_class = |id: &RequestId| matches!(self.requests.get(id), Some(State::Waiting(w)) if w.class == *name);
        let ids = self.timeouts.iter().map(|(_, id)| *id);
        ids.filter(of_class).collect()
    }

    /// Starts queued requests when the upstream takes new work again, and lets
    /// them ask peers when it no longer does.
    pub(crate) fn serving_changed(&mut self, now: Instant) -> Vec<DeferredDecision> {
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

    pub(crate) fn hand_off_queued(
        &mut self,
        now: Instant,
        name: &ClassName,
    ) -> Vec<DeferredDecision> {
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
                wakes.push(DeferredDecision { id, decision });
            }
        }
        wakes
    }
}
