//! Changes of the control group.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::MemberId;

/// Requested change of the control group, by one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupRequest {
    /// Adds a member that receives the log and does not vote.
    AddLearner(MemberId, SocketAddr),
    /// Makes a learner that has caught up a voter.
    Promote(MemberId),
    /// Removes a member.
    Remove(MemberId),
}

impl fmt::Display for GroupRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupRequest::AddLearner(id, address) => write!(f, "add learner {id} at {address}"),
            GroupRequest::Promote(id) => write!(f, "promote {id}"),
            GroupRequest::Remove(id) => write!(f, "remove {id}"),
        }
    }
}

/// Why a change of the group was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum GroupRefusal {
    /// Writes to the disk of the leader fail.
    #[error("the disk of the leader is full, read-only or failing")]
    DiskFailed,
    /// Another change of the group is in progress, or the leader is new.
    #[error("another group change is in progress, or the leader is new; try again")]
    Busy,
    /// The learner lacks committed entries or has not replied recently.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The member is already in the group.
    #[error("already a member of the group")]
    AlreadyMember,
    /// The group has no such member in the role that the change requires.
    #[error("no such member in the group")]
    NoSuchMember,
    /// The group must keep at least one voter.
    #[error("the last voter cannot be removed")]
    LastVoter,
}
