//! What changes with a version of the configuration.

mod delta;
mod index;
mod mark;
mod snapshot;
mod state;

pub use delta::{Changes, Delta};
pub(crate) use index::{Object, Versions};
pub(crate) use mark::Removed;
pub use mark::{DrainMark, KeyRotationState};
pub use snapshot::SNAPSHOT_FORMAT;
pub use state::ConfigState;

pub use index::MAX_TOMBSTONES;
