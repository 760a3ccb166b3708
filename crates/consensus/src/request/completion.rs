//! Results of proposals, group changes and reads.

use std::fmt;
use std::net::SocketAddr;
use types::{MemberId, Revision};

/// Identifies a proposal, group change or read; chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken(pub u64);

impl fmt::Display for RequestToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The result of a proposal, group change or read. Exactly one is emitted per
/// token, unless the process ends first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// The entry is committed at `index`; it is in [`committed_entries`] of this output
    /// or of an earlier one.
    ///
    /// [`committed_entries`]: crate::Output::committed_entries
    Accepted {
        /// The proposal or group change.
        token: RequestToken,
        /// Log index of its entry.
        index: Revision,
    },
    /// Not accepted; it will never take effect.
    Rejected {
        /// The proposal, group change or read.
        token: RequestToken,
        /// Reason for the rejection.
        reason: Rejection,
    },
    /// Leadership ended before the commit: the outcome is unknown.
    OutcomeUnknown {
        /// The proposal or group change.
        token: RequestToken,
    },
    /// A quorum confirmed this leader after the read was requested: reading the
    /// state at `index` is linearizable. All entries up to `index` have been
    /// returned as committed.
    ReadConfirmed {
        /// The read.
        token: RequestToken,
        /// The commit index.
        index: Revision,
    },
}

/// Reason why a proposal, group change or read was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// Another member is the leader, or there is none.
    #[error("this member is not the leader")]
    NotLeader {
        /// The leader and its address, if known.
        leader: Option<(MemberId, SocketAddr)>,
    },
    /// The last write to the leader's disk failed.
    #[error("the disk of the leader is full, read-only or failing")]
    DiskFailed,
    /// The command exceeds [`Settings::max_command_bytes`](crate::Settings::max_command_bytes).
    #[error("the command has {bytes} bytes; at most {limit} are allowed")]
    TooLarge {
        /// Size of the command.
        bytes: usize,
        /// The largest allowed size.
        limit: usize,
    },
    /// The leader has not yet committed an entry of its own term.
    #[error("the new leader has not yet committed an entry")]
    LeaderNotReady,
    /// Another group change is not committed yet.
    #[error("another group change is in progress")]
    ChangePending,
    /// The learner lacks committed entries or has not replied
    /// within an election timeout.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The member to be added is already in the group.
    #[error("already a member of the group")]
    AlreadyMember,
    /// The member to be promoted is not a learner, or the one to be removed is
    /// not in the group.
    #[error("no such member in the group")]
    NoSuchMember,
    /// The group must keep at least one voter.
    #[error("the last voter cannot be removed")]
    LastVoter,
}
