//! Computes the reply to a sync request from the version that the node has.

use std::collections::{BTreeMap, BTreeSet};

use config::{Changes, ConfigState, Delta};
use member::Registry;
use types::{ClassLoads, Revision, Role, ServiceId, ServiceState, UpstreamId, Version};
use wire::{ServiceSubset, SyncReply, SyncRequest, Update};

/// The leader's configuration and membership, from which replies are computed.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView<'a> {
    /// The configuration as of the last applied log entry.
    pub state: &'a ConfigState,
    /// The leader's registry of upstreams and balancers.
    pub registry: &'a Registry,
}

impl LeaderView<'_> {
    /// The published version; `None` until the membership of a new leader has
    /// settled.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        let (epoch, seq) = self.registry.version()?;
        Some(Version {
            revision: self.state.revision(),
            epoch,
            seq,
        })
    }

    /// Whether there is an update that affects the node.
    #[must_use]
    pub fn has_update(&self, req: &SyncRequest) -> bool {
        let Some(version) = self.version() else {
            return false;
        };
        let Some(have) = req.applied_version else {
            return true;
        };
        if version == have {
            return false;
        }
        let Some(members) = self.registry.changed_since(have.membership()) else {
            return true;
        };
        if needs_balancers(req) && self.registry.balancers_seq() > have.seq {
            return true;
        }
        match self.state.delta_since(have.revision) {
            Delta::SnapshotNeeded => true,
            Delta::Changes(changes) => {
                affects(&changes, req) || members.iter().any(|id| self.subscribes_to(req, *id))
            }
        }
    }

    /// The reply to a sync request. It may be sent only after a majority has
    /// confirmed that this host is still the leader.
    #[must_use]
    pub fn reply(&self, req: &SyncRequest) -> SyncReply {
        let loads = self.loads(req);
        match self.version() {
            Some(version) if req.applied_version != Some(version) => {
                SyncReply::Update(Box::new(self.update(req, version, loads)))
            }
            version => SyncReply::Current {
                loads,
                membership_published: version.is_some(),
            },
        }
    }

    /// Builds the delta from the node's version, or a snapshot if there is none.
    fn update(
        &self,
        req: &SyncRequest,
        version: Version,
        loads: BTreeMap<UpstreamId, ClassLoads>,
    ) -> Update {
        let delta = match req.applied_version {
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
            is_snapshot: snapshot,
            keys: self.state.keys().map(|keys| keys.set.clone()),
            services: ids.iter().filter_map(|id| self.service(*id)).collect(),
            removed_services: changes.removed,
            balancers: if needs_balancers(req) {
                self.registry.balancers().clone()
            } else {
                BTreeMap::new()
            },
            draining_hosts: self.drains(req),
            loads,
        }
    }

    /// Services in the node's subset whose configuration or members have changed
    /// since the node's version.
    fn changed_services(
        &self,
        req: &SyncRequest,
        changes: &Changes,
        snapshot: bool,
    ) -> BTreeSet<ServiceId> {
        let mut ids: BTreeSet<_> = changes.services.iter().map(|s| s.id).collect();
        let have = req.applied_version.filter(|_| !snapshot);
        let members = have.and_then(|have| self.registry.changed_since(have.membership()));
        match members {
            Some(members) => ids.extend(members),
            // The version is of another term: any member list may differ.
            None => ids.extend(self.state.services().keys()),
        }
        ids.retain(|id| self.subscribes_to(req, *id));
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

    /// Whether the service is in the node's subset.
    fn subscribes_to(&self, req: &SyncRequest, id: ServiceId) -> bool {
        let service = self.state.services().get(&id);
        service.is_some_and(|service| req.subset.contains(&service.name))
    }

    /// Loads of the upstreams of the services that the subset names. A node that
    /// wants all services is a balancer, which only forwards and needs no loads.
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

    /// The node's own host if it is marked for draining or its data centre is
    /// evacuated, else empty.
    fn drains(&self, req: &SyncRequest) -> BTreeSet<types::HostName> {
        let mark = self.state.drains().get(&req.host);
        let evacuation = self.state.evacuations().get(&req.data_centre);
        let drained =
            mark.is_some_and(|mark| mark.drain) || evacuation.is_some_and(|mark| mark.evacuated);
        drained.then(|| req.host.clone()).into_iter().collect()
    }

    /// Whether a node that has applied the version `have` has `revision` in
    /// force. A node also gets versions that do not affect it, when its hold ends.
    #[must_use]
    pub fn in_force(have: Option<Version>, revision: Revision) -> bool {
        have.is_some_and(|have| have.revision >= revision)
    }
}

/// Whether the node needs the addresses of the balancers.
fn needs_balancers(req: &SyncRequest) -> bool {
    req.role == Role::Agent
}

/// Whether configuration changes affect a node.
fn affects(changes: &Changes, req: &SyncRequest) -> bool {
    changes.keys.is_some()
        || !changes.removed.is_empty()
        || changes.drains.contains_key(&req.host)
        || changes.evacuations.contains_key(&req.data_centre)
        || changes
            .services
            .iter()
            .any(|service| req.subset.contains(&service.name))
}
