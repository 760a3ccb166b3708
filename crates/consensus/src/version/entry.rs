//! Entries of the log.

use super::Group;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::{Revision, Term};

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Appended by each new leader, so that it commits an entry of its term.
    Noop,
    /// A change for the state machine.
    Command(Bytes),
    /// A new group, in force as soon as it is appended.
    Group(Group),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The log index; the first entry has index 1.
    pub index: Revision,
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// What the entry carries.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Index and term of the entry.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition {
            term: self.term,
            index: self.index,
        }
    }

    /// Approximate size of the entry in a message, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        const FRAME: usize = 24;
        const MEMBER: usize = 32;
        FRAME
            + match &self.payload {
                EntryPayload::Noop => 0,
                EntryPayload::Command(command) => command.len(),
                EntryPayload::Group(group) => MEMBER * (group.voters.len() + group.learners.len()),
            }
    }
}

/// A place in the log. The order tells which of two logs is more up to date:
/// first by term, then by index.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term of the entry at `index`.
    pub term: Term,
    /// The log index; 0 is the place before the first entry.
    pub index: Revision,
}
