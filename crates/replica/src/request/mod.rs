//! Types that live for one change or read.

use std::{
    collections::BTreeSet,
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use bytes::Bytes;
use serde::Deserialize;
use tokio::sync::oneshot;
use types::{
    Change, ChangeRequest, DataCentre, RoutingSet, RoutingSetNumber, ServiceName, UnixMillis,
};
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

/// Identifies a routing set by its number and a digest of its contents, by which
/// repeated requests are recognized. The digest is not stable between builds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SetId(RoutingSetNumber, u64);

impl fmt::Display for SetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.0, self.1)
    }
}

impl SetId {
    pub fn of(set: &RoutingSet) -> Self {
        let mut hasher = DefaultHasher::new();
        set.hash(&mut hasher);
        SetId(set.number, hasher.finish())
    }

    fn of_change(change: &Change) -> Option<Self> {
        match change {
            Change::ReplaceRoutes(set) => Some(SetId::of(set)),
            _ => None,
        }
    }
}

/// An encoded [`ChangeRequest`]. A large routing set takes a fourth of the memory in this
/// form, in which it passes from the operators' interface to the log.
#[derive(Debug, Clone)]
pub(crate) struct EncodedChange {
    /// Set if the change replaces the routing set.
    pub set: Option<SetId>,
    pub bytes: Bytes,
}

impl EncodedChange {
    pub fn encode(request: &ChangeRequest) -> wire::Result<Self> {
        let bytes = wire::encode(request)?.into_boxed_slice();
        Ok(EncodedChange {
            set: SetId::of_change(&request.change),
            bytes: bytes.into(),
        })
    }

    /// Checks the encoding of a request from another member.
    pub fn decode(bytes: Bytes) -> wire::Result<Self> {
        let request: ChangeRequest = wire::decode(&bytes)?;
        let set = SetId::of_change(&request.change);
        Ok(EncodedChange { set, bytes })
    }
}

/// The command in a log entry. It is encoded by [`wire::encode_pair`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
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
    /// A proposed change, with the replies to it and its repetitions.
    Change {
        /// Set if the change replaces the routing set.
        set: Option<SetId>,
        /// Size of the encoded change.
        bytes: usize,
        replies: Vec<oneshot::Sender<ChangeReply>>,
    },
    /// A replacement of the routing set that is proposed once all earlier entries are
    /// known to be applied, unless they contain it.
    Replacement(EncodedChange, SetId, oneshot::Sender<ChangeReply>),
    Read(ReadTarget, oneshot::Sender<QueryReply>),
    /// A membership change that the leader proposed itself.
    Group,
}
