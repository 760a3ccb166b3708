//! Service time of an upstream, without the time that requests wait for a slot.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    num::ParseIntError,
    str::FromStr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::Slots;

use crate::FlowTuple;

/// Service time of an upstream in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServiceTime(pub u32);

impl ServiceTime {
    /// Converts from a duration; the longest that can be represented is 71 minutes.
    #[must_use]
    pub fn from_duration(duration: Duration) -> Self {
        ServiceTime(u32::try_from(duration.as_micros()).unwrap_or(u32::MAX))
    }

    /// The service time as a duration.
    #[must_use]
    pub fn duration(self) -> Duration {
        Duration::from_micros(self.0.into())
    }
}

impl fmt::Display for ServiceTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ServiceTime {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(ServiceTime)
    }
}

/// Samples of the median. A change of speed is seen after half as many answers, and
/// three slow requests in a hundred do not move it.
const WINDOW: usize = 15;

/// Samples before the first estimate.
const MIN_SAMPLES: usize = 5;

/// Answers that are faster than the estimate divided by this are not believed at first:
/// an upstream that fails returns errors fast.
const SUSPECT_SPEEDUP: u32 = 3;

/// Answers have to be this fast for so long before they are believed.
const SUSPECT_PERIOD: Duration = Duration::from_secs(3);

/// Fast answers are believed if in that period at most one answer in this many was at
/// the known speed. Slow requests of an upstream that has become faster look like that.
const FAST_PER_NORMAL: u32 = 8;

/// Moving median of service times that distrusts sudden speed.
#[derive(Debug, Default)]
pub struct ServiceTimeEstimate {
    samples: VecDeque<Duration>,
    median: Option<Duration>,
    /// Period in which answers are several times faster than the estimate.
    fast_period: Option<FastPeriod>,
}

impl ServiceTimeEstimate {
    /// Records the service time of one request.
    pub fn record(&mut self, sample: Duration, now: Instant) {
        if self.is_suspect(sample, now) {
            return;
        }
        if self.samples.len() == WINDOW {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        if self.samples.len() >= MIN_SAMPLES {
            let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
            sorted.sort_unstable();
            self.median = sorted.get(sorted.len() / 2).copied();
        }
    }

    fn is_suspect(&mut self, sample: Duration, now: Instant) -> bool {
        let Some(median) = self.median else {
            return false;
        };
        if sample * SUSPECT_SPEEDUP >= median {
            if let Some(period) = &mut self.fast_period {
                period.normal_answers = period.normal_answers.saturating_add(1);
            }
            return false;
        }
        let period = self.fast_period.get_or_insert(FastPeriod::new(now));
        period.fast_answers = period.fast_answers.saturating_add(1);
        if now < period.start + SUSPECT_PERIOD {
            return true;
        }
        let is_mixed = period.normal_answers > period.fast_answers / FAST_PER_NORMAL;
        if is_mixed {
            *period = FastPeriod::new(now);
        }
        is_mixed
    }

    /// The estimate; `None` before enough requests were served.
    #[must_use]
    pub fn get(&self) -> Option<ServiceTime> {
        self.median.map(ServiceTime::from_duration)
    }
}

#[derive(Debug, Clone, Copy)]
struct FastPeriod {
    start: Instant,
    fast_answers: u32,
    normal_answers: u32,
}

impl FastPeriod {
    fn new(start: Instant) -> Self {
        FastPeriod {
            start,
            fast_answers: 0,
            normal_answers: 0,
        }
    }
}

/// Requests at an upstream that serves them in the order of arrival. It infers when each
/// got a slot.
#[derive(Debug, Default)]
pub struct ServiceTimeTracker {
    estimate: ServiceTimeEstimate,
    /// Requests that have a slot, and since when.
    in_service: BTreeMap<FlowTuple, Instant>,
    waiting: VecDeque<FlowTuple>,
    /// When each request was complete.
    arrived: BTreeMap<FlowTuple, Instant>,
    /// Requests that their callers sent again.
    retransmitted: BTreeSet<FlowTuple>,
    last_answer_at: Option<Instant>,
}

impl ServiceTimeTracker {
    /// Records that a datagram of a request was delivered. The last one completes the
    /// request.
    pub fn record_request(&mut self, key: FlowTuple, slots: Slots, now: Instant) {
        self.arrived.insert(key, now);
        self.retransmitted.remove(&key);
        let slots = usize::try_from(slots.0).unwrap_or(usize::MAX);
        if let Some(since) = self.in_service.get_mut(&key) {
            *since = now;
        } else if self.in_service.len() < slots {
            self.in_service.insert(key, now);
        } else if !self.waiting.contains(&key) {
            self.waiting.push_back(key);
        }
    }

    /// Records that the caller sent the last datagram of a request again.
    pub fn record_retransmission(&mut self, key: FlowTuple) {
        if self.arrived.contains_key(&key) {
            self.retransmitted.insert(key);
        }
    }

    /// Whether the request of a flow has a slot.
    #[must_use]
    pub fn has_slot(&self, key: &FlowTuple) -> bool {
        self.in_service.contains_key(key)
    }

    /// Records the first byte of an answer, and returns the time since its request was
    /// complete.
    pub fn record_answer(&mut self, key: &FlowTuple, now: Instant) -> Option<Duration> {
        self.last_answer_at = Some(now);
        if let Some(since) = self.in_service.get(key) {
            let sample = now.saturating_duration_since(*since);
            self.estimate.record(sample, now);
        }
        let arrived_at = self.arrived.get(key).copied();
        self.remove(key, now);
        arrived_at.map(|at| now.saturating_duration_since(at))
    }

    /// Removes a request that ended without an answer.
    pub fn remove(&mut self, key: &FlowTuple, now: Instant) {
        if self.arrived.remove(key).is_none() {
            return;
        }
        self.retransmitted.remove(key);
        if self.in_service.remove(key).is_none() {
            self.waiting.retain(|waiting| waiting != key);
        } else if let Some(next) = self.waiting.pop_front() {
            self.in_service.insert(next, now);
        }
    }

    /// Removes the requests for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&FlowTuple) -> bool, now: Instant) {
        let ended = self.arrived.keys().filter(|key| !keep(key)).copied();
        for key in ended.collect::<Vec<_>>() {
            self.remove(&key, now);
        }
    }

    /// The estimated service time; `None` before enough requests were served.
    #[must_use]
    pub fn service_time(&self) -> Option<ServiceTime> {
        self.estimate.get()
    }

    /// Since when at least two requests have had a slot and none was answered.
    #[must_use]
    pub fn silent_since(&self) -> Option<Instant> {
        if self.in_service.len() < 2 {
            return None;
        }
        let oldest = self.in_service.values().min().copied();
        oldest.max(self.last_answer_at)
    }

    /// Since when half of the requests that have a slot, and at least two, have had it
    /// while their callers sent them again. Others may have been answered meanwhile.
    #[must_use]
    pub fn stuck_since(&self) -> Option<Instant> {
        let stuck = self.retransmitted.iter();
        let mut stuck: Vec<Instant> = stuck
            .filter_map(|key| self.in_service.get(key).copied())
            .collect();
        stuck.sort_unstable();
        let needed = self.in_service.len().div_ceil(2).max(2);
        stuck.get(needed - 1).copied()
    }
}
