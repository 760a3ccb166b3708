//! What a publication tells.

use std::collections::{BTreeMap, BTreeSet};

use types::{ClassName, ServiceId, Slots};

/// A new version of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publication {
    /// Number of the version within the leader's term; starts at 1.
    pub seq: u64,
    /// Services whose members changed.
    pub changed_services: BTreeSet<ServiceId>,
    /// Whether the list of balancers changed.
    pub balancers_changed: bool,
}

/// Present load and health of a service. Not versioned.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServiceStatus {
    /// Load of each class that the service or its upstreams name.
    pub classes: BTreeMap<ClassName, ClassStatus>,
    /// Upstreams that take new work.
    pub ready_upstreams: u32,
    /// Upstreams that leave by themselves or by an operator's mark.
    pub leaving_upstreams: u32,
    /// Upstreams that refuse connections.
    pub down_upstreams: u32,
    /// Connections that leaving upstreams still hold.
    pub leaving_connections: u64,
}

/// Present load of a class of work, summed over the upstreams with a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassStatus {
    /// Requests that the ready upstreams should carry by their targets.
    pub carry: Slots,
    /// Slots that the ready upstreams offer.
    pub slots: Slots,
    /// Requests in progress, at leaving upstreams too.
    pub in_flight: Slots,
    /// Requests that wait for a slot.
    pub queued: Slots,
}
