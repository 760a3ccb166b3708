//! What lasts for one change or read.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use types::{ChangeRequest, RoutingSet, UnixMillis};
use wire::request::{ChangeReply, QueryReply};

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// On disk on a majority.
    Accepted,
    /// Not made, and never will be.
    Refused(types::Refusal),
    /// Not made: no leader can be reached, or it cannot take changes now.
    Unavailable,
    /// It may or may not take effect.
    Unknown,
}

/// What a read brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The newest set, confirmed by a majority; `None` before the first one.
    Confirmed(Option<Arc<RoutingSet>>),
    /// No majority can confirm it now.
    Unavailable,
}

/// A change in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Command {
    /// The leader's clock when it proposed the change.
    pub at: UnixMillis,
    pub req: ChangeRequest,
}

/// A request that waits for a commit or a confirmed read.
#[derive(Debug)]
pub(crate) enum Pending {
    Change(oneshot::Sender<ChangeReply>),
    Read(oneshot::Sender<QueryReply>),
    /// A change of the group by the member itself.
    Group,
}
