//! Queue of the flows that wait for a slot of an upstream.
//!
//! While all upstreams of a service are full, a queue in the order of arrival is
//! the worst one: after an outage it holds the flows whose callers waited longest,
//! and each of them is answered late, while fresh ones become late behind them.
//! Here the flows go first whose answer can still meet its latency objective, the
//! most urgent of them first. The others get the slots that these leave, the
//! latest first, and one that no slot can serve before its caller gives up is
//! refused at once.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

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
    /// Whether requests on open flows wait for the same slots as openings do.
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

/// A flow that waits for a slot.
#[derive(Debug)]
struct WaitingOpening<T> {
    key: FlowTuple,
    targets: RequestTargets,
    /// When the caller sent the first opening datagram of the flow.
    first_sent_at: Instant,
    /// Until when an answer meets the objective; `None` if the objective is so long
    /// that any answer does.
    objective_until: Option<Instant>,
    /// When the caller gives the flow up.
    given_up_at: Instant,
    /// The latest opening datagram.
    item: T,
}

impl<T> WaitingOpening<T> {
    /// Order in which waiting flows get a slot that is free at `now`; the least
    /// goes first.
    fn rank(&self, now: Instant, answer_time: Duration) -> (bool, u8, Reverse<Instant>) {
        (
            self.misses_objective(now, answer_time),
            self.targets.priority.0,
            Reverse(self.first_sent_at),
        )
    }

    /// Whether an answer comes too late for the objective even if the flow gets a slot
    /// at `now`.
    fn misses_objective(&self, now: Instant, answer_time: Duration) -> bool {
        self.objective_until
            .is_some_and(|until| now + answer_time > until)
    }
}

/// The flows that wait for a slot of an agent's upstream, with an item of type `T`
/// for each.
#[derive(Debug)]
pub struct OpeningQueue<T> {
    settings: OpeningQueueSettings,
    waiting: Vec<WaitingOpening<T>>,
}

impl<T> OpeningQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(settings: OpeningQueueSettings) -> Self {
        OpeningQueue {
            settings,
            waiting: Vec::new(),
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
        let answer_time = pace + self.settings.round_trips;
        let in_time = |flow: &&WaitingOpening<T>| !flow.misses_objective(now, answer_time);
        self.waiting.iter().filter(in_time).count()
    }

    /// Adds the flow of an opening datagram that arrived at `arrived_at`, in place of
    /// an earlier datagram of the same flow.
    pub fn push(&mut self, seg: &Segment, arrived_at: Instant, targets: RequestTargets, item: T) {
        let key = seg.key_from_caller();
        self.remove(&key);
        let first_sent_at = arrived_at.checked_sub(seg.waited).unwrap_or(arrived_at);
        let usable = targets.timeout.min(self.settings.opening_timeout);
        self.waiting.push(WaitingOpening {
            key,
            targets,
            first_sent_at,
            objective_until: first_sent_at.checked_add(targets.objective),
            given_up_at: first_sent_at + usable,
            item,
        });
    }

    /// Removes the flow, if it waits.
    pub fn remove(&mut self, key: &FlowTuple) -> Option<T> {
        let at = self.waiting.iter().position(|flow| flow.key == *key)?;
        Some(self.waiting.swap_remove(at).item)
    }

    /// The first flow, if it goes before all of another queue for the same slots.
    pub(super) fn first_before(
        &self,
        other: &OpeningQueue<T>,
        pace: Duration,
        now: Instant,
    ) -> Option<FlowTuple> {
        let answer_time = pace + self.settings.round_trips;
        let rank = |flow: &WaitingOpening<T>| flow.rank(now, answer_time);
        let first = self.waiting.iter().min_by_key(|flow| rank(flow))?;
        let goes_before = other.waiting.iter().all(|flow| rank(first) <= rank(flow));
        goes_before.then_some(first.key)
    }

    /// Takes the flow that gets the next free slot. `pace` is the interval at which
    /// the upstream frees slots.
    pub fn pop(&mut self, pace: Duration, now: Instant) -> Option<T> {
        let answer_time = pace + self.settings.round_trips;
        let (at, _) = self
            .waiting
            .iter()
            .enumerate()
            .min_by_key(|(_, flow)| flow.rank(now, answer_time))?;
        Some(self.waiting.swap_remove(at).item)
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
        let answer_time = pace + self.settings.round_trips;
        self.waiting.sort_by_key(|flow| flow.rank(now, answer_time));
        let mut kept = Vec::new();
        let mut hopeless = Vec::new();
        let mut slot_at = first_slot_at;
        for flow in self.waiting.drain(..) {
            let has_room = kept.len() < self.settings.max_waiting;
            if has_room && slot_at + self.settings.round_trips < flow.given_up_at {
                slot_at += interval;
                kept.push(flow);
            } else {
                hopeless.push(flow.item);
            }
        }
        self.waiting = kept;
        hopeless
    }

    /// Takes all flows, when the upstream accepts no more of them.
    pub fn take_all(&mut self) -> Vec<T> {
        self.waiting.drain(..).map(|flow| flow.item).collect()
    }
}
