//! Versions of the directory and the messages that carry them.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use types::{PlacementPolicy, RoutingSetNumber};

use crate::{Node, Roster};

mod formation;
mod records;

pub use formation::{Ballot, FirstGroup, FormationMessage};
pub use records::{MAX_RECORD_BYTES, MAX_RECORD_PARTS, NodeRecord, RecordQuery, RecordReply};

/// Version of a control host's directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DirectoryVersion {
    /// Incarnation of the control host; 0 for none.
    pub incarnation: u64,
    /// Sequence number of the last change.
    pub seq: u64,
}

/// Changes between two versions of a directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// Version that the delta applies to; the default is an empty directory.
    pub from: DirectoryVersion,
    /// Version after the delta.
    pub to: DirectoryVersion,
    /// Nodes that are new or changed.
    pub changed: Vec<Node>,
    /// Addresses of the nodes that were removed.
    pub removed: Vec<SocketAddrV4>,
}

/// HTTP path at which a control host serves deltas of the routing set.
pub const ROUTES_PATH: &str = "/v1/routes";

/// HTTP path at which a control host serves its roster to other control hosts.
pub const ROSTER_PATH: &str = "/v1/roster";

/// The agents that a control host has listed, for another control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterReply {
    /// The members of the group, as the sender knows them.
    pub members: Vec<Ipv4Addr>,
    /// The agents that the sender has listed and that are not known to be gone.
    pub roster: Roster,
}

/// Periodic message of a node to a control host: its state and the version of
/// its directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub node: Node,
    /// Address for the reply.
    pub reply_to: SocketAddrV4,
    /// Version of this control host's directory that the node has; `None` while
    /// it looks for a control host and needs no delta yet.
    pub version: Option<DirectoryVersion>,
}

/// A message to a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// From a node.
    Hello(Hello),
    /// From another control host: the nodes that it heard from, with the time
    /// since then in milliseconds.
    #[serde(rename = "Heard")]
    Relayed(Vec<(Node, u64)>),
    /// From a control host that knows the first group: the members of the
    /// group.
    #[serde(rename = "Form")]
    FormGroup(FirstGroup),
    /// From a seed: agreement on the first group.
    Formation {
        /// Address by which other hosts reach the sender.
        from: Ipv4Addr,
        /// The message.
        message: FormationMessage,
    },
    /// From a node: a record to keep for the next process at its address.
    Keep(NodeRecord),
    /// From a node that has started: a request for the records that are kept for it.
    RecordQuery(RecordQuery),
}

/// Reply of a control host to a hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloReply {
    /// Number of the latest routing set that the control host has.
    pub routing_set: RoutingSetNumber,
    /// Whether the control host hears the leader of its group.
    pub current: bool,
    /// Changes of the directory that the node lacks, if any.
    pub delta: Option<DirectoryDelta>,
    /// Other control hosts, for a node that has no control host yet.
    pub control_hosts: Vec<SocketAddrV4>,
    /// Version of the directory.
    pub version: DirectoryVersion,
    /// Whether the directory lists all processes, because the control host
    /// hears all others.
    pub complete: bool,
    /// Where new flows may be placed.
    #[serde(default)]
    pub policy: PlacementPolicy,
}
