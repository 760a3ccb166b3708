//! Latencies of one class.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use types::HedgeBudget;

/// Unit of the recorded latencies.
const UNIT: Duration = Duration::from_micros(100);

/// Largest recorded latency in units: one minute. Longer ones count as one
/// minute.
const MAX_UNITS: u64 = 600_000;

/// Significant decimal digits; two of them keep a histogram below 10 KB.
const DIGITS: u8 = 2;

/// Latencies between two computations of the delay, which cost a pass over both
/// histograms.
const RECOMPUTE_EVERY: u64 = 50;

/// Lowest percentile that a delay is taken from.
const MIN_PERCENTILE: f64 = 90.0;

/// Highest percentile that a delay is taken from. Higher ones would need more
/// latencies than most classes have in a period.
const MAX_PERCENTILE: f64 = 99.0;

/// Learns the delay of a class from the latencies of its last requests.
///
/// The latency of a request that was cancelled because its hedge won is recorded
/// as the time that it had waited. It is above the delay, so the share of
/// latencies above the delay, and with it the percentile, stays right.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    current_since: Instant,
    period: Duration,
    min_samples: u64,
    /// Latencies until the delay is computed again.
    recompute_in: u64,
    percentile: f64,
    delay: Option<Duration>,
}

impl LatencyWindow {
    /// Creates an empty window.
    #[must_use]
    #[expect(clippy::missing_panics_doc, reason = "the bounds are constants")]
    pub fn new(now: Instant, period: Duration, min_samples: u64) -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_UNITS, DIGITS)
            .expect("the bounds and digits are in the library's range");
        LatencyWindow {
            current: empty.clone(),
            previous: empty,
            current_since: now,
            period,
            min_samples,
            recompute_in: min_samples,
            percentile: MAX_PERCENTILE,
            delay: None,
        }
    }

    /// Chooses the percentile that half as many requests exceed as the budget
    /// allows to hedge, so that the budget also covers moments with more slow
    /// requests than usual.
    pub fn set_budget(&mut self, budget: HedgeBudget) {
        self.percentile = (100.0 - budget.percent() / 2.0).clamp(MIN_PERCENTILE, MAX_PERCENTILE);
    }

    /// Records a latency.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        let units = latency.as_micros() / UNIT.as_micros();
        let units = u64::try_from(units).unwrap_or(MAX_UNITS);
        self.current.saturating_record(units.clamp(1, MAX_UNITS));
        let expired = now.saturating_duration_since(self.current_since) >= self.period;
        if expired && self.current.len() >= self.min_samples {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.current_since = now;
        }
        self.recompute_in = self.recompute_in.saturating_sub(1);
        if self.recompute_in == 0 {
            self.recompute_in = RECOMPUTE_EVERY;
            self.delay = self.compute_delay();
        }
    }

    /// Delay after which a request may be hedged; `None` until enough latencies
    /// are known.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        self.delay
    }

    fn compute_delay(&self) -> Option<Duration> {
        let mut all = self.current.clone();
        // Both have the same bounds, so adding cannot fail.
        all.add(&self.previous).ok()?;
        if all.len() < self.min_samples {
            return None;
        }
        let units = all.value_at_quantile(self.percentile / 100.0);
        Some(UNIT * u32::try_from(units).unwrap_or(u32::MAX))
    }
}
