//! The replicated state.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use types::{
    DataCentre, HostName, Revision, RoutingSet, Service, ServiceId, ServiceName, UnixMillis,
};

use super::{
    Changes, Delta, DrainMark, EvacuationMark, KeyRotationState, Object, VersionedObjects,
};
use crate::request::{AuditRecord, FirstAnswers, MAX_AUDIT_RECORDS};

/// The configuration after applying a prefix of the log.
///
/// Applying equal logs gives equal states with equal snapshots.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigState {
    /// Index of the last applied entry, including rejected changes.
    last_applied: Revision,
    /// Highest leader timestamp so far.
    log_time: UnixMillis,
    pub(crate) objects: VersionedObjects,
    pub(crate) first_answers: FirstAnswers,
    audit: VecDeque<AuditRecord>,
}

impl ConfigState {
    /// Revision of the last accepted change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.objects.revision()
    }

    /// Index of the last applied entry, including rejected changes.
    #[must_use]
    pub fn last_applied(&self) -> Revision {
        self.last_applied
    }

    /// Log time: the highest timestamp that a leader assigned to an applied entry.
    #[must_use]
    pub fn log_time(&self) -> UnixMillis {
        self.log_time
    }

    /// Services by id.
    #[must_use]
    pub fn services(&self) -> &BTreeMap<ServiceId, Service> {
        self.objects.services()
    }

    /// The service with the given name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.objects.service(name)
    }

    /// Key rotation state; `None` before the first key was added.
    #[must_use]
    pub fn keys(&self) -> Option<&KeyRotationState> {
        self.objects.keys()
    }

    /// The routing set in force; `None` before the first one was accepted.
    #[must_use]
    pub fn routes(&self) -> Option<&Arc<RoutingSet>> {
        self.objects.routes()
    }

    /// Drain marks by host. Cleared marks are included, with `drain` false,
    /// because the base of a later change must be their revision.
    #[must_use]
    pub fn drains(&self) -> &BTreeMap<HostName, DrainMark> {
        self.objects.drains()
    }

    /// Evacuation marks by data centre. Marks whose evacuation has ended are
    /// included, with `evacuated` false.
    #[must_use]
    pub fn evacuations(&self) -> &BTreeMap<DataCentre, EvacuationMark> {
        self.objects.evacuations()
    }

    /// The data centres that are evacuated.
    pub fn evacuated_data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        let evacuated = self.evacuations().iter().filter(|(_, mark)| mark.evacuated);
        evacuated.map(|(data_centre, _)| data_centre)
    }

    /// Revision of the last change of what [`types::PlacementPolicy`] is derived
    /// from: the evacuated data centres and the limits of the services in the
    /// routing set.
    #[must_use]
    pub fn placement_revision(&self) -> Revision {
        self.objects.placement_revision()
    }

    /// Records of the audit trail, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> + ExactSizeIterator {
        self.audit.iter()
    }

    /// Number of retained first answers.
    #[must_use]
    pub fn retained_answer_count(&self) -> usize {
        self.first_answers.len()
    }

    /// Changes for a reader that has revision `have`.
    ///
    /// The cost is proportional to the number of changes. A reader whose
    /// revision is higher than that of this state gets no changes: this member
    /// lags behind, and the reader must keep its revision.
    #[must_use]
    pub fn delta_since(&self, have: Revision) -> Delta {
        if have == Revision(0) || have < self.objects.compacted_revision() {
            return Delta::SnapshotNeeded;
        }
        let mut changes = Changes {
            revision: self.revision(),
            removed: self.objects.removed_after(have).collect(),
            ..Changes::default()
        };
        for object in self.objects.changed_after(have) {
            self.add_object(&mut changes, object);
        }
        Delta::Changes(changes)
    }

    /// The whole configuration, for a reader whose revision is missing or too
    /// old for a delta. It replaces the reader's copy.
    #[must_use]
    pub fn full_changes(&self) -> Changes {
        let drains = self.drains().iter().filter(|(_, mark)| mark.drain);
        Changes {
            revision: self.revision(),
            services: self.services().values().cloned().collect(),
            removed: Vec::new(),
            keys: self.keys().map(|keys| keys.set.clone()),
            drains: drains.map(|(host, _)| (host.clone(), true)).collect(),
            evacuations: self
                .evacuated_data_centres()
                .map(|data_centre| (data_centre.clone(), true))
                .collect(),
        }
    }

    fn add_object(&self, changes: &mut Changes, object: &Object) {
        match object {
            Object::Service(id) => changes.services.extend(self.services().get(id).cloned()),
            Object::Keys => changes.keys = self.keys().map(|keys| keys.set.clone()),
            Object::Drain(host) => {
                let drain = self.drains().get(host).is_some_and(|mark| mark.drain);
                changes.drains.insert(host.clone(), drain);
            }
            Object::Evacuation(data_centre) => {
                let mark = self.evacuations().get(data_centre);
                let evacuated = mark.is_some_and(|mark| mark.evacuated);
                changes.evacuations.insert(data_centre.clone(), evacuated);
            }
        }
    }

    /// Advances to the entry `index` with the timestamp `at` and removes the
    /// answers that expired.
    pub(crate) fn advance_to(&mut self, index: Revision, at: UnixMillis) {
        self.last_applied = index;
        self.log_time = self.log_time.max(at);
        self.first_answers.remove_expired(self.log_time);
    }

    /// Appends a record to the audit trail; the oldest one is dropped at
    /// [`MAX_AUDIT_RECORDS`].
    pub(crate) fn append_audit(&mut self, record: AuditRecord) {
        if self.audit.len() == MAX_AUDIT_RECORDS {
            self.audit.pop_front();
        }
        self.audit.push_back(record);
    }
}
