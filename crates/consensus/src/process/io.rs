//! Inputs, outputs and disk writes.

use super::{Envelope, Message, TransferId};
use crate::request::{Completion, GroupChange, RequestToken};
use crate::version::{Group, LogEntry, Snapshot};
use bytes::Bytes;
use std::fmt;
use types::{MemberId, Revision, Term};

/// The state recovered from disk at startup. The default is a blank member.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RestoredState {
    /// The last term written.
    pub term: Term,
    /// The vote written with that term.
    pub vote: Option<MemberId>,
    /// The last snapshot written; `None` only in a member without a group.
    pub snapshot: Option<Snapshot>,
    /// The consecutive entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// An input event for [`Consensus::step`](super::Consensus::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A deadline was reached.
    Tick,
    /// A message arrived.
    Message(Message),
    /// The write is synced.
    WriteSynced(WriteId),
    /// The write failed; any part of it may be on disk.
    WriteFailed(WriteId),
    /// A [`Transfer`](super::Transfer) was delivered to the member's process, or was
    /// given up.
    TransferEnded {
        /// The transfer.
        id: TransferId,
        /// Whether the member's process has received it.
        delivered: bool,
    },
    /// Forms the first group. Every member must get the same group.
    Bootstrap(Group),
    /// Proposes a command.
    Propose {
        /// Identifies the proposal in its [`Completion`].
        token: RequestToken,
        /// The command.
        command: Bytes,
    },
    /// Proposes a group change.
    ChangeGroup {
        /// Identifies the change in its [`Completion`].
        token: RequestToken,
        /// The change.
        change: GroupChange,
    },
    /// Requests confirmation by a quorum that this member is still the leader.
    ConfirmRead {
        /// Identifies the read in its [`Completion`].
        token: RequestToken,
    },
    /// Replaces the log up to `through` by the state after it. Ignored if
    /// `through` was not yet returned as committed.
    Compact {
        /// Index of the last covered entry.
        through: Revision,
        /// The state after it.
        state: Bytes,
    },
}

/// Actions to carry out, in the order of the fields.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Output {
    /// A write for the disk. No other one is issued before its result.
    pub write: Option<DiskWrite>,
    /// Messages to send now. Any of them may be lost.
    pub messages: Vec<Envelope>,
    /// A snapshot that replaces the state of the state machine.
    pub installed_snapshot: Option<Snapshot>,
    /// Committed entries in log order, each returned once per process.
    pub committed_entries: Vec<LogEntry>,
    /// Results of proposals, group changes and reads.
    pub completions: Vec<Completion>,
}

/// Identifies a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A write, applied in the order of the fields and reported as one. Entries from
/// `truncate_from` on are removed before the snapshot is put in place, so that
/// entries that contradict the snapshot never follow it on disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiskWrite {
    /// Identifies the write in its result.
    pub id: WriteId,
    /// Term and vote, if they changed.
    pub term_and_vote: Option<(Term, Option<MemberId>)>,
    /// Entries from this index on are removed before `entries` are appended.
    pub truncate_from: Option<Revision>,
    /// A snapshot that replaces the log up to its index.
    pub snapshot: Option<Snapshot>,
    /// Consecutive entries; the first has index `truncate_from`.
    pub entries: Vec<LogEntry>,
}
