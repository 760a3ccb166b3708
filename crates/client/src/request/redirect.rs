//! Replies that may redirect to the leader.

use std::net::SocketAddr;

use wire::request::{GroupReply, QueryReply};

/// A reply that may redirect to the leader.
pub trait Redirect {
    /// Whether the host declined to answer, so that the request should go to
    /// another one.
    fn is_declined(&self) -> bool;

    /// The leader according to the host, if it named one.
    fn leader(&self) -> Option<SocketAddr>;
}

impl Redirect for QueryReply {
    fn is_declined(&self) -> bool {
        matches!(self, QueryReply::NotLeader { .. } | QueryReply::Unsettled)
    }

    fn leader(&self) -> Option<SocketAddr> {
        match self {
            QueryReply::NotLeader { leader } => *leader,
            _ => None,
        }
    }
}

impl Redirect for GroupReply {
    fn is_declined(&self) -> bool {
        matches!(self, GroupReply::NotLeader { .. })
    }

    fn leader(&self) -> Option<SocketAddr> {
        match self {
            GroupReply::NotLeader { leader } => *leader,
            _ => None,
        }
    }
}
