//! Messages of operators and of the formation of the control group.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use config::{AuditRecord, DrainMark};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use types::{
    Answer, ClassName, DataCentre, GroupRefusal, GroupRequest, HostName, KeyGeneration, MemberId,
    OperatorName, Revision, Role, RoutingSet, Service, ServiceName, Slots, Term, UpstreamId,
    UpstreamState, Version,
};

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
pub struct Hello;

/// Reply to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloReply {
    /// Member that answers.
    pub id: MemberId,
    /// Whether it has never been part of a group.
    pub blank: bool,
}

/// A change of the control group as an operator sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupChangeRequest {
    /// Who asks.
    pub author: OperatorName,
    /// What is asked.
    pub change: GroupRequest,
}

/// Reply to a [`GroupChangeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupReply {
    /// The change is in force.
    Done,
    /// The change was not made.
    Refused(GroupRefusal),
    /// The host is not the leader; nothing was done.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
    },
    /// The change may or may not take effect.
    Unknown,
}

/// Asks for state that a majority confirms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Every service.
    Services,
    /// One service.
    Service(ServiceName),
    /// The drain mark of a host.
    Drain(HostName),
    /// The keys, without their secrets.
    Keys,
    /// Records of the audit trail, the newest first.
    Audit {
        /// At most this many.
        limit: usize,
    },
    /// Status of everything.
    Status,
    /// Nodes that have not yet a revision in force.
    Lagging(Revision),
    /// The routing set.
    Routes,
}

/// Reply to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryReply {
    /// The host is not the leader.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
    },
    /// The leader is new and has not heard every live node yet; to
    /// [`Query::Lagging`].
    Unsettled,
    /// To [`Query::Services`].
    Services(Vec<Service>),
    /// To [`Query::Service`].
    Service(Option<Service>),
    /// To [`Query::Drain`].
    Drain(Option<DrainMark>),
    /// To [`Query::Keys`].
    Keys(Option<KeysReport>),
    /// To [`Query::Audit`].
    Audit(Vec<AuditRecord>),
    /// To [`Query::Status`].
    Status(Box<StatusReport>),
    /// To [`Query::Lagging`].
    Lagging(Vec<NodeReport>),
    /// To [`Query::Routes`].
    Routes(Option<Arc<RoutingSet>>),
}

/// The keys of connection ids, without their secrets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeysReport {
    /// Generation of the key that is in use.
    pub current: KeyGeneration,
    /// Generation of a key that waits for its activation.
    pub pending: Option<KeyGeneration>,
    /// Revision of the last change of the keys.
    pub revision: Revision,
}

/// Status of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Version that the leader publishes.
    pub version: Version,
    /// The control group.
    pub group: GroupReport,
    /// Balancers and agents.
    pub nodes: Vec<NodeReport>,
    /// Services.
    pub services: Vec<ServiceReport>,
}

/// Status of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The leader.
    pub leader: MemberId,
    /// Its term.
    pub term: Term,
    /// The voters.
    pub voters: BTreeMap<MemberId, SocketAddr>,
    /// Members that do not vote yet.
    pub learners: BTreeMap<MemberId, SocketAddr>,
    /// Members that hold every committed entry and were heard lately.
    pub caught_up: BTreeSet<MemberId>,
}

/// Status of a balancer or an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Role of the node.
    pub role: Role,
    /// Host of the node.
    pub host: HostName,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Version in force; none while the node has none.
    pub version: Option<Version>,
    /// Time since the node was last heard.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub silent_for: Duration,
}

/// Status of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub name: ServiceName,
    /// Load of each class of work.
    pub classes: BTreeMap<ClassName, ClassReport>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamReport>,
    /// Connections that leaving upstreams still hold.
    pub leaving_connections: u64,
}

/// Load of a class of work at one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Requests that the ready upstreams should carry by their targets.
    pub carry: Slots,
    /// Slots that the ready upstreams offer.
    pub slots: Slots,
    /// Requests in progress.
    pub in_flight: Slots,
    /// Requests that wait for a slot.
    pub queued: Slots,
}

/// Status of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Identity of the upstream.
    pub id: UpstreamId,
    /// Host of its agent.
    pub host: HostName,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Weight in the placement of new flows.
    pub share: types::Share,
}
