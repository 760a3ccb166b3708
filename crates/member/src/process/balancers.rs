//! Balancers and their leases.

use std::{collections::BTreeMap, time::Instant};

use types::{Balancer, HostName};

/// Balancers that announced themselves.
#[derive(Debug, Default)]
pub(crate) struct Balancers {
    leases: BTreeMap<HostName, Instant>,
    /// Those with a lease at the last change; one for each of `leases`.
    listed: BTreeMap<HostName, Balancer>,
    /// No lease ends before this.
    check_at: Option<Instant>,
    /// Whether `listed` changed since it was last published.
    changed: bool,
}

impl Balancers {
    /// Takes an announcement that holds until `lease_until`.
    pub(crate) fn announce(&mut self, host: &HostName, balancer: Balancer, lease_until: Instant) {
        self.leases.insert(host.clone(), lease_until);
        self.changed |= self.listed.insert(host.clone(), balancer) != Some(balancer);
        self.check_at.get_or_insert(lease_until);
    }

    /// Ends the leases that are over at `now`.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.check_at.is_none_or(|at| at > now) {
            return;
        }
        let before = self.leases.len();
        self.leases.retain(|_, until| *until > now);
        if self.leases.len() < before {
            self.listed.retain(|host, _| self.leases.contains_key(host));
            self.changed = true;
        }
        self.check_at = self.leases.values().min().copied();
    }

    /// Whether the list changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether the list changed since it was last published.
    pub(crate) fn is_changed(&self) -> bool {
        self.changed
    }

    /// When the next lease may end.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.check_at
    }

    /// The balancers with a lease.
    pub(crate) fn listed(&self) -> &BTreeMap<HostName, Balancer> {
        &self.listed
    }
}
