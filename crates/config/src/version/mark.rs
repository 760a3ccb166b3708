//! Objects of the configuration besides the services.

use serde::{Deserialize, Serialize};
use types::{CidKey, KeySet, OperatorName, Revision, ServiceId, ServiceName, UnixMillis};

use crate::request::KEY_RETIREMENT_DELAY;

/// An operator's wish that the upstream of a host leaves or stays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainMark {
    /// Whether the upstream is to leave.
    pub drain: bool,
    /// Revision of the last change of the mark.
    pub revision: Revision,
    /// Operator who made it.
    pub author: OperatorName,
}

/// The keys and how far their rotation is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRotationState {
    /// The valid keys.
    pub set: KeySet,
    /// Time of the log since which `set.current` is in use.
    pub activated_at: UnixMillis,
    /// Revision of the last change of the keys.
    pub revision: Revision,
    /// Operator who made it.
    pub author: OperatorName,
}

impl KeyRotationState {
    /// The key that waits for its activation; a superseded one does not.
    #[must_use]
    pub fn pending(&self) -> Option<&CidKey> {
        let next = self.set.current.generation.next();
        self.set.other.as_ref().filter(|k| k.generation == next)
    }

    /// Whether `key` may be added at `now`.
    ///
    /// It may replace a pending key, whose ids nobody uses yet, at any time,
    /// but a superseded one only when no flow can carry its ids any more.
    pub(crate) fn accepts(&self, key: &CidKey, now: UnixMillis) -> bool {
        let superseded = self.set.other.is_some() && self.pending().is_none();
        let retired = now >= self.activated_at.saturating_add(KEY_RETIREMENT_DELAY);
        key.generation == self.set.current.generation.next() && (retired || !superseded)
    }
}

/// A service that was removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Removed {
    pub(crate) id: ServiceId,
    pub(crate) name: ServiceName,
    /// Operator who removed it.
    pub(crate) author: OperatorName,
}
