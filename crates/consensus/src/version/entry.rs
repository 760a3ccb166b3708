//! Log entries and their positions.

use super::Group;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::{Revision, Term};

/// Payload of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Appended by each new leader, so that it commits an entry of its term.
    Noop,
    /// A command for the state machine.
    Command(Bytes),
    /// A new group, effective as soon as it is appended.
    Group(Group),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The log index; the first entry has index 1.
    pub index: Revision,
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The content of the entry.
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

    /// Approximate encoded size of the entry, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        const ENTRY_OVERHEAD_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 32;
        ENTRY_OVERHEAD_BYTES
            + match &self.payload {
                EntryPayload::Noop => 0,
                EntryPayload::Command(command) => command.len(),
                EntryPayload::Group(group) => {
                    MEMBER_BYTES
                        * (group.voters.len() + group.learners.len() + group.outgoing.len())
                }
            }
    }
}

/// Term and index of a log entry. Ordered by term, then by index, which is how
/// Raft compares how up to date two logs are.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term of the entry at `index`.
    pub term: Term,
    /// The log index; 0 is the position before the first entry.
    pub index: Revision,
}
