//! The log and its versioned contents: entries, groups and snapshots.

mod entry;
mod group;
mod log;
mod snapshot;

pub use entry::{EntryPayload, LogEntry, LogPosition};
pub use group::Group;
pub(crate) use group::Votes;
pub(crate) use log::{Log, index_after};
pub use snapshot::Snapshot;
