//! Pace at which an upstream frees its slots.

use std::time::{Duration, Instant};

/// Measures how often a slot of a saturated upstream becomes free.
#[derive(Debug)]
pub struct ServicePace {
    /// Moving average of the time between two answers of a saturated upstream.
    interval: Duration,
    /// When the last answer began, if the upstream has been saturated since.
    saturated_since: Option<Instant>,
}

/// Assumed interval before the first measurement: two slots that serve requests
/// of 40 ms each.
const INITIAL_INTERVAL: Duration = Duration::from_millis(20);

/// Weight of a new sample is one divided by this.
const SMOOTHING: u32 = 8;

/// An interval above this is a pause of the upstream and not its pace; it counts
/// as this long.
const MAX_SAMPLE: Duration = Duration::from_millis(500);

impl Default for ServicePace {
    fn default() -> Self {
        ServicePace {
            interval: INITIAL_INTERVAL,
            saturated_since: None,
        }
    }
}

impl ServicePace {
    /// Records that an answer begins; `saturated` tells whether the upstream still
    /// has a request for each of its slots.
    pub fn record_answer(&mut self, saturated: bool, now: Instant) {
        if let Some(since) = self.saturated_since {
            let sample = now.saturating_duration_since(since).min(MAX_SAMPLE);
            self.interval = (self.interval * (SMOOTHING - 1) + sample) / SMOOTHING;
        }
        self.saturated_since = saturated.then_some(now);
    }

    /// Average time until the next slot becomes free while the upstream is saturated.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.interval
    }
}
