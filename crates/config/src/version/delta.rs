//! What changed between two revisions.

use std::collections::BTreeMap;

use types::{HostName, KeySet, Revision, Service, ServiceId};

/// Answer to a reader that has the configuration of some revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delta {
    /// What the reader lacks; empty if it lacks nothing.
    Changes(Changes),
    /// What was removed since is no longer known, or the reader has nothing
    /// yet: it needs everything.
    SnapshotNeeded,
}

/// Changed parts of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Changes {
    /// Revision that the reader has once the changes are made.
    pub revision: Revision,
    /// Services that were created or changed.
    pub services: Vec<Service>,
    /// Services that were removed; the reader may not know all of them.
    pub removed: Vec<ServiceId>,
    /// The keys, if they changed.
    pub keys: Option<KeySet>,
    /// Hosts whose drain mark was set (true) or taken back (false).
    pub drains: BTreeMap<HostName, bool>,
}

impl Changes {
    /// Whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
            && self.removed.is_empty()
            && self.keys.is_none()
            && self.drains.is_empty()
    }
}
