//! Messages of operators, and for the formation of the control group.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use config::{AuditRecord, DrainMark, EvacuationMark};
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
    /// The final answer, on disk at a majority.
    Final(Answer),
    /// The host is not the leader; the change was not made.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The host cannot accept changes now; the change was not made.
    Unavailable,
    /// The change may or may not take effect.
    Unknown,
}

/// Asks a control host whether it can be a member of the first control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello;

/// Reply to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloReply {
    /// Id of the member that replies.
    pub id: MemberId,
    /// Whether the member has never been part of a group.
    pub blank: bool,
}

/// A change of the control group as an operator sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupChangeRequest {
    /// Operator who sends the change.
    pub author: OperatorName,
    /// The requested change.
    pub change: GroupRequest,
}

/// Reply to a [`GroupChangeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupReply {
    /// The change is in force.
    Done,
    /// The change was not made.
    Refused(GroupRefusal),
    /// The host is not the leader; the change was not made.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The change may or may not take effect.
    Unknown,
}

/// Requests state of the system. A majority confirms the reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Every service.
    Services,
    /// One service.
    Service(ServiceName),
    /// Whether the upstream of a host is drained.
    Drain(HostName),
    /// The data centres of which an evacuation was requested.
    Evacuations,
    /// The keys, without their secrets.
    Keys,
    /// Records of the audit trail, the newest first.
    Audit {
        /// Maximum number of records in the reply.
        limit: usize,
    },
    /// Status of the whole system.
    Status,
    /// Nodes that do not yet have a revision in force.
    Lagging(Revision),
    /// The routing set.
    Routes,
}

/// Reply to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryReply {
    /// The host is not the leader.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// Reply to [`Query::Lagging`] of a new leader that has not yet heard from
    /// every live node.
    Unsettled,
    /// Reply to [`Query::Services`].
    Services(Vec<Service>),
    /// Reply to [`Query::Service`].
    Service(Option<Service>),
    /// Reply to [`Query::Drain`].
    Drain(Option<DrainMark>),
    /// Reply to [`Query::Evacuations`].
    Evacuations(BTreeMap<DataCentre, EvacuationMark>),
    /// Reply to [`Query::Keys`].
    Keys(Option<KeysReport>),
    /// Reply to [`Query::Audit`].
    Audit(Vec<AuditRecord>),
    /// Reply to [`Query::Status`].
    Status(Box<StatusReport>),
    /// Reply to [`Query::Lagging`].
    Lagging(Vec<NodeReport>),
    /// Reply to [`Query::Routes`].
    Routes(Option<Arc<RoutingSet>>),
}

/// The keys of connection ids, without their secrets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeysReport {
    /// Generation of the key that encrypts new connection ids.
    pub current: KeyGeneration,
    /// Generation of the key that was added and is not yet activated.
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
    /// The evacuated data centres. Left out while there are none, for readers of
    /// earlier versions; it must stay the last field, because it has no name on the
    /// wire.
    #[serde(default, skip_serializing_if = "EvacuationReport::is_empty")]
    pub evacuation: EvacuationReport,
}

/// The evacuated data centres and what they leave.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Data centres whose upstreams get no new work.
    pub evacuated: BTreeSet<DataCentre>,
    /// Services whose upstreams are all in these data centres.
    pub services_without_upstreams: BTreeSet<ServiceName>,
}

impl EvacuationReport {
    /// Whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty()
    }
}

/// Status of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The leader.
    pub leader: MemberId,
    /// Term of the leader.
    pub term: Term,
    /// The voters.
    pub voters: BTreeMap<MemberId, SocketAddr>,
    /// Members that do not vote.
    pub learners: BTreeMap<MemberId, SocketAddr>,
    /// Members that have every committed entry and replied recently.
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
    /// Version in force; `None` before the first one.
    pub version: Option<Version>,
    /// Time since the last message from the node.
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
    /// Sum of the targets of the ready upstreams, in concurrent requests.
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
