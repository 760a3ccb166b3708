//! Messages between members.

use super::Transfer;
use crate::version::{LogEntry, LogPosition, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use types::{MemberId, Revision, Term};

/// A message and its destination address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The address of `message.to`.
    pub address: SocketAddr,
    /// The message.
    pub message: Message,
    /// Set if the message is large. Other messages fit in a datagram, apart from group
    /// changes of large groups.
    pub transfer: Option<Transfer>,
}

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// Address for the reply.
    pub from_address: SocketAddr,
    /// The recipient. Any other member replies to a request only with
    /// [`MessageBody::Replaced`], so a host that lost its disk never acts under its
    /// previous id.
    pub to: MemberId,
    /// The term of the sender.
    pub term: Term,
    /// The request or reply.
    pub body: MessageBody,
    /// The voters whose disks the sender knows to be lost. Members of earlier versions
    /// cannot decode a message in which this is not empty.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub lost_voters: BTreeSet<MemberId>,
}

/// The request or reply in a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote in the term after the sender's would be granted. Does
    /// not change the receiver's state.
    PreVote {
        /// The position of the last entry on the sender's disk.
        last_log_position: LogPosition,
    },
    /// Replies to [`MessageBody::PreVote`].
    PreVoteReply {
        /// The term in which the pre-vote was requested.
        request_term: Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Requests a vote in the message's term.
    Vote {
        /// The position of the last entry on the sender's disk.
        last_log_position: LogPosition,
    },
    /// Replies to [`MessageBody::Vote`].
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries, or a heartbeat if empty.
    Append {
        /// The position before the first entry.
        prev_log_position: LogPosition,
        /// Consecutive entries that are on the leader's disk.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        leader_commit: Revision,
        /// The latest heartbeat round that the leader has begun.
        round: u64,
    },
    /// A snapshot for a member that needs entries which are compacted.
    #[serde(rename = "Install")]
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The latest heartbeat round that the leader has begun.
        round: u64,
    },
    /// Replies to [`MessageBody::Append`] and [`MessageBody::InstallSnapshot`].
    AppendReply {
        /// The latest heartbeat round that the sender received in this term.
        round: u64,
        /// Whether the sender's disk accepts writes.
        disk_writable: bool,
        /// How the sender's log compares with the leader's.
        outcome: AppendOutcome,
    },
    /// Replies to a request for another member: that member's address now belongs to the
    /// sender, so that member's disk is lost. Since the request names the member, the
    /// sender's id is newer than the member's.
    Replaced {
        /// The member that the request was for.
        member: MemberId,
    },
}

impl MessageBody {
    /// Whether the message asks for a reply.
    pub(super) fn is_request(&self) -> bool {
        match self {
            MessageBody::PreVote { .. }
            | MessageBody::Vote { .. }
            | MessageBody::Append { .. }
            | MessageBody::InstallSnapshot { .. } => true,
            MessageBody::PreVoteReply { .. }
            | MessageBody::VoteReply { .. }
            | MessageBody::AppendReply { .. }
            | MessageBody::Replaced { .. } => false,
        }
    }
}

/// How a follower's log compares with the leader's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// All entries up to this index are on its disk and equal the leader's.
    Matched(Revision),
    /// Its log has no entry, or a different one, at the position before the sent
    /// entries. The leader continues after this index or an earlier one.
    Conflict(Revision),
    /// It has no group yet.
    Blank,
}
