//! Data of a configuration version.

mod config_state;
mod delta;
mod objects;
mod snapshot;
mod versioned_objects;

pub use config_state::ConfigState;
pub use delta::{Changes, Delta};
pub(crate) use objects::ServiceTombstone;
pub use objects::{DrainMark, EvacuationMark, KeyRotationState};
pub use snapshot::SNAPSHOT_FORMAT;
pub(crate) use versioned_objects::{Object, VersionedObjects};

pub use versioned_objects::{MAX_EVACUATION_MARKS, MAX_TOMBSTONES};
