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

use types::RequestTargets;

use super::{OpeningQueue, OpeningQueueSettings};
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
    queue: OpeningQueue<T>,
    waiting: BTreeMap<FlowTuple, WaitingRequest>,
    /// Targets by service address, from the latest opening. Only openings carry them.
    targets: BTreeMap<SocketAddrV4, RequestTargets>,
}

impl<T> RequestQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(settings: OpeningQueueSettings) -> Self {
        RequestQueue {
            queue: OpeningQueue::new(settings),
            waiting: BTreeMap::new(),
            targets: BTreeMap::new(),
        }
    }

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
        self.queue.push(seg, since, targets, item);
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

    /// Takes the requests that must not wait beyond `until`.
    pub fn take_overdue(&mut self, until: Instant) -> Vec<T> {
        let overdue = self
            .waiting
            .iter()
            .filter(|(_, request)| until > request.since + MAX_WAIT);
        let overdue: Vec<FlowTuple> = overdue.map(|(key, _)| *key).collect();
        overdue.iter().filter_map(|key| self.take(key)).collect()
    }

    /// Takes the request that gets the next free slot, unless an opening goes before it.
    /// `pace` is the interval at which the upstream frees slots.
    pub fn pop_before(
        &mut self,
        openings: &OpeningQueue<T>,
        pace: Duration,
        now: Instant,
    ) -> Option<T> {
        let key = self.queue.first_before(openings, pace, now)?;
        self.take(&key)
    }
}
