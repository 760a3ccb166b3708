//! Settings of a home.

use std::time::Duration;

/// Settings of a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time for which results are kept. A key that is older is unsettled.
    pub retention: Duration,
    /// Most records that are kept; the oldest give way.
    pub max_records: usize,
    /// Most bytes of answers that are kept; the oldest give way.
    pub max_stored_bytes: usize,
    /// Largest answer that is kept.
    pub max_answer_bytes: usize,
    /// Largest difference between the clocks of callers and agents.
    pub max_clock_skew: Duration,
    /// Time for which a confirmed membership holds: an agent that was not
    /// confirmed for this long is no home, because another may have taken its
    /// keys over.
    pub lease: Duration,
    /// Time by which every agent has a newer membership in force, or has lost
    /// its lease.
    pub propagation_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            retention: Duration::from_hours(1),
            max_records: 100_000,
            max_stored_bytes: 32 << 20,
            max_answer_bytes: 64 << 10,
            max_clock_skew: Duration::from_secs(2),
            lease: Duration::from_secs(3),
            propagation_delay: Duration::from_secs(1),
        }
    }
}

impl Settings {
    /// Time after a change of home in which a key may have been drawn and seen
    /// by the former home.
    pub(crate) fn handover(&self) -> Duration {
        self.lease + self.propagation_delay + self.max_clock_skew
    }
}
