//! The state that the log drives.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use types::{HostName, Revision, RoutingSet, Service, ServiceId, ServiceName, UnixMillis};

use super::{Changes, Delta, DrainMark, KeyRotationState, Object, Versions};
use crate::request::{Answers, AuditRecord, MAX_AUDIT_RECORDS};

/// The configuration after some entry of the log.
///
/// Equal logs give equal states with equal snapshots.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigState {
    /// Last entry that was applied, whatever its answer.
    last_applied: Revision,
    /// Latest stamp of a leader so far.
    log_time: UnixMillis,
    pub(crate) versions: Versions,
    pub(crate) answers: Answers,
    audit: VecDeque<AuditRecord>,
}

impl ConfigState {
    /// Revision of the last accepted change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.versions.revision()
    }

    /// Index of the last entry that was applied, whatever its answer.
    #[must_use]
    pub fn last_applied(&self) -> Revision {
        self.last_applied
    }

    /// Time of the log: the latest stamp so far.
    #[must_use]
    pub fn log_time(&self) -> UnixMillis {
        self.log_time
    }

    /// Every service by its id.
    #[must_use]
    pub fn services(&self) -> &BTreeMap<ServiceId, Service> {
        self.versions.services()
    }

    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.versions.service(name)
    }

    /// The keys for connection ids; `None` before the first was added.
    #[must_use]
    pub fn keys(&self) -> Option<&KeyRotationState> {
        self.versions.keys()
    }

    /// The routing set in force; `None` before the first one was accepted.
    #[must_use]
    pub fn routes(&self) -> Option<&Arc<RoutingSet>> {
        self.versions.routes()
    }

    /// Drain marks by host. Marks that were taken back are included, with
    /// `drain` false, because a later change must name their revision.
    #[must_use]
    pub fn drains(&self) -> &BTreeMap<HostName, DrainMark> {
        self.versions.drains()
    }

    /// The audit trail, the oldest record first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> + ExactSizeIterator {
        self.audit.iter()
    }

    /// Number of first answers that are kept.
    #[must_use]
    pub fn retained_answer_count(&self) -> usize {
        self.answers.len()
    }

    /// What a reader of revision `have` lacks.
    ///
    /// The cost is in proportion to what changed. A reader that has more than
    /// this state gets no changes: this member is behind, and the reader must
    /// keep what it has.
    #[must_use]
    pub fn delta_since(&self, have: Revision) -> Delta {
        if have == Revision(0) || have < self.versions.floor() {
            return Delta::SnapshotNeeded;
        }
        let mut changes = Changes {
            revision: self.revision(),
            removed: self.versions.removed_after(have).collect(),
            ..Changes::default()
        };
        for object in self.versions.changed_after(have) {
            self.add_object(&mut changes, object);
        }
        Delta::Changes(changes)
    }

    /// Everything that a reader needs that has nothing or too old a revision.
    /// It replaces what the reader has.
    #[must_use]
    pub fn full_changes(&self) -> Changes {
        let drains = self.drains().iter().filter(|(_, mark)| mark.drain);
        Changes {
            revision: self.revision(),
            services: self.services().values().cloned().collect(),
            removed: Vec::new(),
            keys: self.keys().map(|keys| keys.set.clone()),
            drains: drains.map(|(host, _)| (host.clone(), true)).collect(),
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
        }
    }

    /// Moves on to the entry `index` with the stamp `at`.
    pub(crate) fn advance(&mut self, index: Revision, at: UnixMillis) {
        self.last_applied = index;
        self.log_time = self.log_time.max(at);
        self.answers.expire(self.log_time);
    }

    /// Adds a record to the audit trail.
    pub(crate) fn record(&mut self, record: AuditRecord) {
        if self.audit.len() == MAX_AUDIT_RECORDS {
            self.audit.pop_front();
        }
        self.audit.push_back(record);
    }
}
