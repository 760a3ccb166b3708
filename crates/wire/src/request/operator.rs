//! Messages of operators and of the formation of the control group.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::{Answer, MemberId};

/// Reply to a [`types::ChangeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// The final answer, on disk on a majority.
    Final(Answer),
    /// The host is not the leader; nothing was done.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
    },
    /// The host cannot take changes now; nothing was done.
    Unavailable,
    /// The change may or may not take effect.
    Unknown,
}

/// Asks a control host whether it can help to form the first group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Member that asks.
    pub from: MemberId,
}

/// Reply to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloReply {
    /// Member that answers.
    pub id: MemberId,
    /// Whether it has never been part of a group.
    pub blank: bool,
}
