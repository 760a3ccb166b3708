//! The membership as the control leader keeps it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Instant,
};

use types::{
    Announcement, Balancer, ClassName, HostName, Loads, Member, ServiceId, ServiceName, Share,
    Target, Term, UpstreamId,
};

use super::{Settings, balancers::Balancers, group::Group, upstream::Upstream};
use crate::version::{Publication, ServiceStatus};

/// Members of a service that is not configured.
static NO_MEMBERS: BTreeMap<UpstreamId, Member> = BTreeMap::new();

/// Upstreams, balancers and their leases, from the start of a leadership.
///
/// An announcement costs a few look-ups and moves no timer: each upstream has
/// one wake, which may come too early. A tick costs what is due and, for each
/// service that may have changed, its number of upstreams.
#[derive(Debug)]
pub struct Registry {
    settings: Settings,
    epoch: Term,
    first_publish_at: Instant,
    /// Number of the last published version; 0 before the first.
    seq: u64,
    /// Latest instant of any call.
    latest: Instant,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    groups: BTreeMap<ServiceName, Group>,
    /// Name of each configured service.
    names: BTreeMap<ServiceId, ServiceName>,
    /// Upstreams of each host.
    by_host: BTreeMap<HostName, BTreeSet<UpstreamId>>,
    /// The upstream that last announced each data address.
    by_data: BTreeMap<SocketAddr, UpstreamId>,
    /// Upstreams whose data address another one took over, until no late
    /// announcement of theirs can come any more.
    displaced: BTreeMap<UpstreamId, Instant>,
    drains: BTreeSet<HostName>,
    balancers: Balancers,
    balancers_seq: u64,
    /// One entry for each upstream: its `wake`.
    wakes: BTreeSet<(Instant, UpstreamId)>,
    /// Services whose members may have changed since the last publication.
    dirty: BTreeSet<ServiceName>,
    /// Configured services by the version in which their members changed.
    by_seq: BTreeSet<(u64, ServiceId)>,
}

impl Registry {
    /// An empty registry at the start of the leadership of `epoch`.
    #[must_use]
    pub fn new(settings: Settings, now: Instant, epoch: Term) -> Self {
        Registry {
            first_publish_at: now + settings.lease,
            settings,
            epoch,
            seq: 0,
            latest: now,
            upstreams: BTreeMap::new(),
            groups: BTreeMap::new(),
            names: BTreeMap::new(),
            by_host: BTreeMap::new(),
            by_data: BTreeMap::new(),
            displaced: BTreeMap::new(),
            drains: BTreeSet::new(),
            balancers: Balancers::default(),
            balancers_seq: 0,
            wakes: BTreeSet::new(),
            dirty: BTreeSet::new(),
            by_seq: BTreeSet::new(),
        }
    }

    /// Until when nothing is published: one lease from the start.
    #[must_use]
    pub fn first_publish_at(&self) -> Instant {
        self.first_publish_at
    }

    /// Takes an announcement of the agent on `host`.
    ///
    /// An upstream that announced the same data address before is gone at
    /// once: it cannot be there any more. A former run of the host's agent at
    /// another address stays until its lease ends.
    pub fn announce(&mut self, now: Instant, host: &HostName, ann: &Announcement) {
        self.latest = self.latest.max(now);
        if self
            .displaced
            .get(&ann.id)
            .is_some_and(|until| *until > now)
        {
            return;
        }
        self.take_address(now, ann);
        let group = self.groups.get(&ann.service);
        let member = group.and_then(|g| g.members.get(&ann.id));
        let has_share = member.is_some_and(|m| m.share > Share(0));
        let changed = match self.upstreams.get_mut(&ann.id) {
            Some(u) if u.ann.service == ann.service => {
                if u.host != *host {
                    move_host(&mut self.by_host, u, host, ann.id);
                    u.drained = self.drains.contains(host);
                }
                u.renew(now, host, ann, has_share, &self.settings)
            }
            _ => {
                self.remove_upstream(ann.id);
                self.add_upstream(now, host, ann);
                true
            }
        };
        self.weigh(now, ann);
        if changed {
            self.dirty.insert(ann.service.clone());
        }
    }

    /// Makes `ann.id` the upstream at its data address.
    fn take_address(&mut self, now: Instant, ann: &Announcement) {
        if let Some(known) = self.upstreams.get(&ann.id) {
            if known.ann.data == ann.data {
                return;
            }
            self.by_data.remove(&known.ann.data);
        }
        if let Some(former) = self.by_data.insert(ann.data, ann.id) {
            self.remove_upstream(former);
            self.displaced.insert(former, now + self.settings.lease);
        }
    }

    fn add_upstream(&mut self, now: Instant, host: &HostName, ann: &Announcement) {
        let mut upstream = Upstream::new(now, host, ann, &self.settings);
        upstream.drained = self.drains.contains(host);
        self.by_host.entry(host.clone()).or_default().insert(ann.id);
        self.by_data.insert(ann.data, ann.id);
        let group = self.groups.entry(ann.service.clone()).or_default();
        group.upstreams.insert(ann.id);
        self.upstreams.insert(ann.id, upstream);
    }

    /// Weighs the loads that `ann` reports.
    fn weigh(&mut self, now: Instant, ann: &Announcement) {
        let group = self.groups.get(&ann.service);
        if let (Some(group), Some(u)) = (group, self.upstreams.get_mut(&ann.id)) {
            u.weigh(now, &group.carry, &self.settings);
            schedule(&mut self.wakes, ann.id, u, now, &self.settings);
        }
    }

    fn remove_upstream(&mut self, id: UpstreamId) {
        let Some(upstream) = self.upstreams.remove(&id) else {
            return;
        };
        if let Some(wake) = upstream.wake {
            self.wakes.remove(&(wake, id));
        }
        if self.by_data.get(&upstream.ann.data) == Some(&id) {
            self.by_data.remove(&upstream.ann.data);
        }
        leave_host(&mut self.by_host, &upstream.host, id);
        if let Some(group) = self.groups.get_mut(&upstream.ann.service) {
            group.upstreams.remove(&id);
            self.dirty.insert(upstream.ann.service);
        }
    }

    /// Takes an announcement of the balancer on `host`.
    pub fn announce_balancer(&mut self, now: Instant, host: &HostName, balancer: Balancer) {
        self.latest = self.latest.max(now);
        let lease_until = now + self.settings.lease;
        self.balancers.announce(host, balancer, lease_until);
    }

    /// Takes a service that was created or changed.
    pub fn set_service(
        &mut self,
        id: ServiceId,
        name: &ServiceName,
        targets: &BTreeMap<ClassName, Target>,
    ) {
        let former = self.groups.get(name).and_then(|g| g.id);
        if let Some(former) = former.filter(|former| *former != id) {
            self.remove_service(former);
        }
        let group = self.groups.entry(name.clone()).or_default();
        let carry = targets.iter().map(|(class, t)| (class.clone(), t.carry));
        group.carry = carry.collect();
        if group.id.replace(id).is_none() {
            self.names.insert(id, name.clone());
            self.dirty.insert(name.clone());
        }
    }

    /// Takes the removal of a service.
    pub fn remove_service(&mut self, id: ServiceId) {
        let Some(name) = self.names.remove(&id) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&name) else {
            return;
        };
        self.by_seq.remove(&(group.seq, id));
        *group = Group {
            upstreams: std::mem::take(&mut group.upstreams),
            ..Group::default()
        };
        for upstream in &group.upstreams {
            if let Some(u) = self.upstreams.get_mut(upstream) {
                u.unlist();
            }
        }
        self.dirty.insert(name);
    }

    /// Takes an operator's drain mark, or its end.
    pub fn set_drain(&mut self, host: &HostName, drain: bool) {
        let changed = if drain {
            self.drains.insert(host.clone())
        } else {
            self.drains.remove(host)
        };
        if !changed {
            return;
        }
        for id in self.by_host.get(host).into_iter().flatten() {
            if let Some(u) = self.upstreams.get_mut(id) {
                u.drained = drain;
                self.dirty.insert(u.ann.service.clone());
            }
        }
    }

    /// Ends leases, moves ramps on and publishes what changed since the last
    /// publication as one version; `None` if nothing did.
    ///
    /// Announcements that wait to be taken should be taken first.
    pub fn tick(&mut self, now: Instant) -> Option<Publication> {
        self.latest = self.latest.max(now);
        if now < self.first_publish_at {
            return None;
        }
        let is_first = self.seq == 0;
        self.displaced.retain(|_, until| *until > now);
        self.balancers.expire(now);
        self.wake(now);
        if is_first {
            self.dirty.extend(self.groups.keys().cloned());
        }
        let mut services = self.relist(now, is_first);
        if is_first {
            services.extend(self.names.keys());
        }
        let balancers = self.balancers.take_changed();
        if services.is_empty() && !balancers && !is_first {
            return None;
        }
        Some(self.publish(services, balancers))
    }

    /// Finds the upstreams for which something is due.
    fn wake(&mut self, now: Instant) {
        while let Some((at, id)) = self.wakes.first().copied().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, id));
            let Some(u) = self.upstreams.get_mut(&id) else {
                continue;
            };
            u.wake = None;
            if u.due(now, &self.settings) <= now || u.is_lapsed(now) {
                self.dirty.insert(u.ann.service.clone());
            } else {
                schedule(&mut self.wakes, id, u, now, &self.settings);
            }
        }
    }

    /// Makes new lists of the services that may have changed, and returns
    /// those that did.
    fn relist(&mut self, now: Instant, is_first: bool) -> BTreeSet<ServiceId> {
        let dirty = std::mem::take(&mut self.dirty);
        let changed = dirty
            .iter()
            .filter_map(|name| self.relist_service(now, is_first, name))
            .collect();
        // Dropping upstreams marked their services, which are done by now.
        self.dirty.clear();
        changed
    }

    /// Makes the new list of a service; its id if the list changed.
    fn relist_service(
        &mut self,
        now: Instant,
        is_first: bool,
        name: &ServiceName,
    ) -> Option<ServiceId> {
        self.drop_gone(now, name);
        let group = self.groups.get_mut(name)?;
        for id in &group.upstreams {
            let Some(u) = self.upstreams.get_mut(id) else {
                continue;
            };
            if group.id.is_some() {
                u.list(now, is_first, &self.settings);
            }
            u.advance(now, &self.settings);
            schedule(&mut self.wakes, *id, u, now, &self.settings);
        }
        if group.id.is_none() && group.upstreams.is_empty() {
            self.groups.remove(name);
            return None;
        }
        let id = group.id?;
        group
            .relist(now, &self.upstreams, &self.settings)
            .then_some(id)
    }

    /// Removes the upstreams of a service that are no longer to be listed.
    fn drop_gone(&mut self, now: Instant, name: &ServiceName) {
        let Some(group) = self.groups.get(name) else {
            return;
        };
        for id in group.gone(now, &self.upstreams, &self.settings) {
            self.remove_upstream(id);
        }
    }

    fn publish(&mut self, services: BTreeSet<ServiceId>, balancers: bool) -> Publication {
        self.seq += 1;
        for id in &services {
            let group = self.names.get(id).and_then(|n| self.groups.get_mut(n));
            if let Some(group) = group {
                self.by_seq.remove(&(group.seq, *id));
                self.by_seq.insert((self.seq, *id));
                group.seq = self.seq;
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

    /// When [`tick`](Registry::tick) may next have something to do; `None`
    /// while nobody has a lease. A tick then may still find nothing.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        if self.seq == 0 {
            return Some(self.first_publish_at);
        }
        if !self.dirty.is_empty() || self.balancers.is_changed() {
            return Some(self.latest);
        }
        let wake = self.wakes.first().map(|(at, _)| *at);
        wake.into_iter().chain(self.balancers.due()).min()
    }

    /// The last published version; `None` before the first.
    #[must_use]
    pub fn version(&self) -> Option<(Term, u64)> {
        (self.seq > 0).then_some((self.epoch, self.seq))
    }

    /// Services whose members changed after `have`; `None` if `have` is of
    /// another term, whose reader needs the members of every service.
    #[must_use]
    pub fn changed_since(&self, have: (Term, u64)) -> Option<BTreeSet<ServiceId>> {
        if have.0 != self.epoch {
            return None;
        }
        let after = (have.1 + 1, ServiceId(0))..;
        Some(self.by_seq.range(after).map(|(_, id)| *id).collect())
    }

    fn group(&self, service: ServiceId) -> Option<&Group> {
        self.groups.get(self.names.get(&service)?)
    }

    /// Members of a service in the last published version.
    #[must_use]
    pub fn members(&self, service: ServiceId) -> &BTreeMap<UpstreamId, Member> {
        self.group(service).map_or(&NO_MEMBERS, |g| &g.members)
    }

    /// Version in which the members of a service last changed.
    #[must_use]
    pub fn members_version(&self, service: ServiceId) -> (Term, u64) {
        (self.epoch, self.group(service).map_or(0, |g| g.seq))
    }

    /// Balancers with a lease.
    #[must_use]
    pub fn balancers(&self) -> &BTreeMap<HostName, Balancer> {
        self.balancers.listed()
    }

    /// Version number in which the list of balancers last changed.
    #[must_use]
    pub fn balancers_seq(&self) -> u64 {
        self.balancers_seq
    }

    /// Latest loads of the upstreams of a service. They change all the time
    /// and cost no version.
    pub fn loads(&self, service: ServiceId) -> impl Iterator<Item = (UpstreamId, &Loads)> {
        let ids = self.group(service).into_iter().flat_map(|g| &g.upstreams);
        ids.filter_map(|id| Some((*id, &self.upstreams.get(id)?.ann.loads)))
    }

    /// Present load and health of a service.
    #[must_use]
    pub fn status(&self, service: ServiceId) -> ServiceStatus {
        self.group(service)
            .map(|g| g.status(self.latest, &self.upstreams))
            .unwrap_or_default()
    }
}

/// Looks at an upstream again when something is due for it.
fn schedule(
    wakes: &mut BTreeSet<(Instant, UpstreamId)>,
    id: UpstreamId,
    upstream: &mut Upstream,
    now: Instant,
    settings: &Settings,
) {
    let due = upstream.due(now, settings);
    // A wake that comes too early finds nothing and is set again, so a
    // renewed lease does not have to move it.
    if upstream.wake.is_some_and(|wake| wake <= due) {
        return;
    }
    if let Some(wake) = upstream.wake.replace(due) {
        wakes.remove(&(wake, id));
    }
    wakes.insert((due, id));
}

fn leave_host(
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

fn move_host(
    by_host: &mut BTreeMap<HostName, BTreeSet<UpstreamId>>,
    upstream: &Upstream,
    host: &HostName,
    id: UpstreamId,
) {
    leave_host(by_host, &upstream.host, id);
    by_host.entry(host.clone()).or_default().insert(id);
}
