//! Slots and queue of one class of work.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::{ClassLoad, RequestId, Slots, UpstreamId};

use crate::{LoadReport, QueueOrder, Settings};

/// Weight of a new sample in the mean service time is one in this many.
const SAMPLE_WEIGHT: u32 = 8;

/// Slots and queue of one class of work.
#[derive(Debug, Clone)]
pub(crate) struct Class {
    /// Slots by the target; `None` after the class was deleted.
    target: Option<u32>,
    /// Slots that the upstream offers, until the instant passes.
    limit: Option<(u32, Instant)>,
    /// Requests that run here.
    pub(crate) in_flight: u32,
    /// Slots held for peers. `in_flight + reserved` grows only below `slots`.
    pub(crate) reserved: u32,
    /// Queued requests by order of arrival. Empty while a slot is free and
    /// the upstream takes new work.
    queue: BTreeMap<u64, Queued>,
    next_place: u64,
    /// Requests that ask peers without a place in the queue.
    pub(crate) asking: u32,
    /// Mean time of completed requests.
    service: Option<Duration>,
    /// When a queued request may ask a peer again.
    pub(crate) ask_at: Instant,
    /// Peers that were refused, each until when a free slot is offered to it.
    askers: BTreeMap<UpstreamId, Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Queued {
    id: RequestId,
    since: Instant,
}

impl Class {
    pub(crate) fn new(now: Instant) -> Self {
        Class {
            target: None,
            limit: None,
            in_flight: 0,
            reserved: 0,
            queue: BTreeMap::new(),
            next_place: 0,
            asking: 0,
            service: None,
            ask_at: now,
            askers: BTreeMap::new(),
        }
    }

    pub(crate) fn set_target(&mut self, slots: Option<u32>) {
        self.target = slots;
    }

    /// Slots in use now: a limit lowers the target and never raises it.
    pub(crate) fn slots(&self) -> u32 {
        let limit = self.limit.map_or(u32::MAX, |(slots, _)| slots);
        self.target.unwrap_or(0).min(limit)
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.in_flight + self.reserved < self.slots()
    }

    pub(crate) fn has_target(&self) -> bool {
        self.target.is_some()
    }

    /// Whether the class was deleted and nothing of it is left.
    pub(crate) fn is_gone(&self) -> bool {
        self.target.is_none()
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

    /// Takes a report over unless it says less than the agent itself sees.
    pub(crate) fn apply_report(&mut self, now: Instant, report: LoadReport, settings: &Settings) {
        if report.in_flight.0 >= self.in_flight {
            self.limit = Some((report.slots.0, now + settings.report_lifetime));
        }
    }

    /// Lowers the slots below what was in flight when the upstream shed load.
    /// One slot is left, so that the agent notices when it recovers.
    pub(crate) fn note_shed(&mut self, now: Instant, settings: &Settings) {
        let slots = self.in_flight.saturating_sub(1).min(self.slots()).max(1);
        self.limit = Some((slots, now + settings.report_lifetime));
    }

    pub(crate) fn limit_ends(&self) -> Option<Instant> {
        self.limit.map(|(_, until)| until)
    }

    /// Drops a limit whose time has passed; returns whether it did.
    pub(crate) fn drop_old_limit(&mut self, now: Instant) -> bool {
        let old = self.limit.is_some_and(|(_, until)| until <= now);
        if old {
            self.limit = None;
        }
        old
    }

    pub(crate) fn note_service_time(&mut self, sample: Duration) {
        let mean = self.service.unwrap_or(sample);
        self.service = Some((mean * (SAMPLE_WEIGHT - 1) + sample) / SAMPLE_WEIGHT);
    }

    /// Whether a request that gets a slot after `wait` can be done in time.
    /// Half of the mean must fit: service times vary, and about half of the
    /// requests take less than the mean.
    pub(crate) fn can_meet(&self, now: Instant, wait: Duration, deadline: Option<Instant>) -> bool {
        let service = self.service.unwrap_or_default();
        deadline.is_none_or(|at| now + wait + service / 2 < at)
    }

    /// Time until a request that is queued now gets a slot.
    pub(crate) fn expected_wait(&self, settings: &Settings) -> Duration {
        let ahead = match settings.queue_order {
            QueueOrder::Fifo => u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            QueueOrder::Lifo | QueueOrder::Adaptive => 0,
        };
        let service = self.service.unwrap_or_default();
        service.saturating_mul(ahead.saturating_add(1)) / self.slots().max(1)
    }

    pub(crate) fn has_queue_room(&self, settings: &Settings) -> bool {
        let bound = self
            .target
            .unwrap_or(0)
            .saturating_mul(settings.max_queued_per_slot);
        self.queue.len() < usize::try_from(bound).unwrap_or(usize::MAX)
    }

    pub(crate) fn is_queue_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn enqueue(&mut self, now: Instant, id: RequestId) -> u64 {
        let place = self.next_place;
        self.next_place += 1;
        self.queue.insert(place, Queued { id, since: now });
        place
    }

    pub(crate) fn dequeue(&mut self, place: u64) {
        self.queue.remove(&place);
    }

    pub(crate) fn note_asked(&mut self, peer: UpstreamId, until: Instant) {
        self.askers.insert(peer, until);
    }

    /// The peer that asked first among those that may still want a slot.
    pub(crate) fn take_asker(&mut self, now: Instant) -> Option<UpstreamId> {
        self.askers.retain(|_, until| now < *until);
        let (&peer, _) = self.askers.iter().min_by_key(|(_, until)| **until)?;
        self.askers.remove(&peer);
        Some(peer)
    }

    /// Queued requests, the oldest first.
    pub(crate) fn queued(&self) -> impl Iterator<Item = RequestId> {
        self.queue.values().map(|queued| queued.id)
    }

    /// The queued request that gets the next slot.
    pub(crate) fn next_queued(&self, now: Instant, settings: &Settings) -> Option<RequestId> {
        let (_, oldest) = self.queue.first_key_value()?;
        let (_, newest) = self.queue.last_key_value()?;
        let overdue = now.saturating_duration_since(oldest.since) > settings.queue_timeout / 2;
        Some(match settings.queue_order {
            QueueOrder::Adaptive if overdue => newest.id,
            QueueOrder::Fifo | QueueOrder::Adaptive => oldest.id,
            QueueOrder::Lifo => newest.id,
        })
    }
}
