//! Slots and queue of one class of work.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    time::{Duration, Instant},
};

use queueing::{
    Arrival, FairOrder, FreeSlot, RetrySchedule, SlotSchedule, Ties, Urgency, WaitingQueue,
};
use types::{ClassLoad, Priority, RequestId, RetryAfter, Slots, UpstreamId};

use crate::{LoadReport, QueueOrder, Settings, request::state::Waiting};

/// A new sample has a weight of 1/8 in the moving average of service times.
const SERVICE_TIME_WEIGHT_DIVISOR: u32 = 8;

/// Slots and queue of one class of work.
#[derive(Debug, Clone)]
pub(crate) struct Class {
    /// Slots according to the target; `None` once the class is deleted.
    target_slots: Option<u32>,
    /// Slots that the upstream offers, and when this limit expires.
    slot_limit: Option<(u32, Instant)>,
    /// Requests that run on the local upstream.
    pub(crate) in_flight: u32,
    /// Slots reserved for peers. `in_flight + reserved` increases only while it
    /// is below `slots`.
    pub(crate) reserved: u32,
    /// Queued requests; a share is that of a caller's address. Empty while a slot is free
    /// and the upstream takes new work.
    queue: WaitingQueue<RequestId, Option<IpAddr>, ()>,
    order: FairOrder<Option<IpAddr>>,
    /// When refused callers should return.
    retry_schedule: RetrySchedule,
    /// Requests that ask peers and are not queued.
    pub(crate) asking: u32,
    /// Moving average of the service times of completed requests.
    mean_service_time: Option<Duration>,
    /// Instant from which a peer may be asked for a queued request again.
    pub(crate) next_ask_at: Instant,
    /// Refused peers, each with the end of its offer window.
    refused_peers: BTreeMap<UpstreamId, Instant>,
}

impl Class {
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let order = if settings.fair_queueing {
            FairOrder::with_shares(Ties::OldestFirst)
        } else {
            FairOrder::without_shares(Ties::OldestFirst)
        };
        Class {
            target_slots: None,
            slot_limit: None,
            in_flight: 0,
            reserved: 0,
            queue: WaitingQueue::default(),
            order,
            retry_schedule: RetrySchedule::default(),
            asking: 0,
            mean_service_time: None,
            next_ask_at: now,
            refused_peers: BTreeMap::new(),
        }
    }

    pub(crate) fn set_target(&mut self, slots: Option<u32>) {
        self.target_slots = slots;
    }

    /// Slots in force: the limit lowers the target and never raises it.
    pub(crate) fn slots(&self) -> u32 {
        let limit = self.slot_limit.map_or(u32::MAX, |(slots, _)| slots);
        self.target_slots.unwrap_or(0).min(limit)
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.in_flight + self.reserved < self.slots()
    }

    pub(crate) fn has_target(&self) -> bool {
        self.target_slots.is_some()
    }

    /// Returns true if the class is deleted and has no requests or
    /// reservations.
    pub(crate) fn is_unused(&self) -> bool {
        self.target_slots.is_none()
            && self.in_flight + self.reserved + self.asking == 0
            && self.queue.is_empty()
    }

    pub(crate) fn load(&self, serving: bool) -> ClassLoad {
        ClassLoad {
            slots: Slots(if serving { self.slots() } else { 0 }),
            in_flight: Slots(self.in_flight + self.reserved),
            queued: Slots(u32::try_from(self.queue.len()).unwrap_or(u32::MAX)),
        }
    }

    /// Applies a load report unless it counts fewer requests than the agent.
    pub(crate) fn apply_report(&mut self, now: Instant, report: LoadReport, settings: &Settings) {
        if report.in_flight.0 >= self.in_flight {
            self.slot_limit = Some((report.slots.0, now + settings.report_lifetime));
        }
    }

    /// Lowers the slots below the number in flight when the upstream shed load.
    /// At least one slot remains, so that the agent detects recovery.
    pub(crate) fn apply_shed(&mut self, now: Instant, settings: &Settings) {
        let slots = self.in_flight.saturating_sub(1).min(self.slots()).max(1);
        self.slot_limit = Some((slots, now + settings.report_lifetime));
    }

    pub(crate) fn limit_expires_at(&self) -> Option<Instant> {
        self.slot_limit.map(|(_, until)| until)
    }

    /// Drops an expired limit. Returns true if there was one.
    pub(crate) fn drop_expired_limit(&mut self, now: Instant) -> bool {
        let expired = self.slot_limit.is_some_and(|(_, until)| until <= now);
        if expired {
            self.slot_limit = None;
        }
        expired
    }

    pub(crate) fn record_service_time(&mut self, sample: Duration) {
        let mean = self.mean_service_time.unwrap_or(sample);
        self.mean_service_time =
            Some((mean * (SERVICE_TIME_WEIGHT_DIVISOR - 1) + sample) / SERVICE_TIME_WEIGHT_DIVISOR);
    }

    /// Returns true if a request that gets a slot after `wait` can meet its
    /// deadline. Only half of the mean service time must fit: service times
    /// vary, and about half of the requests take less than the mean.
    pub(crate) fn can_meet(&self, now: Instant, wait: Duration, deadline: Option<Instant>) -> bool {
        let service = self.mean_service_time.unwrap_or_default();
        deadline.is_none_or(|at| now + wait + service / 2 < at)
    }

    /// Expected time until a request that is queued now gets a slot.
    pub(crate) fn expected_wait(&self, settings: &Settings) -> Duration {
        let ahead = match settings.queue_order {
            QueueOrder::Fifo => u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            QueueOrder::Lifo | QueueOrder::Adaptive => 0,
        };
        let service = self.mean_service_time.unwrap_or_default();
        service.saturating_mul(ahead.saturating_add(1)) / self.slots().max(1)
    }

    pub(crate) fn has_queue_room(&self, settings: &Settings) -> bool {
        let bound = self
            .target_slots
            .unwrap_or(0)
            .saturating_mul(settings.max_queued_per_slot);
        self.queue.len() < usize::try_from(bound).unwrap_or(usize::MAX)
    }

    pub(crate) fn is_queue_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn enqueue(&mut self, now: Instant, id: RequestId, waiting: &Waiting) {
        let urgency = Urgency {
            share: waiting.caller,
            // Classes have slots of their own, so they need no order among them.
            priority: Priority(0),
            since: now,
            objective_until: None,
            given_up_at: waiting.deadline,
        };
        self.queue.push(id, urgency, ());
    }

    pub(crate) fn dequeue(&mut self, id: RequestId) {
        self.queue.remove(&id);
    }

    /// Average time between two requests that get a slot while all are in use.
    fn service_interval(&self) -> Duration {
        self.mean_service_time.unwrap_or_default() / self.slots().max(1)
    }

    /// When the caller of a refused request should return. `spread` is a random number from
    /// 0 to 1.
    pub(crate) fn assign_retry(&mut self, now: Instant, spread: f64) -> RetryAfter {
        let interval = self.service_interval();
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let backlog = interval.saturating_mul(queued);
        self.retry_schedule.assign(backlog, interval, spread, now)
    }

    /// The queued requests that can no longer meet their deadlines when slots become free
    /// at the average rate. They leave the queue.
    pub(crate) fn take_hopeless(&mut self, now: Instant) -> Vec<RequestId> {
        let Some(service) = self.mean_service_time else {
            return Vec::new();
        };
        let interval = self.service_interval();
        let schedule = SlotSchedule {
            first_at: now + interval,
            interval,
            // As in `can_meet`.
            lead_time: service / 2,
        };
        let slot = self.free_slot(now);
        let hopeless = self
            .queue
            .take_hopeless(&self.order, slot, schedule, usize::MAX);
        hopeless.into_iter().map(|(id, ())| id).collect()
    }

    /// Removes the queued request that would be the last to get a slot: one of the caller
    /// that is the furthest beyond its share.
    pub(crate) fn take_last(&mut self, now: Instant) -> Option<RequestId> {
        let slot = self.free_slot(now);
        let id = self.queue.last(&self.order, slot)?;
        self.queue.remove(&id);
        Some(id)
    }

    /// Removes a queued request that gets a slot.
    pub(crate) fn serve(&mut self, now: Instant, id: RequestId) {
        let slot = self.free_slot(now);
        let others = std::iter::empty();
        self.queue.serve(&id, &mut self.order, slot, others);
    }

    fn free_slot(&self, now: Instant) -> FreeSlot {
        FreeSlot {
            at: now,
            answer_time: self.mean_service_time.unwrap_or_default(),
        }
    }

    pub(crate) fn record_refused_peer(&mut self, peer: UpstreamId, until: Instant) {
        self.refused_peers.insert(peer, until);
    }

    /// Removes and returns the peer whose offer window ends first among those
    /// whose window is open.
    pub(crate) fn take_refused_peer(&mut self, now: Instant) -> Option<UpstreamId> {
        self.refused_peers.retain(|_, until| now < *until);
        let (&peer, _) = self.refused_peers.iter().min_by_key(|(_, until)| **until)?;
        self.refused_peers.remove(&peer);
        Some(peer)
    }

    /// The oldest queued request for which `of` returns true.
    pub(crate) fn oldest_queued(&self, of: impl Fn(RequestId) -> bool) -> Option<RequestId> {
        let candidates = self.queue.iter().filter(|(id, _)| of(*id));
        candidates
            .min_by_key(|(_, arrival)| *arrival)
            .map(|(id, _)| id)
    }

    /// The queued request that gets the next slot.
    pub(crate) fn next_queued(&mut self, now: Instant, settings: &Settings) -> Option<RequestId> {
        let (_, Arrival(oldest_since, _)) = self.queue.iter().min_by_key(|(_, at)| *at)?;
        let overdue = now.saturating_duration_since(oldest_since) > settings.queue_timeout / 2;
        self.order.set_ties(match settings.queue_order {
            QueueOrder::Adaptive if overdue => Ties::NewestFirst,
            QueueOrder::Fifo | QueueOrder::Adaptive => Ties::OldestFirst,
            QueueOrder::Lifo => Ties::NewestFirst,
        });
        let (id, _) = self.queue.first(&self.order, self.free_slot(now))?;
        Some(id)
    }
}
