//! What a version of the directory is told by.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use types::{MemberId, SetNumber};

use crate::Node;

/// How far a reader has followed the directory of a control host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DirectoryVersion {
    /// The run of the control host; 0 for none.
    pub incarnation: u64,
    /// Its last change that the reader has.
    pub seq: u64,
}

/// ViewChanges of the directory of a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// What the reader must have; the default starts from nothing.
    pub from: DirectoryVersion,
    /// What the reader has afterwards.
    pub to: DirectoryVersion,
    /// Nodes that are new or changed.
    pub changed: Vec<Node>,
    /// Nodes that are gone.
    pub removed: Vec<SocketAddrV4>,
}

/// Path at which a control host gives a node what it lacks of the routing set.
pub const ROUTES_PATH: &str = "/v1/routes";

/// A node says that it is there and what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The node.
    pub node: Node,
    /// Where the reply goes.
    pub reply_to: SocketAddrV4,
    /// How far it has followed the directory of this control host; `None` while
    /// it asks several for one to use, and wants no news yet.
    pub version: Option<DirectoryVersion>,
}

/// What a control host is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// By a node.
    Hello(Hello),
    /// By another control host: the nodes that it heard, and how many
    /// milliseconds ago.
    #[serde(rename = "Heard")]
    Relayed(Vec<(Node, u64)>),
    /// By the control host that forms the first group: its members.
    #[serde(rename = "Form")]
    FormGroup(Vec<(MemberId, Ipv4Addr)>),
}

/// What a control host tells a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloReply {
    /// The routing set in force, as far as the control host knows.
    pub routing_set: SetNumber,
    /// Whether the control host hears the leader of its group.
    pub current: bool,
    /// ViewChanges of the directory, if any.
    pub delta: Option<DirectoryDelta>,
    /// Other control hosts, for a node that wants no news yet.
    pub control_hosts: Vec<SocketAddrV4>,
    /// The last change of the directory.
    pub version: DirectoryVersion,
    /// Whether the directory lists all processes: the control host hears all
    /// others.
    pub complete: bool,
}
