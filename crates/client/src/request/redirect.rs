//! Replies that may point to the leader.

use std::net::SocketAddr;

use wire::request::{GroupReply, QueryReply};

/// A reply that may point to the leader.
pub trait Redirect {
    /// Whether the host declined to answer, so that another should be asked.
    fn is_declined(&self) -> bool;

    /// The leader that the host named.
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
