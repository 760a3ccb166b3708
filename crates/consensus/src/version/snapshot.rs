//! Snapshots, which replace a prefix of the log.

use super::{Group, LogPosition};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The state machine's state after a prefix of the log.
///
/// The snapshot at index 0 holds the first group and an empty state: it is what [`Input::Bootstrap`](crate::Input::Bootstrap) writes, and the state machine
/// starts empty from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub position: LogPosition,
    /// The group in force at that entry.
    pub group: Group,
    /// The state, opaque to this crate.
    pub state: Bytes,
}
