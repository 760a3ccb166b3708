//! Records that control hosts keep for other nodes.

use std::net::SocketAddrV4;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum number of parts of a node's state.
pub const MAX_RECORD_PARTS: u16 = 512;

/// Maximum size of the content of a part, so that a message fits in a packet.
pub const MAX_RECORD_BYTES: usize = 1400;

/// A part of the state of a node, which control hosts keep for the next process at its
/// address. They do not interpret the content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Address of the node.
    pub owner: SocketAddrV4,
    /// Incarnation of the process that sent it.
    pub incarnation: u64,
    /// Number of this part, from 0.
    pub part: u16,
    /// Number of parts of the state.
    pub parts: u16,
    /// The content.
    pub content: Bytes,
}

impl NodeRecord {
    /// Whether the numbers are ones that a node sends.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.parts <= MAX_RECORD_PARTS
            && self.part < self.parts
            && self.content.len() <= MAX_RECORD_BYTES
    }
}

/// Request of a started node for the records of its previous process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordQuery {
    /// Address of the node.
    pub owner: SocketAddrV4,
    /// Incarnation of the requesting process.
    pub incarnation: u64,
    /// Address to reply to.
    pub reply_to: SocketAddrV4,
    /// Parts that the node has received from this control host.
    pub received: Vec<u16>,
}

/// Reply of a control host to a [`RecordQuery`]. It is an enum so that it cannot be
/// mistaken for a [`HelloReply`](super::HelloReply), which arrives at the same address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordReply {
    /// A part that is kept.
    Kept(NodeRecord),
    /// No further part is kept.
    NoMore,
}
