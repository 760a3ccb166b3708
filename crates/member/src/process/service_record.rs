//! Upstreams and members of one service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use types::{ClassName, ServiceId, Share, Slots, UpstreamId, UpstreamMember};

use super::{Settings, upstream::Upstream};
use crate::version::{Availability, ClassStatus, ServiceStatus, is_frozen};

/// Upstreams that announced the name of a service, and its published members.
#[derive(Debug, Default)]
pub(crate) struct ServiceRecord {
    /// Id of the service; `None` while no service of the name is configured.
    pub(crate) id: Option<ServiceId>,
    /// Target slots of each class of work.
    pub(crate) carry: BTreeMap<ClassName, Slots>,
    /// Upstreams with a lease, and those retained by the rule of [`is_frozen`].
    pub(crate) upstreams: BTreeSet<UpstreamId>,
    /// Members in the last published version.
    pub(crate) members: BTreeMap<UpstreamId, UpstreamMember>,
    /// Sequence number of the version in which `members` last changed.
    pub(crate) seq: u64,
}

impl ServiceRecord {
    /// Returns the upstreams that must no longer be listed at `now`.
    pub(crate) fn upstreams_to_remove(
        &self,
        now: Instant,
        all: &BTreeMap<UpstreamId, Upstream>,
        settings: &Settings,
    ) -> Vec<UpstreamId> {
        let frozen = self.id.is_some() && is_frozen(self.availabilities(now, all, settings));
        self.each(all)
            .filter(|(_, u)| {
                u.is_lease_expired(now) && (!frozen || u.must_be_removed(now, settings))
            })
            .map(|(id, _)| id)
            .collect()
    }

    fn availabilities<'a>(
        &'a self,
        now: Instant,
        all: &'a BTreeMap<UpstreamId, Upstream>,
        settings: &'a Settings,
    ) -> impl Iterator<Item = Availability> + 'a {
        self.each(all)
            .filter(move |(_, u)| !u.must_be_removed(now, settings))
            .map(move |(_, u)| u.availability(now))
    }

    fn each<'a>(
        &'a self,
        all: &'a BTreeMap<UpstreamId, Upstream>,
    ) -> impl Iterator<Item = (UpstreamId, &'a Upstream)> + 'a {
        self.upstreams
            .iter()
            .filter_map(|id| Some((*id, all.get(id)?)))
    }

    /// Computes the members of the next version. Returns true if they differ from
    /// those of the last one.
    pub(crate) fn rebuild_members(
        &mut self,
        now: Instant,
        all: &BTreeMap<UpstreamId, Upstream>,
        settings: &Settings,
    ) -> bool {
        let frozen = is_frozen(self.availabilities(now, all, settings));
        let mut members: BTreeMap<_, _> = self
            .each(all)
            .map(|(id, u)| {
                let present = self.members.get(&id).map(|m| m.share);
                (id, u.member(u.availability(now).share(present, frozen)))
            })
            .collect();
        set_former_shares(&mut members, &self.members);
        let changed = members != self.members;
        self.members = members;
        changed
    }

    /// Returns the current load and health.
    pub(crate) fn status(
        &self,
        now: Instant,
        all: &BTreeMap<UpstreamId, Upstream>,
    ) -> ServiceStatus {
        let mut status = ServiceStatus::default();
        for (_, u) in self.each(all) {
            let ready = matches!(u.availability(now), Availability::Usable(_));
            match u.availability(now) {
                Availability::Usable(_) => status.ready_upstreams += 1,
                Availability::Failing => status.down_upstreams += 1,
                Availability::Leaving => {
                    status.leaving_upstreams += 1;
                    status.leaving_connections += u64::from(u.announcement.connections.0);
                }
            }
            if !u.is_lease_expired(now) {
                self.add_loads(&mut status.classes, u, ready);
            }
        }
        status
    }

    fn add_loads(
        &self,
        classes: &mut BTreeMap<ClassName, ClassStatus>,
        upstream: &Upstream,
        ready: bool,
    ) {
        for (class, load) in &upstream.announcement.loads {
            let sum = classes.entry(class.clone()).or_default();
            let add = |to: &mut Slots, n: Slots| to.0 = to.0.saturating_add(n.0);
            if ready {
                add(
                    &mut sum.carry,
                    self.carry.get(class).copied().unwrap_or_default(),
                );
                add(&mut sum.slots, load.slots);
            }
            add(&mut sum.in_flight, load.in_flight);
            add(&mut sum.queued, load.queued);
        }
    }
}

/// Sets the former shares of the members.
///
/// They change only when a share changes: a changed address must not discard the
/// former placement, because existing flows still depend on it.
fn set_former_shares(
    members: &mut BTreeMap<UpstreamId, UpstreamMember>,
    last: &BTreeMap<UpstreamId, UpstreamMember>,
) {
    let shares = |m: &BTreeMap<UpstreamId, UpstreamMember>| -> Vec<(UpstreamId, Share)> {
        m.iter().map(|(id, m)| (*id, m.share)).collect()
    };
    let moved = shares(members) != shares(last);
    for (id, member) in members {
        let before = last.get(id);
        member.previous_share = match before {
            Some(before) if moved => before.share,
            Some(before) => before.previous_share,
            // Only a new leader lists an upstream with a share at once; the former
            // leader had given it one.
            None => member.share,
        };
    }
}
