//! What a node is sent for the version that it has.

use std::collections::{BTreeMap, BTreeSet};

use config::{Changes, ConfigState, Delta};
use member::Registry;
use types::{ClassLoads, Revision, Role, ServiceId, ServiceState, UpstreamId, Version};
use wire::{ServiceSubset, SyncReply, SyncRequest, Update};

/// The configuration and, once it is settled, the membership.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView<'a> {
    /// The committed configuration.
    pub state: &'a ConfigState,
    /// The leader's membership.
    pub registry: &'a Registry,
}

impl LeaderView<'_> {
    /// The version that is published; `None` while the membership settles.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        let (epoch, seq) = self.registry.version()?;
        Some(Version {
            revision: self.state.revision(),
            epoch,
            seq,
        })
    }

    /// Whether something newer concerns the node.
    #[must_use]
    pub fn has_update(&self, req: &SyncRequest) -> bool {
        let Some(version) = self.version() else {
            return false;
        };
        let Some(have) = req.have else {
            return true;
        };
        if version == have {
            return false;
        }
        let Some(members) = self.registry.changed_since(have.membership()) else {
            return true;
        };
        if wants_balancers(req) && self.registry.balancers_seq() > have.seq {
            return true;
        }
        match self.state.delta_since(have.revision) {
            Delta::SnapshotNeeded => true,
            Delta::Changes(changes) => {
                concerns(&changes, req) || members.iter().any(|id| self.wants(req, *id))
            }
        }
    }

    /// The reply to a node, as of now. Nothing may be sent before a majority
    /// has confirmed that this host still leads.
    #[must_use]
    pub fn reply(&self, req: &SyncRequest) -> SyncReply {
        let loads = self.loads(req);
        match self.version() {
            Some(version) if req.have != Some(version) => {
                SyncReply::Update(Box::new(self.update(req, version, loads)))
            }
            version => SyncReply::Current {
                loads,
                settled: version.is_some(),
            },
        }
    }

    fn update(
        &self,
        req: &SyncRequest,
        version: Version,
        loads: BTreeMap<UpstreamId, ClassLoads>,
    ) -> Update {
        let delta = match req.have {
            Some(have) => self.state.delta_since(have.revision),
            None => Delta::SnapshotNeeded,
        };
        let (snapshot, changes) = match delta {
            Delta::Changes(changes) => (false, changes),
            Delta::SnapshotNeeded => (true, self.state.full_changes()),
        };
        let ids = self.changed_services(req, &changes, snapshot);
        Update {
            version,
            snapshot,
            keys: self.state.keys().map(|keys| keys.set.clone()),
            services: ids.iter().filter_map(|id| self.service(*id)).collect(),
            removed: changes.removed,
            balancers: if wants_balancers(req) {
                self.registry.balancers().clone()
            } else {
                BTreeMap::new()
            },
            drains: self.drains(req),
            loads,
        }
    }

    /// Services in the node's subset whose configuration or members changed.
    fn changed_services(
        &self,
        req: &SyncRequest,
        changes: &Changes,
        snapshot: bool,
    ) -> BTreeSet<ServiceId> {
        let mut ids: BTreeSet<_> = changes.services.iter().map(|s| s.id).collect();
        let have = req.have.filter(|_| !snapshot);
        let members = have.and_then(|have| self.registry.changed_since(have.membership()));
        match members {
            Some(members) => ids.extend(members),
            // Of another term: every member list may have changed.
            None => ids.extend(self.state.services().keys()),
        }
        ids.retain(|id| self.wants(req, *id));
        ids
    }

    fn service(&self, id: ServiceId) -> Option<ServiceState> {
        let service = self.state.services().get(&id)?.clone();
        let (epoch, seq) = self.registry.members_version(id);
        let version = Version {
            revision: service.revision,
            epoch,
            seq,
        };
        Some(ServiceState {
            members: self.registry.members(id).clone(),
            service,
            version,
        })
    }

    fn wants(&self, req: &SyncRequest, id: ServiceId) -> bool {
        let service = self.state.services().get(&id);
        service.is_some_and(|service| req.subset.contains(&service.name))
    }

    /// ClassLoads of the upstreams of named services; a node that wants all
    /// services only forwards and needs none.
    fn loads(&self, req: &SyncRequest) -> BTreeMap<UpstreamId, ClassLoads> {
        let ServiceSubset::Named(names) = &req.subset else {
            return BTreeMap::new();
        };
        names
            .iter()
            .filter_map(|name| self.state.service(name))
            .flat_map(|service| self.registry.loads(service.id))
            .map(|(id, loads)| (id, loads.clone()))
            .collect()
    }

    /// The drain mark of the node's own host.
    fn drains(&self, req: &SyncRequest) -> BTreeSet<types::HostName> {
        let mark = self.state.drains().get(&req.host);
        let drained = mark.is_some_and(|mark| mark.drain);
        drained.then(|| req.host.clone()).into_iter().collect()
    }

    /// Whether a node with this subset and version has a revision in force, or
    /// the revision does not concern it.
    #[must_use]
    pub fn in_force(have: Option<Version>, revision: Revision) -> bool {
        have.is_some_and(|have| have.revision >= revision)
    }
}

fn wants_balancers(req: &SyncRequest) -> bool {
    req.role == Role::Agent
}

/// Whether configuration changes concern a node.
fn concerns(changes: &Changes, req: &SyncRequest) -> bool {
    changes.keys.is_some()
        || !changes.removed.is_empty()
        || changes.drains.contains_key(&req.host)
        || changes
            .services
            .iter()
            .any(|service| req.subset.contains(&service.name))
}
