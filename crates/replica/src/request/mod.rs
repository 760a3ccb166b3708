//! Types that live for one change or read.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use types::{ChangeRequest, DataCentre, RoutingSet, ServiceName, UnixMillis};
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

/// The part of the configuration that a read returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadTarget {
    Routes,
    Evacuations,
}

/// A request for the services that have no agents outside the data centres.
#[derive(Debug)]
pub(crate) struct UnservedServicesRequest {
    pub evacuated: BTreeSet<DataCentre>,
    pub reply: oneshot::Sender<BTreeSet<ServiceName>>,
}

/// A request that waits for a commit or a confirmed read.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    Change(oneshot::Sender<ChangeReply>),
    Read(ReadTarget, oneshot::Sender<QueryReply>),
    /// A membership change that the leader proposed itself.
    Group,
}
