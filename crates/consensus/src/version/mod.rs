//! What changes with a version of the log: entries, groups and snapshots.

mod entry;
mod group;
mod log;
mod snapshot;

pub use entry::{EntryPayload, LogEntry, LogPosition};
pub use group::Group;
pub(crate) use log::{Log, next};
pub use snapshot::Snapshot;
