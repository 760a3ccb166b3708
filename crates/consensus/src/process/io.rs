//! Inputs, outputs and disk writes.

use super::{Envelope, Message};
use crate::request::{Completion, GroupChange, RequestToken};
use crate::version::{Group, LogEntry, Snapshot};
use bytes::Bytes;
use std::fmt;
use types::{MemberId, Revision, Term};

/// What a member has on disk when it starts. The default is a blank member.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RestoredState {
    /// The last term written.
    pub term: Term,
    /// The vote written with that term.
    pub vote: Option<MemberId>,
    /// The last snapshot written; `None` only in a member that knows no group.
    pub snapshot: Option<Snapshot>,
    /// The consecutive entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A deadline was reached.
    Tick,
    /// A message arrived.
    Message(Message),
    /// The write is synced.
    WriteSynced(WriteId),
    /// The write failed as a whole or in part: any part of it may be on disk.
    WriteFailed(WriteId),
    /// Forms the first group. Every member of it must get the same group.
    Bootstrap(Group),
    /// Proposes a command.
    Propose {
        /// Names the proposal in its [`Completion`].
        token: RequestToken,
        /// The command.
        command: Bytes,
    },
    /// Proposes a group change.
    ChangeGroup {
        /// Names the change in its [`Completion`].
        token: RequestToken,
        /// The change.
        change: GroupChange,
    },
    /// Asks whether this member still leads.
    ConfirmRead {
        /// Names the read in its [`Completion`].
        token: RequestToken,
    },
    /// Replaces the log up to `through`, which must have been handed out as
    /// committed, by the state after it. Ignored if it is not.
    Compact {
        /// The last entry covered.
        through: Revision,
        /// The state after it.
        state: Bytes,
    },
}

/// What to do, in the order of the fields.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Output {
    /// A write for the disk. The next one comes only after the result of this.
    pub write: Option<DiskWrite>,
    /// Messages to send now. Any of them may be lost.
    pub messages: Vec<Envelope>,
    /// A state to load in place of the present one.
    pub installed_snapshot: Option<Snapshot>,
    /// Committed entries in log order, each handed out once per process.
    pub committed_entries: Vec<LogEntry>,
    /// Answers.
    pub completions: Vec<Completion>,
}

/// Names a write towards the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What must be synced, as one report, in the order of the fields. A write that
/// holds a snapshot drops entries from `from` on before the snapshot is put in
/// place, so that entries that contradict the snapshot never follow it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiskWrite {
    /// Names the write in its result.
    pub id: WriteId,
    /// Term and vote, if they changed.
    pub term_and_vote: Option<(Term, Option<MemberId>)>,
    /// Entries from this index on are dropped before `entries` are appended.
    pub truncate_from: Option<Revision>,
    /// A snapshot that replaces the log up to its index.
    pub snapshot: Option<Snapshot>,
    /// Consecutive entries; the first has index `from`.
    pub entries: Vec<LogEntry>,
}
