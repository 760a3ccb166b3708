//! The configured objects with their indexes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize, Serializer};
use types::{DataCentre, HostName, Revision, RoutingSet, Service, ServiceId, ServiceName};

use super::objects::{DrainMark, EvacuationMark, KeyRotationState, ServiceTombstone};

/// Number of removed services, and separately of cleared drain marks, that are
/// retained. A reader that missed a removal that was dropped gets a snapshot.
pub const MAX_TOMBSTONES: usize = 10_000;

/// Number of evacuation marks that are retained, and so of data centres that can be
/// evacuated. Three times the data centres of the largest expected deployment, and
/// their names still fit a datagram to a node.
pub const MAX_EVACUATION_MARKS: usize = 64;

/// Object whose last change is at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Object {
    Service(ServiceId),
    Drain(HostName),
    Evacuation(DataCentre),
    Keys,
}

/// The configured objects and the indexes that are derived from them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(from = "StoredObjects")]
pub(crate) struct VersionedObjects {
    objects: StoredObjects,
    ids_by_name: BTreeMap<ServiceName, ServiceId>,
    ids_by_address: BTreeMap<SocketAddr, ServiceId>,
    /// Each service, each mark and the keys, by revision of the last change.
    by_revision: BTreeMap<Revision, Object>,
    /// Revisions of the cleared drain marks.
    cleared_drains: BTreeSet<Revision>,
    /// Revision of the last retained removal of each name that no service has now.
    tombstones_by_name: BTreeMap<ServiceName, Revision>,
}

/// The part of [`VersionedObjects`] that is stored; the indexes are rebuilt from
/// it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
struct StoredObjects {
    /// Id of the next service; higher than every id assigned so far.
    next_service_id: ServiceId,
    /// Revision of the last accepted change.
    revision: Revision,
    /// Highest revision whose tombstone or cleared drain mark was dropped. No
    /// delta can be given to a reader of a lower revision.
    compacted_revision: Revision,
    services: BTreeMap<ServiceId, Service>,
    tombstones: BTreeMap<Revision, ServiceTombstone>,
    drains: BTreeMap<HostName, DrainMark>,
    keys: Option<KeyRotationState>,
    /// The accepted routing set with the highest number.
    routes: Option<Arc<RoutingSet>>,
    /// Absent from snapshots of earlier versions, and left out while nothing is set,
    /// so that earlier versions can still read the snapshot. It must stay the last
    /// field, because snapshots have no field names.
    #[serde(default, skip_serializing_if = "PlacementObjects::is_default")]
    placement: PlacementObjects,
}

/// What restricts the placement of new flows.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
struct PlacementObjects {
    evacuations: BTreeMap<DataCentre, EvacuationMark>,
    /// Revision of the last change of the evacuated data centres or of the limits of
    /// services.
    revision: Revision,
}

impl PlacementObjects {
    fn is_default(&self) -> bool {
        *self == PlacementObjects::default()
    }
}

impl From<StoredObjects> for VersionedObjects {
    fn from(objects: StoredObjects) -> Self {
        let mut versioned = VersionedObjects::default();
        for service in objects.services.values() {
            versioned.index_service(service);
        }
        for (host, mark) in &objects.drains {
            versioned.index_drain(host, mark);
        }
        for (data_centre, mark) in &objects.placement.evacuations {
            versioned.index_evacuation(data_centre, mark);
        }
        if let Some(keys) = &objects.keys {
            versioned.by_revision.insert(keys.revision, Object::Keys);
        }
        for (revision, tombstone) in &objects.tombstones {
            if !versioned.ids_by_name.contains_key(&tombstone.name) {
                versioned
                    .tombstones_by_name
                    .insert(tombstone.name.clone(), *revision);
            }
        }
        VersionedObjects {
            objects,
            ..versioned
        }
    }
}

impl Serialize for VersionedObjects {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        self.objects.serialize(ser)
    }
}

impl VersionedObjects {
    pub(crate) fn revision(&self) -> Revision {
        self.objects.revision
    }

    pub(crate) fn compacted_revision(&self) -> Revision {
        self.objects.compacted_revision
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

    /// Replaces the routing set at `revision`. It does not count as a change of the
    /// objects, because nodes compare its own number.
    pub(crate) fn put_routes(&mut self, set: Arc<RoutingSet>, revision: Revision) {
        let limits = self.objects.routes.as_ref().map(|set| &set.services);
        if !limits.map_or(set.services.is_empty(), |limits| *limits == set.services) {
            self.objects.placement.revision = revision;
        }
        self.objects.routes = Some(set);
    }

    pub(crate) fn evacuations(&self) -> &BTreeMap<DataCentre, EvacuationMark> {
        &self.objects.placement.evacuations
    }

    pub(crate) fn placement_revision(&self) -> Revision {
        self.objects.placement.revision
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.objects.services.get(self.ids_by_name.get(name)?)
    }

    pub(crate) fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.objects
            .services
            .get(self.ids_by_address.get(&address)?)
    }

    pub(crate) fn drain_mark(&self, host: &HostName) -> Option<&DrainMark> {
        self.objects.drains.get(host)
    }

    /// The last retained removal of a service of this name, if no service has the
    /// name now.
    pub(crate) fn tombstone(&self, name: &ServiceName) -> Option<(Revision, &ServiceTombstone)> {
        let revision = *self.tombstones_by_name.get(name)?;
        Some((revision, self.objects.tombstones.get(&revision)?))
    }

    /// Objects whose last change is after revision `have`.
    pub(crate) fn changed_after(&self, have: Revision) -> impl Iterator<Item = &Object> {
        self.by_revision
            .range(Revision(have.0 + 1)..)
            .map(|(_, o)| o)
    }

    /// Services removed after revision `have`.
    pub(crate) fn removed_after(&self, have: Revision) -> impl Iterator<Item = ServiceId> + '_ {
        let after = Revision(have.0 + 1)..;
        self.objects.tombstones.range(after).map(|(_, r)| r.id)
    }

    /// Returns an id that no service ever had.
    pub(crate) fn allocate_service_id(&mut self) -> ServiceId {
        let id = self.objects.next_service_id;
        self.objects.next_service_id = ServiceId(id.0 + 1);
        id
    }

    /// Inserts or replaces a service at the revision in it.
    pub(crate) fn put_service(&mut self, service: Service) {
        self.objects.revision = service.revision;
        self.tombstones_by_name.remove(&service.name);
        if let Some(previous) = self.objects.services.get(&service.id) {
            self.by_revision.remove(&previous.revision);
        }
        self.index_service(&service);
        self.objects.services.insert(service.id, service);
    }

    fn index_service(&mut self, service: &Service) {
        self.ids_by_name.insert(service.name.clone(), service.id);
        self.ids_by_address.insert(service.address, service.id);
        self.by_revision
            .insert(service.revision, Object::Service(service.id));
    }

    /// Removes a service at `revision`.
    pub(crate) fn remove_service(
        &mut self,
        service: &Service,
        revision: Revision,
        tombstone: ServiceTombstone,
    ) {
        self.objects.revision = revision;
        self.objects.services.remove(&service.id);
        self.ids_by_name.remove(&service.name);
        self.ids_by_address.remove(&service.address);
        self.by_revision.remove(&service.revision);
        self.tombstones_by_name
            .insert(tombstone.name.clone(), revision);
        self.objects.tombstones.insert(revision, tombstone);
        if self.objects.tombstones.len() > MAX_TOMBSTONES {
            self.drop_oldest_tombstone();
        }
    }

    fn drop_oldest_tombstone(&mut self) {
        if let Some((revision, tombstone)) = self.objects.tombstones.pop_first() {
            self.raise_compacted_revision(revision);
            if self.tombstones_by_name.get(&tombstone.name) == Some(&revision) {
                self.tombstones_by_name.remove(&tombstone.name);
            }
        }
    }

    /// Inserts or replaces a drain mark at the revision in it.
    ///
    /// A cleared mark is retained with its revision, so that a change based on
    /// an earlier state still conflicts.
    pub(crate) fn put_drain(&mut self, host: HostName, mark: DrainMark) {
        self.objects.revision = mark.revision;
        if let Some(previous) = self.objects.drains.get(&host) {
            self.by_revision.remove(&previous.revision);
            self.cleared_drains.remove(&previous.revision);
        }
        self.index_drain(&host, &mark);
        self.objects.drains.insert(host, mark);
        if self.cleared_drains.len() > MAX_TOMBSTONES {
            self.drop_oldest_cleared_drain();
        }
    }

    fn index_drain(&mut self, host: &HostName, mark: &DrainMark) {
        let object = Object::Drain(host.clone());
        self.by_revision.insert(mark.revision, object);
        if !mark.drain {
            self.cleared_drains.insert(mark.revision);
        }
    }

    fn drop_oldest_cleared_drain(&mut self) {
        let Some(revision) = self.cleared_drains.pop_first() else {
            return;
        };
        if let Some(Object::Drain(host)) = self.by_revision.remove(&revision) {
            self.objects.drains.remove(&host);
            self.raise_compacted_revision(revision);
        }
    }

    /// Inserts or replaces an evacuation mark at the revision in it. If there are too
    /// many marks, the oldest one whose evacuation has ended is dropped; if there is
    /// none, returns `false` and changes nothing.
    pub(crate) fn put_evacuation(&mut self, data_centre: DataCentre, mark: EvacuationMark) -> bool {
        let previous = self.evacuations().get(&data_centre).cloned();
        if let Some(previous) = &previous {
            self.by_revision.remove(&previous.revision);
        } else if self.evacuations().len() >= MAX_EVACUATION_MARKS && !self.drop_ended_evacuation()
        {
            return false;
        }
        if previous.is_some_and(|mark| mark.evacuated) != mark.evacuated {
            self.objects.placement.revision = mark.revision;
        }
        self.objects.revision = mark.revision;
        self.index_evacuation(&data_centre, &mark);
        self.objects.placement.evacuations.insert(data_centre, mark);
        true
    }

    /// Drops the oldest mark whose evacuation has ended, if there is one.
    fn drop_ended_evacuation(&mut self) -> bool {
        let ended = self.evacuations().iter();
        let ended = ended.filter(|(_, mark)| !mark.evacuated);
        let oldest = ended.min_by_key(|(_, mark)| mark.revision);
        let Some((oldest, revision)) = oldest.map(|(name, mark)| (name.clone(), mark.revision))
        else {
            return false;
        };
        self.objects.placement.evacuations.remove(&oldest);
        self.by_revision.remove(&revision);
        self.raise_compacted_revision(revision);
        true
    }

    fn index_evacuation(&mut self, data_centre: &DataCentre, mark: &EvacuationMark) {
        let object = Object::Evacuation(data_centre.clone());
        self.by_revision.insert(mark.revision, object);
    }

    fn raise_compacted_revision(&mut self, revision: Revision) {
        self.objects.compacted_revision = self.objects.compacted_revision.max(revision);
    }

    /// Replaces the keys at the revision in them.
    pub(crate) fn put_keys(&mut self, keys: KeyRotationState) {
        self.objects.revision = keys.revision;
        if let Some(previous) = &self.objects.keys {
            self.by_revision.remove(&previous.revision);
        }
        self.by_revision.insert(keys.revision, Object::Keys);
        self.objects.keys = Some(keys);
    }
}
