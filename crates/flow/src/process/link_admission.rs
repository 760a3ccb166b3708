//! Admission of new flows to the link of a balancer.
//!
//! Callers' datagrams cross the link of a balancer in both directions. Every large
//! transfer keeps a whole window of datagrams in flight, so the transfers that run at
//! once determine how long each datagram waits at the link. Above the callers' first
//! retransmission interval, copies add to the load and keep the overload going after
//! its cause has ended. The link transmits as many bytes with few transfers as with
//! many, so a new large flow waits for its turn, and is refused at its opening if that
//! comes too late: a caller may then try again, and reaches another balancer. Small
//! flows never wait.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use types::{BytesPerSecond, RequestTargets};

use super::{OpeningQueue, OpeningQueueSettings, ServicePace};
use crate::{
    FlowTuple, Segment,
    connection::{Transfer, WINDOW_BYTES},
};

/// Maximum time that the windows of all admitted transfers take on the link. The network
/// in front of a link holds some 50 ms and drops the rest, whatever its priority. It
/// also keeps the wait far below the callers' first retransmission after 200 ms. With
/// 120 ms, a played burst lost orders to such drops.
const MAX_WINDOWS_TIME: Duration = Duration::from_millis(50);

/// A route is large if its flows bring at least this many bytes in one request: half
/// a window.
const LARGE_REQUEST_BYTES: usize = WINDOW_BYTES / 2;

/// A new sample of the bytes of a request has a weight of one divided by this.
const SMOOTHING: usize = 8;

/// Maximum number of routes with a known size. It bounds the memory; a further route
/// counts as small.
const MAX_ROUTES: usize = 4096;

/// Interval at which waiting flows are examined, besides whenever a transfer ends.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of the openings that wait for a link.
const QUEUE_SETTINGS: OpeningQueueSettings = OpeningQueueSettings {
    // A caller gives an opening up after 1.4 s. One that waits until then has lost
    // the time to be tried over another balancer.
    opening_timeout: Duration::from_millis(600),
    round_trips: Duration::from_millis(25),
    max_waiting: 512,
    fair_queueing: false,
};

/// A new flow that waits for the link.
#[derive(Debug)]
struct WaitingFlow<T> {
    key: FlowTuple,
    item: T,
}

/// Decides which new flows may use a link, with an item of type `T` for each flow that
/// waits for it.
#[derive(Debug)]
pub struct LinkAdmission<T> {
    /// Rate of the link; `None` admits all flows.
    rate: Option<BytesPerSecond>,
    /// Average bytes of a request, of the routes that have had a large one.
    request_bytes: BTreeMap<SocketAddrV4, usize>,
    /// Flows that were admitted as large or have sent full datagrams.
    transfers: BTreeMap<FlowTuple, Transfer>,
    waiting: OpeningQueue<WaitingFlow<T>>,
    /// Pace at which transfers end while the link is saturated.
    pace: ServicePace,
    next_examination_at: Option<Instant>,
}

impl<T> LinkAdmission<T> {
    /// The admission to an idle link; without a rate it admits all flows.
    #[must_use]
    pub fn new(rate: Option<BytesPerSecond>) -> Self {
        LinkAdmission {
            rate,
            request_bytes: BTreeMap::new(),
            transfers: BTreeMap::new(),
            waiting: OpeningQueue::new(QUEUE_SETTINGS),
            pace: ServicePace::default(),
            next_examination_at: None,
        }
    }

    /// Sets whether routes and callers get equal shares of the link.
    #[must_use]
    pub fn with_fair_queueing(self, fair_queueing: bool) -> Self {
        let settings = OpeningQueueSettings {
            fair_queueing,
            ..QUEUE_SETTINGS
        };
        LinkAdmission {
            waiting: OpeningQueue::new(settings),
            ..self
        }
    }

    /// Number of flows that wait for the link.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of transfers that use the link or were admitted to it. One that is about
    /// to end does not count: the next one needs a round trip until its data arrives.
    #[must_use]
    pub fn transfers(&self, now: Instant) -> usize {
        let transfers = self.transfers.values();
        let occupying = transfers.filter(|t| t.is_active(now) && !t.is_about_to_end());
        occupying.count()
    }

    /// Maximum number of transfers at once; at least one.
    fn max_transfers(rate: BytesPerSecond) -> usize {
        let window_time = rate.transmission_time(WINDOW_BYTES).as_micros().max(1);
        usize::try_from(MAX_WINDOWS_TIME.as_micros() / window_time)
            .unwrap_or(usize::MAX)
            .max(1)
    }

    fn has_room(&self, rate: BytesPerSecond, now: Instant) -> bool {
        self.transfers(now) < Self::max_transfers(rate)
    }

    /// Average bytes of a request to the address, if it is a large route.
    fn large_request_bytes(&self, service: SocketAddrV4) -> Option<usize> {
        let bytes = self.request_bytes.get(&service).copied();
        bytes.filter(|bytes| *bytes >= LARGE_REQUEST_BYTES)
    }

    /// Records a datagram of a caller that is not an opening.
    pub fn observe(&mut self, seg: &Segment, now: Instant) {
        let Some(rate) = self.rate else {
            return;
        };
        let key = seg.key_from_caller();
        if seg.resets {
            self.waiting.remove(&key);
        }
        let was_active = self.transfers.get(&key).is_some_and(|t| t.is_active(now));
        let ended_with = match self.transfers.get_mut(&key) {
            Some(transfer) => transfer.record(seg, now),
            None if seg.is_full() => {
                self.transfers.insert(key, Transfer::with_part(seg, now));
                None
            }
            None => (seg.len > 0).then_some(usize::from(seg.len)),
        };
        if let Some(bytes) = ended_with {
            self.record_request(key.service, bytes);
        }
        let is_active = self.transfers.get(&key).is_some_and(|t| t.is_active(now));
        if was_active && !is_active {
            let saturated = !self.waiting.is_empty() || !self.has_room(rate, now);
            self.pace.record_answer(saturated, now);
        }
    }

    /// Updates the average of a route. A route that has never had a large request is
    /// not recorded.
    fn record_request(&mut self, service: SocketAddrV4, bytes: usize) {
        if let Some(average) = self.request_bytes.get_mut(&service) {
            *average = (*average * (SMOOTHING - 1) + bytes) / SMOOTHING;
        } else if bytes >= LARGE_REQUEST_BYTES && self.request_bytes.len() < MAX_ROUTES {
            self.request_bytes.insert(service, bytes);
        }
    }

    /// Returns the item of an opening datagram if its flow may use the link now;
    /// otherwise the flow waits. A copy of a waiting opening replaces it.
    pub fn admit(
        &mut self,
        seg: &Segment,
        targets: RequestTargets,
        item: T,
        now: Instant,
    ) -> Option<T> {
        let Some(rate) = self.rate else {
            return Some(item);
        };
        let key = seg.key_from_caller();
        // A copy of an admitted opening is never refused: the flow may be open.
        if self.large_request_bytes(key.service).is_none() || self.transfers.contains_key(&key) {
            return Some(item);
        }
        if self.waiting.is_empty() && self.has_room(rate, now) {
            self.start_transfer(key, now);
            return Some(item);
        }
        self.waiting
            .push(seg, now, targets, WaitingFlow { key, item });
        self.next_examination_at
            .get_or_insert(now + EXAMINATION_INTERVAL);
        None
    }

    /// Takes the next waiting flow that may use the link now.
    pub fn take_admitted(&mut self, now: Instant) -> Option<T> {
        let rate = self.rate?;
        if self.waiting.is_empty() || !self.has_room(rate, now) {
            return None;
        }
        let WaitingFlow { key, item } = self.waiting.pop(self.pace(), now)?;
        self.start_transfer(key, now);
        Some(item)
    }

    fn start_transfer(&mut self, key: FlowTuple, now: Instant) {
        let expected_bytes = self.large_request_bytes(key.service);
        self.transfers
            .insert(key, Transfer::admitted(expected_bytes, now));
    }

    /// Takes the waiting flows that the link cannot serve in time. None of their
    /// datagrams has been forwarded.
    pub fn take_refused(&mut self, now: Instant) -> Vec<T> {
        if self.waiting.is_empty() {
            self.next_examination_at = None;
            return Vec::new();
        }
        let refused = self.waiting.take_hopeless(self.pace(), now);
        self.next_examination_at = (!self.waiting.is_empty()).then_some(now + EXAMINATION_INTERVAL);
        refused.into_iter().map(|flow| flow.item).collect()
    }

    /// Average time between two ends of transfers, at least the time that the link
    /// needs for one of the largest route.
    fn pace(&self) -> Duration {
        let bytes = self.request_bytes.values().max().copied();
        let rate = self.rate.zip(bytes);
        let transmission = rate.map(|(rate, bytes)| rate.transmission_time(bytes));
        self.pace.interval().max(transmission.unwrap_or_default())
    }

    /// When waiting flows are to be examined again; `None` if none wait.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.next_examination_at
    }

    /// Removes transfers whose flows are idle.
    pub fn expire(&mut self, now: Instant) {
        self.transfers
            .retain(|_, transfer| !transfer.is_expired(now));
    }
}
