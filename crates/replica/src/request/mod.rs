//! Types that live for one change or read.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use types::{ChangeRequest, RoutingSet, UnixMillis};
use wire::request::{ChangeReply, QueryReply};

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Committed: on the disks of a majority.
    Accepted,
    /// Refused; it will never take effect.
    Refused(types::Refusal),
    /// Not made: no leader is reachable, or it cannot accept changes now.
    Unavailable,
    /// It may or may not take effect.
    Unknown,
}

/// The outcome of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The current set, confirmed by a quorum; `None` before the first one.
    Confirmed(Option<Arc<RoutingSet>>),
    /// No quorum confirmed the read before the deadline.
    Unavailable,
}

/// The command in a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Command {
    /// The leader's clock when it proposed the change.
    pub proposed_at: UnixMillis,
    pub req: ChangeRequest,
}

/// A request that waits for a commit or a confirmed read.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    Change(oneshot::Sender<ChangeReply>),
    Read(oneshot::Sender<QueryReply>),
    /// A membership change that the leader proposed itself.
    Group,
}
