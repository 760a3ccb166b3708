//! Times and steps of the membership.

use std::time::Duration;

/// Settings of a [`Registry`](crate::Registry).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time for which an announcement holds. Also the time that a new leader
    /// waits before it publishes, so that every live process has announced
    /// itself by then.
    pub lease: Duration,
    /// Time for which an upstream is listed with share 0 before it gets a
    /// share, so that every balancer can forward its flows by then.
    pub propagation_delay: Duration,
    /// Time from the first share of a cold upstream to its full share.
    pub ramp_duration: Duration,
    /// Time for which load reports must ask for another share before they
    /// get it.
    pub load_hold_time: Duration,
    /// Time for which upstreams whose lease ended keep their place while
    /// under half of their service is usable. It bounds how long new flows go
    /// to hosts that are in fact lost.
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
