//! Queue of the requests on open flows that wait for a slot of an upstream.
//!
//! An opening waits for a slot in an [`OpeningQueue`], but a request on an open flow would
//! go to the upstream's own queue, which serves it before more urgent ones that arrive
//! later. So both wait for the same slots, in the order of one rule. A request on an open
//! flow cannot be refused, and its caller sends a copy after 200 ms, so it waits for a
//! shorter time and is then delivered in any case.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use queueing::{FreeSlot, Order, WaitingQueue};
use types::RequestTargets;

use super::{
    OpeningQueue,
    opening_queue::{CallerShare, urgency},
};
use crate::{FlowTuple, Segment};

/// Maximum time for which a request waits. The caller sends a copy after 200 ms; the
/// rest is for the path and the upstream.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Maximum number of service addresses with known targets.
const MAX_ROUTES: usize = 4096;

/// The datagram of a request that waits.
#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    seg: Segment,
    since: Instant,
}

/// Requests on open flows that wait for a slot, with an item of type `T` for each.
#[derive(Debug)]
pub struct RequestQueue<T> {
    queue: WaitingQueue<FlowTuple, CallerShare, T>,
    waiting: BTreeMap<FlowTuple, WaitingRequest>,
    /// Targets by service address, from the latest opening. Only openings carry them.
    targets: BTreeMap<SocketAddrV4, RequestTargets>,
}

/// What is delivered next of the openings and requests that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextWaiting<T> {
    /// The opening of a new flow.
    Opening(T),
    /// A request on an open flow.
    Request(T),
}

impl<T> Default for RequestQueue<T> {
    fn default() -> Self {
        RequestQueue {
            queue: WaitingQueue::default(),
            waiting: BTreeMap::new(),
            targets: BTreeMap::new(),
        }
    }
}

impl<T> RequestQueue<T> {
    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records the targets of the requests to a service address.
    pub fn set_targets(&mut self, service: SocketAddrV4, targets: RequestTargets) {
        if self.targets.len() < MAX_ROUTES || self.targets.contains_key(&service) {
            self.targets.insert(service, targets);
        }
    }

    /// Adds a request. A copy replaces it and does not prolong its wait.
    pub fn push(&mut self, seg: &Segment, item: T, now: Instant) {
        let key = seg.key_from_caller();
        let since = self.waiting.get(&key).map_or(now, |request| request.since);
        self.waiting
            .insert(key, WaitingRequest { seg: *seg, since });
        let targets = self.targets.get(&key.service).copied().unwrap_or_default();
        let urgency = urgency(key, targets, since, targets.timeout);
        self.queue.push(key, urgency, item);
    }

    /// Takes the waiting request of the flow if the datagram comes after it, so that the
    /// upstream gets them in order.
    pub fn take_before(&mut self, seg: &Segment) -> Option<T> {
        let key = seg.key_from_caller();
        let request = self.waiting.get(&key)?;
        let is_later = seg.seq != request.seg.seq && (seg.len > 0 || seg.ends || seg.resets);
        is_later.then(|| self.take(&key)).flatten()
    }

    /// Removes the request of which the datagram is a copy.
    pub fn remove_copy(&mut self, seg: &Segment) {
        let key = seg.key_from_caller();
        let request = self.waiting.get(&key);
        if request.is_some_and(|request| request.seg.seq == seg.seq && seg.len > 0) {
            self.take(&key);
        }
    }

    fn take(&mut self, key: &FlowTuple) -> Option<T> {
        self.waiting.remove(key)?;
        self.queue.remove(key)
    }

    /// Takes the openings to deliver before the requests that must not wait beyond `until`:
    /// those that go before the first of them, at most one for each and at most `max`.
    /// Otherwise requests that no place is free for would take all places that become free,
    /// and a more urgent opening would never get one.
    pub fn take_openings_before_overdue<O: Order<CallerShare>>(
        &self,
        openings: &mut OpeningQueue<T, O>,
        pace: Duration,
        now: Instant,
        until: Instant,
        max: usize,
    ) -> Vec<T> {
        let slot = openings.settings.free_slot(pace, now);
        let overdue = self
            .waiting
            .keys()
            .filter(|key| self.is_overdue(key, until));
        let mut taken = Vec::new();
        for _ in 0..overdue.count().min(max) {
            let is_overdue = |key: &FlowTuple| self.is_overdue(key, until);
            let request = self.queue.first_of(&openings.order, slot, is_overdue);
            let opening = openings.waiting.first(&openings.order, slot);
            let Some(((key, opening_rank), (_, rank))) = opening.zip(request) else {
                break;
            };
            if opening_rank >= rank {
                break;
            }
            taken.extend(self.serve_opening(&key, openings, slot));
        }
        taken
    }

    /// Takes the first of the requests that must not wait beyond `until`.
    pub fn pop_overdue<O: Order<CallerShare>>(
        &mut self,
        openings: &mut OpeningQueue<T, O>,
        pace: Duration,
        now: Instant,
        until: Instant,
    ) -> Option<T> {
        let slot = openings.settings.free_slot(pace, now);
        let is_overdue = |key: &FlowTuple| self.is_overdue(key, until);
        let (key, _) = self.queue.first_of(&openings.order, slot, is_overdue)?;
        self.serve_request(&key, openings, slot)
    }

    fn is_overdue(&self, key: &FlowTuple, until: Instant) -> bool {
        let request = self.waiting.get(key);
        request.is_some_and(|request| until > request.since + MAX_WAIT)
    }

    /// Takes what gets the next free slot. `pace` is the interval at which the upstream
    /// frees slots.
    pub fn pop<O: Order<CallerShare>>(
        &mut self,
        openings: &mut OpeningQueue<T, O>,
        pace: Duration,
        now: Instant,
    ) -> Option<NextWaiting<T>> {
        let slot = openings.settings.free_slot(pace, now);
        let request = self.queue.first(&openings.order, slot);
        let opening = openings.waiting.first(&openings.order, slot);
        match (request, opening) {
            (Some((key, rank)), opening) if opening.as_ref().is_none_or(|o| rank <= o.1) => {
                let item = self.serve_request(&key, openings, slot);
                item.map(NextWaiting::Request)
            }
            (_, Some((key, _))) => {
                let item = self.serve_opening(&key, openings, slot);
                item.map(NextWaiting::Opening)
            }
            (_, None) => None,
        }
    }

    fn serve_request<O: Order<CallerShare>>(
        &mut self,
        key: &FlowTuple,
        openings: &mut OpeningQueue<T, O>,
        slot: FreeSlot,
    ) -> Option<T> {
        self.waiting.remove(key)?;
        let openings_in_time = openings.waiting.priorities_in_time(slot);
        let order = &mut openings.order;
        self.queue.serve(key, order, slot, openings_in_time)
    }

    fn serve_opening<O: Order<CallerShare>>(
        &self,
        key: &FlowTuple,
        openings: &mut OpeningQueue<T, O>,
        slot: FreeSlot,
    ) -> Option<T> {
        let requests_in_time = self.queue.priorities_in_time(slot);
        let order = &mut openings.order;
        openings.waiting.serve(key, order, slot, requests_in_time)
    }
}
