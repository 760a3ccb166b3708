//! The membership as the control leader keeps it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use types::{
    Announcement, Balancer, ClassName, HostName, Loads, Member, ServiceId, ServiceName, Target,
    Term, UpstreamId,
};

use super::Settings;
use crate::version::{Publication, ServiceStatus};

/// Upstreams, balancers and their leases, from the start of a leadership.
#[derive(Debug)]
pub struct Registry {}

impl Registry {
    /// An empty registry at the start of the leadership of `epoch`.
    #[must_use]
    pub fn new(settings: Settings, now: Instant, epoch: Term) -> Self {
        todo!("{settings:?} {now:?} {epoch}")
    }

    /// Until when nothing is published: one lease from the start.
    #[must_use]
    pub fn settle_until(&self) -> Instant {
        todo!()
    }

    /// Takes an announcement of the agent on `host`.
    pub fn announce(&mut self, now: Instant, host: &HostName, ann: &Announcement) {
        todo!("{now:?} {host} {ann:?}")
    }

    /// Takes an announcement of the balancer on `host`.
    pub fn announce_balancer(&mut self, now: Instant, host: &HostName, balancer: Balancer) {
        todo!("{now:?} {host} {balancer:?}")
    }

    /// Takes a service that was created or changed.
    pub fn set_service(
        &mut self,
        id: ServiceId,
        name: &ServiceName,
        targets: &BTreeMap<ClassName, Target>,
    ) {
        todo!("{id} {name} {targets:?}")
    }

    /// Takes the removal of a service.
    pub fn remove_service(&mut self, id: ServiceId) {
        todo!("{id}")
    }

    /// Takes an operator's drain mark, or its end.
    pub fn set_drain(&mut self, host: &HostName, drain: bool) {
        todo!("{host} {drain}")
    }

    /// Ends leases, moves ramps on and publishes what changed since the last
    /// publication as one version; `None` if nothing did.
    pub fn tick(&mut self, now: Instant) -> Option<Publication> {
        todo!("{now:?}")
    }

    /// When [`tick`](Registry::tick) may next have something to do; `None`
    /// while nobody has a lease. A tick then may still find nothing.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        todo!()
    }

    /// The last published version; `None` before the first.
    #[must_use]
    pub fn version(&self) -> Option<(Term, u64)> {
        todo!()
    }

    /// Services whose members changed after `have`; `None` if `have` is of
    /// another term, whose reader needs the members of every service.
    #[must_use]
    pub fn changed_since(&self, have: (Term, u64)) -> Option<BTreeSet<ServiceId>> {
        todo!("{have:?}")
    }

    /// Members of a service in the last published version.
    #[must_use]
    pub fn members(&self, service: ServiceId) -> &BTreeMap<UpstreamId, Member> {
        todo!("{service}")
    }

    /// Version in which the members of a service last changed.
    #[must_use]
    pub fn members_version(&self, service: ServiceId) -> (Term, u64) {
        todo!("{service}")
    }

    /// Balancers in the last published version.
    #[must_use]
    pub fn balancers(&self) -> &BTreeMap<HostName, Balancer> {
        todo!()
    }

    /// Version number in which the list of balancers last changed.
    #[must_use]
    pub fn balancers_seq(&self) -> u64 {
        todo!()
    }

    /// Latest loads of the upstreams of a service. They change all the time
    /// and cost no version.
    pub fn loads(&self, service: ServiceId) -> impl Iterator<Item = (UpstreamId, &Loads)> {
        let _ = service;
        std::iter::empty()
    }

    /// Present load and health of a service.
    #[must_use]
    pub fn status(&self, service: ServiceId) -> ServiceStatus {
        todo!("{service}")
    }
}
