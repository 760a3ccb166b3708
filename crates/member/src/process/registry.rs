//! Registry of the members, as kept by the control leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Instant,
};

use types::{
    BalancerAnnouncement, ClassLoads, ClassName, DataCentre, HostName, ServiceId, ServiceName,
    Share, Target, Term, UpstreamAnnouncement, UpstreamId, UpstreamMember, UpstreamState,
};

use super::{Settings, balancers::Balancers, service_record::ServiceRecord, upstream::Upstream};
use crate::version::{Publication, ServiceStatus};

/// Members of a service that is not configured.
static NO_MEMBERS: BTreeMap<UpstreamId, UpstreamMember> = BTreeMap::new();

/// Upstreams, balancers and their leases during one leadership.
///
/// An announcement costs a few look-ups and reschedules no timer: each upstream
/// has one scheduled check, which may come too early. The cost of a tick is
/// proportional to the number of due checks plus, for each service that may
/// have changed, its number of upstreams.
#[derive(Debug)]
pub struct Registry {
    settings: Settings,
    term: Term,
    first_publish_at: Instant,
    /// Sequence number of the last published version; 0 before the first.
    seq: u64,
    /// Latest instant of any call.
    latest_call: Instant,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    records: BTreeMap<ServiceName, ServiceRecord>,
    /// Name of each configured service.
    service_names: BTreeMap<ServiceId, ServiceName>,
    /// Upstreams of each host.
    by_host: BTreeMap<HostName, BTreeSet<UpstreamId>>,
    /// Upstream that last announced each data address.
    by_data_address: BTreeMap<SocketAddr, UpstreamId>,
    /// Upstreams whose data address another one took over, each with the instant
    /// until which its delayed announcements are ignored.
    displaced_upstreams: BTreeMap<UpstreamId, Instant>,
    drained_hosts: BTreeSet<HostName>,
    evacuated: BTreeSet<DataCentre>,
    balancers: Balancers,
    balancers_seq: u64,
    /// One entry for each upstream: its `next_check`.
    scheduled_checks: BTreeSet<(Instant, UpstreamId)>,
    /// Services whose members may have changed since the last publication.
    dirty_services: BTreeSet<ServiceName>,
    /// Configured services by the version in which their members changed.
    services_by_seq: BTreeSet<(u64, ServiceId)>,
}

impl Registry {
    /// Creates an empty registry at the start of the leadership of `term`.
    #[must_use]
    pub fn new(settings: Settings, now: Instant, term: Term) -> Self {
        Registry {
            first_publish_at: now + settings.lease,
            settings,
            term,
            seq: 0,
            latest_call: now,
            upstreams: BTreeMap::new(),
            records: BTreeMap::new(),
            service_names: BTreeMap::new(),
            by_host: BTreeMap::new(),
            by_data_address: BTreeMap::new(),
            displaced_upstreams: BTreeMap::new(),
            drained_hosts: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            balancers: Balancers::default(),
            balancers_seq: 0,
            scheduled_checks: BTreeSet::new(),
            dirty_services: BTreeSet::new(),
            services_by_seq: BTreeSet::new(),
        }
    }

    /// Instant before which nothing is published: one lease after the start.
    #[must_use]
    pub fn first_publish_at(&self) -> Instant {
        self.first_publish_at
    }

    /// Applies an announcement of the agent on `host`.
    ///
    /// An upstream that announced the same data address before is removed at
    /// once, because it no longer has the address. A former incarnation of the
    /// host's agent at another address remains until its lease expires.
    pub fn announce(&mut self, now: Instant, host: &HostName, announcement: &UpstreamAnnouncement) {
        self.latest_call = self.latest_call.max(now);
        if self
            .displaced_upstreams
            .get(&announcement.id)
            .is_some_and(|until| *until > now)
        {
            return;
        }
        self.take_over_data_address(now, announcement);
        let record = self.records.get(&announcement.service);
        let member = record.and_then(|r| r.members.get(&announcement.id));
        let has_share = member.is_some_and(|m| m.share > Share(0));
        let drained = self.drained_hosts.contains(host);
        let evacuated = self.evacuated.contains(&announcement.data_centre);
        let changed = match self.upstreams.get_mut(&announcement.id) {
            Some(u) if u.announcement.service == announcement.service => {
                if u.host != *host {
                    move_to_host(&mut self.by_host, u, host, announcement.id);
                }
                u.drained = drained;
                u.evacuated = evacuated;
                u.renew(now, host, announcement, has_share, &self.settings)
            }
            _ => {
                self.remove_upstream(announcement.id);
                self.add_upstream(now, host, announcement);
                true
            }
        };
        self.apply_loads(now, announcement);
        if changed {
            self.dirty_services.insert(announcement.service.clone());
        }
    }

    /// Assigns the data address of `announcement` to its upstream, and removes
    /// the upstream that had it.
    fn take_over_data_address(&mut self, now: Instant, announcement: &UpstreamAnnouncement) {
        if let Some(known) = self.upstreams.get(&announcement.id) {
            if known.announcement.data_address == announcement.data_address {
                return;
            }
            self.by_data_address
                .remove(&known.announcement.data_address);
        }
        if let Some(former) = self
            .by_data_address
            .insert(announcement.data_address, announcement.id)
        {
            self.remove_upstream(former);
            self.displaced_upstreams
                .insert(former, now + self.settings.lease);
        }
    }

    fn add_upstream(&mut self, now: Instant, host: &HostName, announcement: &UpstreamAnnouncement) {
        let mut upstream = Upstream::new(now, host, announcement, &self.settings);
        upstream.drained = self.drained_hosts.contains(host);
        upstream.evacuated = self.evacuated.contains(&announcement.data_centre);
        self.by_host
            .entry(host.clone())
            .or_default()
            .insert(announcement.id);
        self.by_data_address
            .insert(announcement.data_address, announcement.id);
        let record = self
            .records
            .entry(announcement.service.clone())
            .or_default();
        record.upstreams.insert(announcement.id);
        self.upstreams.insert(announcement.id, upstream);
    }

    /// Updates the load level of an upstream from the loads in `announcement`.
    fn apply_loads(&mut self, now: Instant, announcement: &UpstreamAnnouncement) {
        let record = self.records.get(&announcement.service);
        if let (Some(record), Some(u)) = (record, self.upstreams.get_mut(&announcement.id)) {
            u.apply_loads(now, &record.carry, &self.settings);
            schedule_check(
                &mut self.scheduled_checks,
                announcement.id,
                u,
                now,
                &self.settings,
            );
        }
    }

    fn remove_upstream(&mut self, id: UpstreamId) {
        let Some(upstream) = self.upstreams.remove(&id) else {
            return;
        };
        if let Some(next_check) = upstream.next_check {
            self.scheduled_checks.remove(&(next_check, id));
        }
        if self
            .by_data_address
            .get(&upstream.announcement.data_address)
            == Some(&id)
        {
            self.by_data_address
                .remove(&upstream.announcement.data_address);
        }
        remove_from_host(&mut self.by_host, &upstream.host, id);
        if let Some(record) = self.records.get_mut(&upstream.announcement.service) {
            record.upstreams.remove(&id);
            self.dirty_services.insert(upstream.announcement.service);
        }
    }

    /// Applies an announcement of the balancer on `host`.
    pub fn announce_balancer(
        &mut self,
        now: Instant,
        host: &HostName,
        balancer: BalancerAnnouncement,
    ) {
        self.latest_call = self.latest_call.max(now);
        let lease_until = now + self.settings.lease;
        self.balancers.announce(host, balancer, lease_until);
    }

    /// Applies the creation or change of a service.
    pub fn set_service(
        &mut self,
        id: ServiceId,
        name: &ServiceName,
        targets: &BTreeMap<ClassName, Target>,
    ) {
        let former = self.records.get(name).and_then(|r| r.id);
        if let Some(former) = former.filter(|former| *former != id) {
            self.remove_service(former);
        }
        let record = self.records.entry(name.clone()).or_default();
        let carry = targets.iter().map(|(class, t)| (class.clone(), t.carry));
        record.carry = carry.collect();
        if record.id.replace(id).is_none() {
            self.service_names.insert(id, name.clone());
            self.dirty_services.insert(name.clone());
        }
    }

    /// Applies the removal of a service.
    pub fn remove_service(&mut self, id: ServiceId) {
        let Some(name) = self.service_names.remove(&id) else {
            return;
        };
        let Some(record) = self.records.get_mut(&name) else {
            return;
        };
        self.services_by_seq.remove(&(record.seq, id));
        *record = ServiceRecord {
            upstreams: std::mem::take(&mut record.upstreams),
            ..ServiceRecord::default()
        };
        for upstream in &record.upstreams {
            if let Some(u) = self.upstreams.get_mut(upstream) {
                u.mark_unlisted();
            }
        }
        self.dirty_services.insert(name);
    }

    /// Sets or clears an operator's drain mark on a host.
    pub fn set_drain(&mut self, host: &HostName, drain: bool) {
        let changed = if drain {
            self.drained_hosts.insert(host.clone())
        } else {
            self.drained_hosts.remove(host)
        };
        if !changed {
            return;
        }
        for id in self.by_host.get(host).into_iter().flatten() {
            if let Some(u) = self.upstreams.get_mut(id) {
                u.drained = drain;
                self.dirty_services.insert(u.announcement.service.clone());
            }
        }
    }

    /// Starts or ends the evacuation of a data centre: its upstreams are treated like
    /// those of drained hosts.
    pub fn set_evacuated(&mut self, data_centre: &DataCentre, evacuated: bool) {
        let changed = if evacuated {
            self.evacuated.insert(data_centre.clone())
        } else {
            self.evacuated.remove(data_centre)
        };
        if !changed {
            return;
        }
        let upstreams = self.upstreams.values_mut();
        for u in upstreams.filter(|u| u.announcement.data_centre == *data_centre) {
            u.evacuated = evacuated;
            self.dirty_services.insert(u.announcement.service.clone());
        }
    }

    /// The services that have upstreams in evacuated data centres and none elsewhere,
    /// except for some that leave. An upstream of an evacuated data centre counts also
    /// when it has announced that it leaves, because its agent does so on request.
    #[must_use]
    pub fn services_without_upstreams(&self) -> BTreeSet<ServiceName> {
        let mut is_served: BTreeMap<&ServiceName, bool> = BTreeMap::new();
        for announced in self.upstreams.values().map(|u| &u.announcement) {
            if self.evacuated.contains(&announced.data_centre) {
                is_served.entry(&announced.service).or_default();
            } else if announced.state != UpstreamState::Leaving {
                is_served.insert(&announced.service, true);
            }
        }
        let unserved = is_served.into_iter().filter(|(_, served)| !served);
        unserved.map(|(service, _)| service.clone()).collect()
    }

    /// Expires leases, advances ramps and publishes all changes since the last
    /// publication as one version. Returns `None` if nothing changed.
    ///
    /// Pending announcements should be applied first.
    pub fn tick(&mut self, now: Instant) -> Option<Publication> {
        self.latest_call = self.latest_call.max(now);
        if now < self.first_publish_at {
            return None;
        }
        let is_first = self.seq == 0;
        self.displaced_upstreams.retain(|_, until| *until > now);
        self.balancers.expire(now);
        self.check_due_upstreams(now);
        if is_first {
            self.dirty_services.extend(self.records.keys().cloned());
        }
        let mut services = self.rebuild_dirty_services(now, is_first);
        if is_first {
            services.extend(self.service_names.keys());
        }
        let balancers = self.balancers.take_changed();
        if services.is_empty() && !balancers && !is_first {
            return None;
        }
        Some(self.publish(services, balancers))
    }

    /// Marks the services of upstreams with a due change as dirty.
    fn check_due_upstreams(&mut self, now: Instant) {
        while let Some((at, id)) = self
            .scheduled_checks
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            self.scheduled_checks.remove(&(at, id));
            let Some(u) = self.upstreams.get_mut(&id) else {
                continue;
            };
            u.next_check = None;
            if u.due(now, &self.settings) <= now || u.is_lease_expired(now) {
                self.dirty_services.insert(u.announcement.service.clone());
            } else {
                schedule_check(&mut self.scheduled_checks, id, u, now, &self.settings);
            }
        }
    }

    /// Rebuilds the members of the services that may have changed. Returns those
    /// that did change.
    fn rebuild_dirty_services(&mut self, now: Instant, is_first: bool) -> BTreeSet<ServiceId> {
        let dirty = std::mem::take(&mut self.dirty_services);
        let changed = dirty
            .iter()
            .filter_map(|name| self.rebuild_service(now, is_first, name))
            .collect();
        // Removing upstreams marked their services as dirty, but these are
        // already rebuilt.
        self.dirty_services.clear();
        changed
    }

    /// Rebuilds the members of a service. Returns its id if they changed.
    fn rebuild_service(
        &mut self,
        now: Instant,
        is_first: bool,
        name: &ServiceName,
    ) -> Option<ServiceId> {
        self.remove_expired_upstreams(now, name);
        let record = self.records.get_mut(name)?;
        for id in &record.upstreams {
            let Some(u) = self.upstreams.get_mut(id) else {
                continue;
            };
            if record.id.is_some() {
                u.mark_listed(now, is_first, &self.settings);
            }
            u.advance(now, &self.settings);
            schedule_check(&mut self.scheduled_checks, *id, u, now, &self.settings);
        }
        if record.id.is_none() && record.upstreams.is_empty() {
            self.records.remove(name);
            return None;
        }
        let id = record.id?;
        record
            .rebuild_members(now, &self.upstreams, &self.settings)
            .then_some(id)
    }

    /// Removes the upstreams of a service that must no longer be listed.
    fn remove_expired_upstreams(&mut self, now: Instant, name: &ServiceName) {
        let Some(record) = self.records.get(name) else {
            return;
        };
        for id in record.upstreams_to_remove(now, &self.upstreams, &self.settings) {
            self.remove_upstream(id);
        }
    }

    fn publish(&mut self, services: BTreeSet<ServiceId>, balancers: bool) -> Publication {
        self.seq += 1;
        for id in &services {
            let record = self
                .service_names
                .get(id)
                .and_then(|n| self.records.get_mut(n));
            if let Some(record) = record {
                self.services_by_seq.remove(&(record.seq, *id));
                self.services_by_seq.insert((self.seq, *id));
                record.seq = self.seq;
            }
        }
        if balancers {
            self.balancers_seq = self.seq;
        }
        Publication {
            seq: self.seq,
            changed_services: services,
            balancers_changed: balancers,
        }
    }

    /// Next instant at which [`tick`](Registry::tick) may have work to do; `None`
    /// while there is no lease. The tick may still find no change.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        if self.seq == 0 {
            return Some(self.first_publish_at);
        }
        if !self.dirty_services.is_empty() || self.balancers.is_changed() {
            return Some(self.latest_call);
        }
        let next_check = self.scheduled_checks.first().map(|(at, _)| *at);
        next_check.into_iter().chain(self.balancers.due()).min()
    }

    /// Returns the last published version; `None` before the first.
    #[must_use]
    pub fn version(&self) -> Option<(Term, u64)> {
        (self.seq > 0).then_some((self.term, self.seq))
    }

    /// Returns the services whose members changed after version `have`; `None` if
    /// `have` is from another term, so that the reader needs every service.
    #[must_use]
    pub fn changed_since(&self, have: (Term, u64)) -> Option<BTreeSet<ServiceId>> {
        if have.0 != self.term {
            return None;
        }
        let after = (have.1 + 1, ServiceId(0))..;
        Some(
            self.services_by_seq
                .range(after)
                .map(|(_, id)| *id)
                .collect(),
        )
    }

    fn record(&self, service: ServiceId) -> Option<&ServiceRecord> {
        self.records.get(self.service_names.get(&service)?)
    }

    /// Members of a service in the last published version.
    #[must_use]
    pub fn members(&self, service: ServiceId) -> &BTreeMap<UpstreamId, UpstreamMember> {
        self.record(service).map_or(&NO_MEMBERS, |r| &r.members)
    }

    /// Version in which the members of a service last changed.
    #[must_use]
    pub fn members_version(&self, service: ServiceId) -> (Term, u64) {
        (self.term, self.record(service).map_or(0, |r| r.seq))
    }

    /// Balancers with a valid lease.
    #[must_use]
    pub fn balancers(&self) -> &BTreeMap<HostName, BalancerAnnouncement> {
        self.balancers.registered()
    }

    /// Version number in which the list of balancers last changed.
    #[must_use]
    pub fn balancers_seq(&self) -> u64 {
        self.balancers_seq
    }

    /// Latest loads of the upstreams of a service. Load changes do not create
    /// versions.
    pub fn loads(&self, service: ServiceId) -> impl Iterator<Item = (UpstreamId, &ClassLoads)> {
        let ids = self.record(service).into_iter().flat_map(|r| &r.upstreams);
        ids.filter_map(|id| Some((*id, &self.upstreams.get(id)?.announcement.loads)))
    }

    /// Returns the current load and health of a service.
    #[must_use]
    pub fn status(&self, service: ServiceId) -> ServiceStatus {
        self.record(service)
            .map(|r| r.status(self.latest_call, &self.upstreams))
            .unwrap_or_default()
    }
}

/// Schedules the next check of an upstream for its next due change.
fn schedule_check(
    scheduled_checks: &mut BTreeSet<(Instant, UpstreamId)>,
    id: UpstreamId,
    upstream: &mut Upstream,
    now: Instant,
    settings: &Settings,
) {
    let due = upstream.due(now, settings);
    // A check that comes too early finds nothing due and is scheduled again,
    // so the renewal of a lease need not reschedule it.
    if upstream
        .next_check
        .is_some_and(|next_check| next_check <= due)
    {
        return;
    }
    if let Some(next_check) = upstream.next_check.replace(due) {
        scheduled_checks.remove(&(next_check, id));
    }
    scheduled_checks.insert((due, id));
}

fn remove_from_host(
    by_host: &mut BTreeMap<HostName, BTreeSet<UpstreamId>>,
    host: &HostName,
    id: UpstreamId,
) {
    if let Some(ids) = by_host.get_mut(host) {
        ids.remove(&id);
        if ids.is_empty() {
            by_host.remove(host);
        }
    }
}

fn move_to_host(
    by_host: &mut BTreeMap<HostName, BTreeSet<UpstreamId>>,
    upstream: &Upstream,
    host: &HostName,
    id: UpstreamId,
) {
    remove_from_host(by_host, &upstream.host, id);
    by_host.entry(host.clone()).or_default().insert(id);
}
