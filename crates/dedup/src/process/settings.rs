//! Settings of a home.

use std::time::Duration;

/// Settings of a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time for which records are kept. Older keys are indeterminate.
    pub retention: Duration,
    /// Maximum number of records; the oldest are evicted.
    pub max_records: usize,
    /// Maximum total size of stored answers in bytes; the oldest are evicted.
    pub max_stored_bytes: usize,
    /// Maximum size of a stored answer in bytes.
    pub max_answer_bytes: usize,
    /// Maximum difference between the clocks of callers and agents.
    pub max_clock_skew: Duration,
    /// Time for which a confirmed membership is valid. After it, an agent no
    /// longer acts as a home, because another one may have taken over its keys.
    pub lease: Duration,
    /// Maximum time until every agent applies a new membership or has lost its
    /// lease.
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
    /// Time after a change of home during which the former home may still have
    /// accepted newly generated keys.
    pub(crate) fn handover_time(&self) -> Duration {
        self.lease + self.propagation_delay + self.max_clock_skew
    }
}
