//! Settings of the membership.

use std::time::Duration;

/// Settings of a [`Registry`](crate::Registry).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Lease duration of an announcement. A new leader also waits this long
    /// before it publishes, so that every live process has announced itself.
    pub lease: Duration,
    /// Time for which a new upstream is listed with share 0, so that every
    /// balancer can forward its flows before it gets a share.
    pub propagation_delay: Duration,
    /// Time from the first share of a new upstream to its full share.
    pub ramp_duration: Duration,
    /// Time for which load reports must consistently request another share
    /// before it is applied.
    pub load_hold_time: Duration,
    /// Time for which upstreams with an expired lease stay listed while their
    /// service is frozen. Bounds how long new flows go to hosts that are lost.
    pub lapsed_retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lease: Duration::from_secs(3),
            propagation_delay: Duration::from_secs(2),
            ramp_duration: Duration::from_secs(10),
            load_hold_time: Duration::from_secs(5),
            lapsed_retention: Duration::from_secs(30),
        }
    }
}
