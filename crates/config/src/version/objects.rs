//! Types of the configured objects other than services.

use serde::{Deserialize, Serialize};
use types::{CidKey, KeySet, OperatorName, Revision, ServiceId, ServiceName, UnixMillis};

use crate::request::KEY_RETIREMENT_DELAY;

/// Drain setting of a host, as set by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainMark {
    /// Whether the upstream of the host is drained.
    pub drain: bool,
    /// Revision of the last change of the mark.
    pub revision: Revision,
    /// Operator who made that change.
    pub author: OperatorName,
}

/// Evacuation setting of a data centre, as set by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationMark {
    /// Whether the data centre is evacuated.
    pub evacuated: bool,
    /// Revision of the last accepted request, also if it repeated the state.
    pub revision: Revision,
    /// Operator who sent that request.
    pub author: OperatorName,
}

/// The keys for connection ids and the state of their rotation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRotationState {
    /// The valid keys.
    pub set: KeySet,
    /// Log time at which `set.current` became current.
    pub activated_at: UnixMillis,
    /// Revision of the last change of the keys.
    pub revision: Revision,
    /// Operator who made that change.
    pub author: OperatorName,
}

impl KeyRotationState {
    /// Returns the key that was added but not activated yet, if any. A superseded
    /// key is not pending.
    #[must_use]
    pub fn pending(&self) -> Option<&CidKey> {
        let next = self.set.current.generation.next();
        self.set.other.as_ref().filter(|k| k.generation == next)
    }

    /// Whether `key` may be added at log time `now`.
    ///
    /// It may replace a pending key at any time, because no connection id was
    /// issued with that key, but a superseded one only after
    /// [`KEY_RETIREMENT_DELAY`], when no flow uses its ids any more.
    pub(crate) fn may_add(&self, key: &CidKey, now: UnixMillis) -> bool {
        let superseded = self.set.other.is_some() && self.pending().is_none();
        let retired = now >= self.activated_at.saturating_add(KEY_RETIREMENT_DELAY);
        key.generation == self.set.current.generation.next() && (retired || !superseded)
    }
}

/// Tombstone of a removed service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServiceTombstone {
    pub(crate) id: ServiceId,
    pub(crate) name: ServiceName,
    /// Operator who removed the service.
    pub(crate) author: OperatorName,
}
