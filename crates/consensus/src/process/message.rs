//! Messages between members.

use crate::version::{LogEntry, LogPosition, Snapshot};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::{MemberId, Revision, Term};

/// A message and where to send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The address of `message.to`.
    pub address: SocketAddr,
    /// The message.
    pub message: Message,
}

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// Where the sender receives the answer.
    pub from_address: SocketAddr,
    /// The member that this is meant for; any other one ignores it, so a host
    /// that lost its disk never answers under its earlier id.
    pub to: MemberId,
    /// The term of the sender.
    pub term: Term,
    /// What is asked or answered.
    pub body: MessageBody,
}

/// What a message asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote in the term after the sender's would be granted.
    /// Changes nothing at the receiver.
    PreVote {
        /// The end of the sender's log on disk.
        last_log_position: LogPosition,
    },
    /// Answers [`MessageBody::PreVote`].
    PreVoteReply {
        /// The sender's term when it asked.
        request_term: Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the message's term.
    Vote {
        /// The end of the sender's log on disk.
        last_log_position: LogPosition,
    },
    /// Answers [`MessageBody::Vote`].
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries, or a heartbeat if empty.
    Append {
        /// The place before the first entry.
        prev_log_position: LogPosition,
        /// Consecutive entries, on the leader's disk.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        leader_commit: Revision,
        /// The latest round of heartbeats that the leader has begun.
        round: u64,
    },
    /// A snapshot for a member that lacks compacted entries.
    #[serde(rename = "Install")]
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The latest round of heartbeats that the leader has begun.
        round: u64,
    },
    /// Answers [`MessageBody::Append`] and [`MessageBody::InstallSnapshot`].
    AppendReply {
        /// The latest round that the sender received in this term.
        round: u64,
        /// Whether the sender's disk accepts writes.
        disk_writable: bool,
        /// What the sender holds.
        outcome: AppendOutcome,
    },
}

/// What a member holds of the leader's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// All entries up to here are on its disk and equal the leader's.
    Matched(Revision),
    /// Its log lacks or contradicts the place before the entries; the leader
    /// should go on after this index or an earlier one.
    Conflict(Revision),
    /// It knows no group yet.
    Blank,
}
