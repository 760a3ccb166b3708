//! Changes between two revisions.

use std::collections::BTreeMap;

use types::{DataCentre, HostName, KeySet, Revision, Service, ServiceId};

/// Difference between a revision that a reader has and the current one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delta {
    /// The changes since then; empty if the reader is up to date.
    Changes(Changes),
    /// The reader has no revision yet, or removals since its revision are no
    /// longer retained. It needs [`ConfigState::full_changes`].
    ///
    /// [`ConfigState::full_changes`]: crate::ConfigState::full_changes
    SnapshotNeeded,
}

/// Changed objects of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Changes {
    /// Revision of the reader after it applied the changes.
    pub revision: Revision,
    /// Services that were created or changed.
    pub services: Vec<Service>,
    /// Removed services, possibly including some that the reader never had.
    pub removed: Vec<ServiceId>,
    /// The keys, if they changed.
    pub keys: Option<KeySet>,
    /// Hosts whose drain mark was set (true) or cleared (false).
    pub drains: BTreeMap<HostName, bool>,
    /// Data centres whose evacuation was requested (true) or ended (false).
    pub evacuations: BTreeMap<DataCentre, bool>,
}

impl Changes {
    /// Whether no object changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
            && self.removed.is_empty()
            && self.keys.is_none()
            && self.drains.is_empty()
            && self.evacuations.is_empty()
    }
}
