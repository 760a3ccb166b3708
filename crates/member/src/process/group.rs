//! The upstreams of one service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use types::{ClassName, Member, ServiceId, Share, Slots, UpstreamId};

use super::{Settings, upstream::Upstream};
use crate::version::{ClassStatus, ServiceStatus, Standing, is_frozen};

/// The upstreams that announced a service's name.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// `None` while no service of the name is configured.
    pub(crate) id: Option<ServiceId>,
    /// Target of each class of work.
    pub(crate) carry: BTreeMap<ClassName, Slots>,
    /// Those with a lease and those kept by the rule of [`is_frozen`].
    pub(crate) upstreams: BTreeSet<UpstreamId>,
    /// Members in the last published version.
    pub(crate) members: BTreeMap<UpstreamId, Member>,
    /// Number of that version.
    pub(crate) seq: u64,
}

impl Group {
    /// Upstreams that are no longer to be listed at `now`.
    pub(crate) fn gone(
        &self,
        now: Instant,
        all: &BTreeMap<UpstreamId, Upstream>,
        settings: &Settings,
    ) -> Vec<UpstreamId> {
        let frozen = self.id.is_some() && is_frozen(self.standings(now, all, settings));
        self.each(all)
            .filter(|(_, u)| u.is_lapsed(now) && (!frozen || u.is_gone(now, settings)))
            .map(|(id, _)| id)
            .collect()
    }

    fn standings<'a>(
        &'a self,
        now: Instant,
        all: &'a BTreeMap<UpstreamId, Upstream>,
        settings: &'a Settings,
    ) -> impl Iterator<Item = Standing> + 'a {
        self.each(all)
            .filter(move |(_, u)| !u.is_gone(now, settings))
            .map(move |(_, u)| u.standing(now))
    }

    fn each<'a>(
        &'a self,
        all: &'a BTreeMap<UpstreamId, Upstream>,
    ) -> impl Iterator<Item = (UpstreamId, &'a Upstream)> + 'a {
        self.upstreams
            .iter()
            .filter_map(|id| Some((*id, all.get(id)?)))
    }

    /// Makes the members of the next version; returns whether they differ
    /// from the last one.
    pub(crate) fn relist(
        &mut self,
        now: Instant,
        all: &BTreeMap<UpstreamId, Upstream>,
        settings: &Settings,
    ) -> bool {
        let frozen = is_frozen(self.standings(now, all, settings));
        let mut members: BTreeMap<_, _> = self
            .each(all)
            .map(|(id, u)| {
                let present = self.members.get(&id).map(|m| m.share);
                (id, u.member(u.standing(now).share(present, frozen)))
            })
            .collect();
        set_former_shares(&mut members, &self.members);
        let changed = members != self.members;
        self.members = members;
        changed
    }

    /// Present load and health.
    pub(crate) fn status(
        &self,
        now: Instant,
        all: &BTreeMap<UpstreamId, Upstream>,
    ) -> ServiceStatus {
        let mut status = ServiceStatus::default();
        for (_, u) in self.each(all) {
            let ready = matches!(u.standing(now), Standing::Usable(_));
            match u.standing(now) {
                Standing::Usable(_) => status.ready_upstreams += 1,
                Standing::Failing => status.down_upstreams += 1,
                Standing::Leaving => {
                    status.leaving_upstreams += 1;
                    status.leaving_connections += u64::from(u.ann.connections.0);
                }
            }
            if !u.is_lapsed(now) {
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
        for (class, load) in &upstream.ann.loads {
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

/// Fills in the shares before the present ones.
///
/// They move only when the shares do: a change of an address must not hide
/// the former placement from flows that still depend on it.
fn set_former_shares(
    members: &mut BTreeMap<UpstreamId, Member>,
    last: &BTreeMap<UpstreamId, Member>,
) {
    let shares = |m: &BTreeMap<UpstreamId, Member>| -> Vec<(UpstreamId, Share)> {
        m.iter().map(|(id, m)| (*id, m.share)).collect()
    };
    let moved = shares(members) != shares(last);
    for (id, member) in members {
        let before = last.get(id);
        member.former_share = match before {
            Some(before) if moved => before.share,
            Some(before) => before.former_share,
            // Listed with a share only by a new leader, whose predecessor gave
            // it one before.
            None => member.share,
        };
    }
}
