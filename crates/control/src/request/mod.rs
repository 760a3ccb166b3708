//! Requests that wait for the group.

use std::time::Instant;

use consensus::{GroupChange, Rejection};
use tokio::sync::oneshot;
use types::ChangeRequest;
use wire::{
    SyncReply, SyncRequest,
    request::{
        ChangeReply, GroupChangeRequest, GroupRefusal, GroupReply, GroupRequest, Query, QueryReply,
    },
};

/// A request that waits for a commit or a confirmed read.
#[derive(Debug)]
pub enum PendingRequest {
    /// An operator's change.
    Change(oneshot::Sender<ChangeReply>),
    /// A change that the leader itself proposed.
    Internal,
    /// A change of the group.
    Group(GroupChangeRequest, oneshot::Sender<GroupReply>),
    /// An operator's query.
    Query(Query, oneshot::Sender<QueryReply>),
    /// Requests of nodes to be brought up to date.
    Syncs(Vec<WaitingSync>),
}

/// A node that waits for something newer.
#[derive(Debug)]
pub struct WaitingSync {
    /// What the node asked.
    pub req: SyncRequest,
    /// Where the reply goes.
    pub tx: oneshot::Sender<SyncReply>,
    /// When it is answered in any case.
    pub until: Instant,
}

/// An operator's change in the log.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// The leader's clock when it proposed the change.
    pub at: types::UnixMillis,
    /// The change.
    pub req: ChangeRequest,
}

/// The change of the group that a request asks for.
#[must_use]
pub fn group_change(req: GroupRequest) -> GroupChange {
    match req {
        GroupRequest::AddLearner(id, address) => GroupChange::AddLearner(id, address),
        GroupRequest::Promote(id) => GroupChange::Promote(id),
        GroupRequest::Remove(id) => GroupChange::Remove(id),
    }
}

impl PendingRequest {
    /// Answers a request that was rejected and will have no effect.
    pub fn reject(self, reason: Rejection) {
        let leader = match reason {
            Rejection::NotLeader { leader } => leader.map(|(_, address)| address),
            _ => None,
        };
        let not_leader = matches!(reason, Rejection::NotLeader { .. });
        // Whoever asked may be gone.
        match self {
            PendingRequest::Internal => {}
            PendingRequest::Change(tx) => drop(tx.send(if not_leader {
                ChangeReply::NotLeader { leader }
            } else {
                ChangeReply::Unavailable
            })),
            PendingRequest::Group(_, tx) => drop(tx.send(match refusal(reason) {
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

    /// Answers a request whose outcome is unknown.
    pub fn reply_unknown(self) {
        match self {
            PendingRequest::Change(tx) => drop(tx.send(ChangeReply::Unknown)),
            PendingRequest::Group(_, tx) => drop(tx.send(GroupReply::Unknown)),
            other => other.reject(Rejection::NotLeader { leader: None }),
        }
    }
}

pub(crate) fn refusal(reason: Rejection) -> Option<GroupRefusal> {
    match reason {
        Rejection::NotLeader { .. } => None,
        Rejection::DiskFailed => Some(GroupRefusal::DiskFailed),
        Rejection::LeaderNotReady | Rejection::ChangePending => Some(GroupRefusal::Busy),
        Rejection::NotCaughtUp => Some(GroupRefusal::NotCaughtUp),
        Rejection::AlreadyMember => Some(GroupRefusal::AlreadyMember),
        Rejection::NoSuchMember => Some(GroupRefusal::NoSuchMember),
        Rejection::LastVoter => Some(GroupRefusal::LastVoter),
    }
}
