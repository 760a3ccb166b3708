//! Balancers and their leases.

use std::{collections::BTreeMap, time::Instant};

use types::{BalancerAnnouncement, HostName};

/// Balancers that announced themselves.
#[derive(Debug, Default)]
pub(crate) struct Balancers {
    leases: BTreeMap<HostName, Instant>,
    /// Registered balancers; one for each entry of `leases`.
    registered: BTreeMap<HostName, BalancerAnnouncement>,
    /// No lease expires before this instant.
    earliest_expiry: Option<Instant>,
    /// Whether `registered` changed since it was last published.
    changed: bool,
}

impl Balancers {
    /// Applies an announcement and renews the lease until `lease_until`.
    pub(crate) fn announce(
        &mut self,
        host: &HostName,
        balancer: BalancerAnnouncement,
        lease_until: Instant,
    ) {
        self.leases.insert(host.clone(), lease_until);
        self.changed |= self.registered.insert(host.clone(), balancer) != Some(balancer);
        self.earliest_expiry.get_or_insert(lease_until);
    }

    /// Removes the balancers whose lease has expired at `now`.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.earliest_expiry.is_none_or(|at| at > now) {
            return;
        }
        let before = self.leases.len();
        self.leases.retain(|_, until| *until > now);
        if self.leases.len() < before {
            self.registered
                .retain(|host, _| self.leases.contains_key(host));
            self.changed = true;
        }
        self.earliest_expiry = self.leases.values().min().copied();
    }

    /// Returns whether the list changed since the last call, and resets it.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns true if the list changed since it was last published.
    pub(crate) fn is_changed(&self) -> bool {
        self.changed
    }

    /// Earliest instant at which a lease may expire.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.earliest_expiry
    }

    /// Returns the balancers with a valid lease.
    pub(crate) fn registered(&self) -> &BTreeMap<HostName, BalancerAnnouncement> {
        &self.registered
    }
}
