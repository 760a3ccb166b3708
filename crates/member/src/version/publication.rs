//! Published changes, and the status of a service.

use std::collections::{BTreeMap, BTreeSet};

use types::{ClassName, ServiceId, Slots};

/// A new version of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publication {
    /// Sequence number of the version within the leader's term; starts at 1.
    pub seq: u64,
    /// Services whose members changed.
    pub changed_services: BTreeSet<ServiceId>,
    /// Whether the list of balancers changed.
    pub balancers_changed: bool,
}

/// Current load and health of a service. Not versioned.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServiceStatus {
    /// Load of each class of work that an upstream reports.
    pub classes: BTreeMap<ClassName, ClassStatus>,
    /// Number of upstreams that take new work.
    pub ready_upstreams: u32,
    /// Number of upstreams that leave on their own or because of a drain mark.
    pub leaving_upstreams: u32,
    /// Number of upstreams that refuse connections or whose lease expired.
    pub down_upstreams: u32,
    /// Number of connections that leaving upstreams still have.
    pub leaving_connections: u64,
}

/// Current load of a class of work, summed over the upstreams with a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassStatus {
    /// Concurrent requests that the ready upstreams should carry according to
    /// their targets.
    pub carry: Slots,
    /// Slots that the ready upstreams offer.
    pub slots: Slots,
    /// Requests in progress, including those at leaving upstreams.
    pub in_flight: Slots,
    /// Requests that wait for a slot.
    pub queued: Slots,
}
