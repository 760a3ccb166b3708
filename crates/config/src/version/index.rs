//! The configured objects with the indexes by which they are found.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize, Serializer};
use types::{HostName, Revision, RoutingSet, Service, ServiceId, ServiceName};

use super::mark::{DrainMark, KeyRotationState, Removed};

/// Number of removed services, and of drain marks taken back, that are
/// remembered. A reader that missed more removals gets a snapshot.
pub const MAX_TOMBSTONES: usize = 10_000;

/// What was last changed at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Object {
    Service(ServiceId),
    Drain(HostName),
    Keys,
}

/// The configured objects.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(from = "Objects")]
pub(crate) struct Versions {
    objects: Objects,
    by_name: BTreeMap<ServiceName, ServiceId>,
    by_address: BTreeMap<SocketAddr, ServiceId>,
    /// One entry for each service, drain mark and the keys, at its revision.
    changed: BTreeMap<Revision, Object>,
    /// Revisions of the drain marks that were taken back.
    cleared: BTreeSet<Revision>,
    /// Last remembered removal of each name that no service has now.
    removed_names: BTreeMap<ServiceName, Revision>,
}

/// The part of [`Versions`] from which the rest follows.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
struct Objects {
    /// Id of the next service; above every id ever used.
    next_id: ServiceId,
    /// Revision of the last change.
    revision: Revision,
    /// Last revision whose removals are forgotten.
    floor: Revision,
    services: BTreeMap<ServiceId, Service>,
    removed: BTreeMap<Revision, Removed>,
    drains: BTreeMap<HostName, DrainMark>,
    keys: Option<KeyRotationState>,
    /// The routing set with the highest number that was accepted.
    routes: Option<Arc<RoutingSet>>,
}

impl From<Objects> for Versions {
    fn from(objects: Objects) -> Self {
        let mut versions = Versions::default();
        for service in objects.services.values() {
            versions.index_service(service);
        }
        for (host, mark) in &objects.drains {
            versions.index_drain(host, mark);
        }
        if let Some(keys) = &objects.keys {
            versions.changed.insert(keys.revision, Object::Keys);
        }
        for (revision, removed) in &objects.removed {
            if !versions.by_name.contains_key(&removed.name) {
                versions
                    .removed_names
                    .insert(removed.name.clone(), *revision);
            }
        }
        Versions {
            objects,
            ..versions
        }
    }
}

impl Serialize for Versions {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        self.objects.serialize(ser)
    }
}

impl Versions {
    pub(crate) fn revision(&self) -> Revision {
        self.objects.revision
    }

    pub(crate) fn floor(&self) -> Revision {
        self.objects.floor
    }

    pub(crate) fn services(&self) -> &BTreeMap<ServiceId, Service> {
        &self.objects.services
    }

    pub(crate) fn drains(&self) -> &BTreeMap<HostName, DrainMark> {
        &self.objects.drains
    }

    pub(crate) fn keys(&self) -> Option<&KeyRotationState> {
        self.objects.keys.as_ref()
    }

    pub(crate) fn routes(&self) -> Option<&Arc<RoutingSet>> {
        self.objects.routes.as_ref()
    }

    /// Replaces the routing set. It is no object with a revision: nodes follow
    /// its own number.
    pub(crate) fn put_routes(&mut self, set: RoutingSet) {
        self.objects.routes = Some(Arc::new(set));
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.objects.services.get(self.by_name.get(name)?)
    }

    pub(crate) fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.objects.services.get(self.by_address.get(&address)?)
    }

    pub(crate) fn drain_mark(&self, host: &HostName) -> Option<&DrainMark> {
        self.objects.drains.get(host)
    }

    /// The last remembered removal of a service of this name.
    pub(crate) fn removal(&self, name: &ServiceName) -> Option<(Revision, &Removed)> {
        let revision = *self.removed_names.get(name)?;
        Some((revision, self.objects.removed.get(&revision)?))
    }

    /// Objects that were last changed after `have`.
    pub(crate) fn changed_after(&self, have: Revision) -> impl Iterator<Item = &Object> {
        self.changed.range(Revision(have.0 + 1)..).map(|(_, o)| o)
    }

    /// Services that were removed after `have`.
    pub(crate) fn removed_after(&self, have: Revision) -> impl Iterator<Item = ServiceId> + '_ {
        let after = Revision(have.0 + 1)..;
        self.objects.removed.range(after).map(|(_, r)| r.id)
    }

    /// An id that no service ever had.
    pub(crate) fn new_id(&mut self) -> ServiceId {
        let id = self.objects.next_id;
        self.objects.next_id = ServiceId(id.0 + 1);
        id
    }

    /// Creates or replaces a service at its revision.
    pub(crate) fn put_service(&mut self, service: Service) {
        self.objects.revision = service.revision;
        self.removed_names.remove(&service.name);
        if let Some(former) = self.objects.services.get(&service.id) {
            self.changed.remove(&former.revision);
        }
        self.index_service(&service);
        self.objects.services.insert(service.id, service);
    }

    fn index_service(&mut self, service: &Service) {
        self.by_name.insert(service.name.clone(), service.id);
        self.by_address.insert(service.address, service.id);
        self.changed
            .insert(service.revision, Object::Service(service.id));
    }

    /// Removes a service at `revision`.
    pub(crate) fn remove_service(&mut self, service: &Service, revision: Revision, by: Removed) {
        self.objects.revision = revision;
        self.objects.services.remove(&service.id);
        self.by_name.remove(&service.name);
        self.by_address.remove(&service.address);
        self.changed.remove(&service.revision);
        self.removed_names.insert(by.name.clone(), revision);
        self.objects.removed.insert(revision, by);
        if self.objects.removed.len() > MAX_TOMBSTONES {
            self.forget_removal();
        }
    }

    fn forget_removal(&mut self) {
        if let Some((revision, removed)) = self.objects.removed.pop_first() {
            self.raise_floor(revision);
            if self.removed_names.get(&removed.name) == Some(&revision) {
                self.removed_names.remove(&removed.name);
            }
        }
    }

    /// Sets a drain mark at its revision.
    ///
    /// A mark that was taken back stays known with its revision, so that a
    /// change based on a state before it still conflicts.
    pub(crate) fn put_drain(&mut self, host: HostName, mark: DrainMark) {
        self.objects.revision = mark.revision;
        if let Some(former) = self.objects.drains.get(&host) {
            self.changed.remove(&former.revision);
            self.cleared.remove(&former.revision);
        }
        self.index_drain(&host, &mark);
        self.objects.drains.insert(host, mark);
        if self.cleared.len() > MAX_TOMBSTONES {
            self.forget_cleared();
        }
    }

    fn index_drain(&mut self, host: &HostName, mark: &DrainMark) {
        let object = Object::Drain(host.clone());
        self.changed.insert(mark.revision, object);
        if !mark.drain {
            self.cleared.insert(mark.revision);
        }
    }

    fn forget_cleared(&mut self) {
        let Some(revision) = self.cleared.pop_first() else {
            return;
        };
        if let Some(Object::Drain(host)) = self.changed.remove(&revision) {
            self.objects.drains.remove(&host);
            self.raise_floor(revision);
        }
    }

    fn raise_floor(&mut self, revision: Revision) {
        self.objects.floor = self.objects.floor.max(revision);
    }

    /// Sets the keys at their revision.
    pub(crate) fn put_keys(&mut self, keys: KeyRotationState) {
        self.objects.revision = keys.revision;
        if let Some(former) = &self.objects.keys {
            self.changed.remove(&former.revision);
        }
        self.changed.insert(keys.revision, Object::Keys);
        self.objects.keys = Some(keys);
    }
}
