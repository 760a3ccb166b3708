//! Settings of hedging.

use std::time::Duration;

/// Settings of hedging that are the same for all classes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Share of the service's slots, in percent, from which on the service is
    /// saturated. Requests in progress and queued requests count.
    pub saturated_percent: u32,
    /// Time for which hedges stay off after the last sign of saturation. It is
    /// longer than the interval of the peers' load reports, so that hedges do not
    /// return between two reports of an overload.
    pub saturation_hold: Duration,
    /// Time after which older latencies of a class are forgotten, if there are
    /// enough newer ones.
    pub latency_period: Duration,
    /// Number of latencies below which a class is not hedged. With 200 of them,
    /// 2 to 20 are above the percentile that is used.
    pub min_samples: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            saturated_percent: 75,
            saturation_hold: Duration::from_secs(1),
            latency_period: Duration::from_secs(30),
            min_samples: 200,
        }
    }
}
