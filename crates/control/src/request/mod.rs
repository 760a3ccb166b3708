//! Requests that wait for a commit or a confirmed read.

use std::time::Instant;

use consensus::{GroupChange, Rejection};
use tokio::sync::oneshot;
use types::{Answer, ChangeRequest, Refusal};
use wire::{
    SyncReply, SyncRequest,
    request::{
        ChangeReply, GroupChangeRequest, GroupRefusal, GroupReply, GroupRequest, Query, QueryReply,
    },
};

/// A request that waits for a commit or a confirmed read.
#[derive(Debug)]
pub enum PendingRequest {
    /// A configuration change from an operator.
    Change(oneshot::Sender<ChangeReply>),
    /// A configuration change proposed by the leader itself; nobody waits for a
    /// reply.
    Internal,
    /// A membership change of the control group.
    Group(GroupChangeRequest, oneshot::Sender<GroupReply>),
    /// A query from an operator.
    Query(Query, oneshot::Sender<QueryReply>),
    /// Sync requests of nodes that are answered together after one confirmed
    /// read.
    Syncs(Vec<WaitingSync>),
}

/// A sync request that is held open until there is an update for the node or
/// its hold ends.
#[derive(Debug)]
pub struct WaitingSync {
    /// The request.
    pub req: SyncRequest,
    /// Receives the reply.
    pub tx: oneshot::Sender<SyncReply>,
    /// Deadline by which the request is answered even without an update.
    pub hold_deadline: Instant,
}

/// A configuration change as it is stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// Wall-clock time of the leader when it proposed the change.
    pub at: types::UnixMillis,
    /// The requested change.
    pub req: ChangeRequest,
}

/// Converts a membership request into the input of the consensus.
#[must_use]
pub fn group_change(req: GroupRequest) -> GroupChange {
    match req {
        GroupRequest::AddLearner(id, address) => GroupChange::AddLearner(id, address),
        GroupRequest::Promote(id) => GroupChange::Promote(id),
        GroupRequest::Remove(id) => GroupChange::Remove(id),
    }
}

impl PendingRequest {
    /// Replies that the request was rejected and has no effect.
    pub fn reject(self, reason: Rejection) {
        let leader = match reason {
            Rejection::NotLeader { leader } => leader.map(|(_, address)| address),
            _ => None,
        };
        let not_leader = matches!(reason, Rejection::NotLeader { .. });
        // The requester may have disconnected.
        match self {
            PendingRequest::Internal => {}
            PendingRequest::Change(tx) => drop(tx.send(match reason {
                Rejection::NotLeader { .. } => ChangeReply::NotLeader { leader },
                Rejection::TooLarge { bytes, limit } => {
                    ChangeReply::Final(Answer::Refused(Refusal::TooLarge { bytes, limit }))
                }
                _ => ChangeReply::Unavailable,
            })),
            PendingRequest::Group(_, tx) => drop(tx.send(match group_refusal(reason) {
                Some(refusal) => GroupReply::Refused(refusal),
                None => GroupReply::NotLeader { leader },
            })),
            PendingRequest::Query(_, tx) => drop(tx.send(QueryReply::NotLeader { leader })),
            PendingRequest::Syncs(waiters) => {
                for waiter in waiters {
                    let _ = waiter.tx.send(if not_leader {
                        SyncReply::NotLeader { leader }
                    } else {
                        SyncReply::Unconfirmed
                    });
                }
            }
        }
    }

    /// Replies that the outcome of the request is unknown.
    pub fn reply_unknown(self) {
        match self {
            PendingRequest::Change(tx) => drop(tx.send(ChangeReply::Unknown)),
            PendingRequest::Group(_, tx) => drop(tx.send(GroupReply::Unknown)),
            other => other.reject(Rejection::NotLeader { leader: None }),
        }
    }
}

/// Maps a rejection by the consensus to the refusal that is sent to the
/// operator. `None` if another host has to be asked.
pub(crate) fn group_refusal(reason: Rejection) -> Option<GroupRefusal> {
    match reason {
        // Not a rejection of a membership change.
        Rejection::NotLeader { .. } | Rejection::TooLarge { .. } => None,
        Rejection::DiskFailed => Some(GroupRefusal::DiskFailed),
        Rejection::LeaderNotReady | Rejection::ChangePending => Some(GroupRefusal::Busy),
        Rejection::NotCaughtUp => Some(GroupRefusal::NotCaughtUp),
        Rejection::AlreadyMember => Some(GroupRefusal::AlreadyMember),
        Rejection::NoSuchMember => Some(GroupRefusal::NoSuchMember),
        Rejection::LastVoter => Some(GroupRefusal::LastVoter),
    }
}
