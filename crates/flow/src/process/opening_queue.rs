//! Queue of the flows that wait for a slot of an upstream.
//!
//! While all upstreams of a service are full, a queue in the order of arrival is
//! the worst one: after an outage it holds the flows whose callers waited longest,
//! and each of them is answered late, while fresh ones become late behind them.
//! Here the flows go first whose answer can still meet its latency objective, the
//! most urgent of them first. The others get the slots that these leave, the
//! latest first, and one that no slot can serve before its caller gives up is
//! refused at once. With fair queueing, the routes and callers of a priority get equal
//! shares. The order itself is that of crate [`queueing`].

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use queueing::{FairOrder, FreeSlot, Order, SlotSchedule, Ties, Urgency, WaitingQueue};
use types::RequestTargets;

use crate::{FlowTuple, Segment};

/// Timeouts and limits of an [`OpeningQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpeningQueueSettings {
    /// A caller gives a flow up that is not open this long after its first opening
    /// datagram.
    pub opening_timeout: Duration,
    /// Time from delivering an opening datagram until the upstream has the first
    /// request, and from its answer to the caller: two round trips of a region.
    pub round_trips: Duration,
    /// Maximum number of flows that wait. It bounds the memory of an agent, at most
    /// 2 KB for each flow.
    pub max_waiting: usize,
    /// Whether requests on open flows wait for the same slots as openings do, and routes
    /// and callers get equal shares of them.
    pub fair_queueing: bool,
}

impl Default for OpeningQueueSettings {
    fn default() -> Self {
        OpeningQueueSettings {
            opening_timeout: Duration::from_millis(1400),
            round_trips: Duration::from_millis(25),
            max_waiting: 512,
            fair_queueing: false,
        }
    }
}

impl OpeningQueueSettings {
    /// A slot that is free at `now`, of an upstream with this pace.
    pub(super) fn free_slot(&self, pace: Duration, now: Instant) -> FreeSlot {
        FreeSlot {
            at: now,
            answer_time: pace + self.round_trips,
        }
    }
}

/// Whose share of the slots a flow uses: the one of its caller's address on its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerShare {
    /// The service address of the route.
    pub route: SocketAddrV4,
    /// Address of the caller.
    pub caller: Ipv4Addr,
}

impl From<FlowTuple> for CallerShare {
    fn from(key: FlowTuple) -> Self {
        CallerShare {
            route: key.service,
            caller: *key.caller.ip(),
        }
    }
}

/// Urgency of a request that its caller sent at `since` for the first time, and of which
/// the caller waits for `usable`.
pub(super) fn urgency(
    key: FlowTuple,
    targets: RequestTargets,
    since: Instant,
    usable: Duration,
) -> Urgency<CallerShare> {
    Urgency {
        share: key.into(),
        priority: targets.priority,
        since,
        objective_until: since.checked_add(targets.objective),
        given_up_at: Some(since + usable),
    }
}

/// The flows that wait for a slot of an agent's upstream, with an item of type `T`
/// for each, in an order of type `O`.
#[derive(Debug)]
pub struct OpeningQueue<T, O = FairOrder<CallerShare>> {
    pub(super) settings: OpeningQueueSettings,
    pub(super) waiting: WaitingQueue<FlowTuple, CallerShare, T>,
    pub(super) order: O,
}

impl<T> OpeningQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(settings: OpeningQueueSettings) -> Self {
        let order = if settings.fair_queueing {
            FairOrder::with_shares(Ties::NewestFirst)
        } else {
            FairOrder::without_shares(Ties::NewestFirst)
        };
        OpeningQueue::with_order(settings, order)
    }
}

impl<T, O: Order<CallerShare>> OpeningQueue<T, O> {
    /// An empty queue with another order.
    #[must_use]
    pub fn with_order(settings: OpeningQueueSettings, order: O) -> Self {
        OpeningQueue {
            settings,
            waiting: WaitingQueue::default(),
            order,
        }
    }

    /// Number of flows that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no flow waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting flows that can still meet their objective. A new flow waits
    /// for these only, the others for it.
    #[must_use]
    pub fn waiting_in_time(&self, pace: Duration, now: Instant) -> usize {
        let slot = self.settings.free_slot(pace, now);
        self.waiting.priorities_in_time(slot).count()
    }

    /// Whether the flow of an opening datagram that arrived at `arrived_at` opens in time
    /// if it gets a slot after `wait`, at any agent.
    #[must_use]
    pub fn can_serve(
        &self,
        seg: &Segment,
        arrived_at: Instant,
        targets: RequestTargets,
        wait: Duration,
        now: Instant,
    ) -> bool {
        let (first_sent_at, usable) = self.usable_time(seg, arrived_at, targets);
        now + wait + self.settings.round_trips < first_sent_at + usable
    }

    /// When the caller sent the first opening datagram of the flow, and for how long after
    /// it the flow is of use.
    fn usable_time(
        &self,
        seg: &Segment,
        arrived_at: Instant,
        targets: RequestTargets,
    ) -> (Instant, Duration) {
        let first_sent_at = arrived_at.checked_sub(seg.waited).unwrap_or(arrived_at);
        let usable = targets.timeout.min(self.settings.opening_timeout);
        (first_sent_at, usable)
    }

    /// Adds the flow of an opening datagram that arrived at `arrived_at`, in place of
    /// an earlier datagram of the same flow.
    pub fn push(&mut self, seg: &Segment, arrived_at: Instant, targets: RequestTargets, item: T) {
        let key = seg.key_from_caller();
        let (first_sent_at, usable) = self.usable_time(seg, arrived_at, targets);
        let urgency = urgency(key, targets, first_sent_at, usable);
        self.waiting.push(key, urgency, item);
    }

    /// Removes the flow, if it waits.
    pub fn remove(&mut self, key: &FlowTuple) -> Option<T> {
        self.waiting.remove(key)
    }

    /// Takes the flow that gets the next free slot. `pace` is the interval at which
    /// the upstream frees slots.
    pub fn pop(&mut self, pace: Duration, now: Instant) -> Option<T> {
        let slot = self.settings.free_slot(pace, now);
        let (_, item) = self.waiting.pop(&mut self.order, slot)?;
        Some(item)
    }

    /// Takes the flows to refuse: those that get no slot before their callers give
    /// up when slots become free every `pace`, and those above `max_waiting`. None
    /// of them has been delivered to an upstream.
    pub fn take_hopeless(&mut self, pace: Duration, now: Instant) -> Vec<T> {
        self.take_hopeless_from(now, pace, pace, now)
    }

    /// As [`take_hopeless`](OpeningQueue::take_hopeless), for slots that become free from
    /// `first_slot_at` on, every `interval`, and an upstream with this `pace`.
    pub fn take_hopeless_from(
        &mut self,
        first_slot_at: Instant,
        interval: Duration,
        pace: Duration,
        now: Instant,
    ) -> Vec<T> {
        let slot = self.settings.free_slot(pace, now);
        let schedule = SlotSchedule {
            first_at: first_slot_at,
            interval,
            lead_time: self.settings.round_trips,
        };
        let max_waiting = self.settings.max_waiting;
        let hopeless = self
            .waiting
            .take_hopeless(&self.order, slot, schedule, max_waiting);
        hopeless.into_iter().map(|(_, item)| item).collect()
    }

    /// Takes all flows, when the upstream accepts no more of them.
    pub fn take_all(&mut self) -> Vec<T> {
        let all = self.waiting.take_all();
        all.into_iter().map(|(_, item)| item).collect()
    }
}
