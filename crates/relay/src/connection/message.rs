//! Messages between balancers and agents.

use std::{net::SocketAddrV4, time::Instant};

use bytes::Bytes;
use flow::{
    AdmittedShare, AgentStatus, Claim, FlowListId, FlowListPart, FlowTuple, Load, Origin,
    ServiceTime,
};
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;
use types::{DataCentre, RequestTargets, ServiceName, Slots, UpstreamId};

use super::{Callers, QueriedFlows};

/// Hash of the name of the service that a datagram is for. An address may be
/// reused by an agent of another service, which rejects the datagram by its tag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Computes the tag of a service.
    #[must_use]
    pub fn of(service: &ServiceName) -> Self {
        let hash = XxHash64::oneshot(0, service.as_str().as_bytes());
        ServiceTag(u32::try_from(hash >> 32).unwrap_or_default())
    }
}

/// A message between balancers and agents. Each message is sent in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Forwards a datagram of a caller.
    Datagram {
        /// The destination service.
        tag: ServiceTag,
        /// Why the datagram was sent to this agent.
        origin: Origin,
        /// The balancer that received it from the caller.
        via: SocketAddrV4,
        /// Agents that declined it.
        declined_by: Vec<SocketAddrV4>,
        /// The caller's datagram.
        payload: Bytes,
    },
    /// Returns a datagram whose flow the sender does not hold.
    NotHeld {
        /// The caller's datagram.
        payload: Bytes,
    },
    /// Queries whether an agent holds a flow.
    #[serde(rename = "Ask")]
    ClaimQuery {
        /// The service of the flow.
        tag: ServiceTag,
        /// The header of a datagram of the flow.
        header: Bytes,
    },
    /// Reply to [`Message::ClaimQuery`].
    Claim {
        /// The flow.
        key: FlowTuple,
        /// Whether the sender holds the flow.
        claim: Claim,
    },
    /// Reports that the sender holds a flow that the balancer did not place at it.
    #[serde(rename = "Taken")]
    FlowTaken {
        /// The flow.
        key: FlowTuple,
        /// The sender's service.
        service: ServiceName,
    },
    /// State of an agent, sent when it changes and as a heartbeat.
    Report(AgentReport),
    /// Lists flows that the sender holds, for a balancer that has started or that
    /// takes over the flows of another one.
    #[serde(rename = "Holds")]
    HeldFlows {
        /// The sender's service.
        service: ServiceName,
        /// The flows.
        keys: Vec<FlowTuple>,
    },
    /// Forwards an opening datagram of a caller, with what its route needs.
    Opening {
        /// The destination service.
        tag: ServiceTag,
        /// Why the datagram was sent to this agent.
        origin: Origin,
        /// The balancer that received it from the caller.
        via: SocketAddrV4,
        /// Agents that declined it.
        declined_by: Vec<SocketAddrV4>,
        /// Targets of the requests on the flow.
        targets: RequestTargets,
        /// How long it has waited at agents, in milliseconds.
        waited_ms: u64,
        /// The caller's datagram.
        payload: Bytes,
    },
    /// Hands a part of the list of flows of a stopping agent to a node that keeps it.
    KeepFlows(FlowListPart),
    /// Reply to [`Message::KeepFlows`] once the part is stored.
    FlowsKept {
        /// The list.
        id: FlowListId,
        /// The part.
        index: u16,
    },
    /// Queries the list of the previous process at the sender's address.
    KeptFlowsQuery {
        /// Incarnation of the sender.
        incarnation: u64,
        /// The part.
        index: u16,
    },
    /// Reply to [`Message::KeptFlowsQuery`]; `None` if the part is not kept.
    KeptFlows(Option<FlowListPart>),
    /// Asks an arbiter whether a datagram of the flow may be delivered on trial.
    TrialRequest {
        /// The flow.
        key: FlowTuple,
    },
    /// Reply to [`Message::TrialRequest`].
    TrialAnswer {
        /// The flow.
        key: FlowTuple,
        /// Whether one datagram may be delivered.
        granted: bool,
    },
    /// Performance of the sender's upstream, sent when it changes and as a heartbeat.
    /// The sender of one understands [`Message::ClaimQueries`].
    Performance(Performance),
    /// Queries whether an agent holds flows of one service address.
    ClaimQueries {
        /// The service of the flows.
        tag: ServiceTag,
        /// The address that their callers send to.
        service: SocketAddrV4,
        /// The flows.
        flows: QueriedFlows,
    },
    /// Reply to [`Message::ClaimQueries`]: the callers of its flows by the claims.
    Claims {
        /// The address that the callers send to.
        service: SocketAddrV4,
        /// Flows that the sender holds.
        holds: Callers,
        /// Flows that its upstream may hold.
        perhaps: Callers,
        /// Flows that it does not hold.
        no: Callers,
    },
}

/// State of an agent and load of its upstream. Each agent sends it often to each
/// balancer, and earlier versions reject an array with more fields: what changes rarely
/// is in [`Performance`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Random incarnation of the agent's process; differs after each restart.
    pub incarnation: u64,
    /// Data centre of the agent.
    pub data_centre: DataCentre,
    /// Service of its upstream.
    pub service: ServiceName,
    /// Requests that its upstream serves concurrently.
    pub slots: Slots,
    /// Whether it accepts new flows.
    pub accepting: bool,
    /// Load of its upstream.
    pub load: Load,
}

/// Performance of the upstream of an agent. The receiver knows the agent by its reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Performance {
    /// Incarnation of the agent, as in its reports.
    pub incarnation: u64,
    /// Service time of its upstream, if it is known.
    pub service_time: Option<ServiceTime>,
    /// Share of new flows that its upstream gets.
    pub share: AdmittedShare,
}

/// Maximum number of slots that a report can claim. An agent of another build may
/// have passed on any number, which would draw all flows of its service.
const MAX_SLOTS: Slots = Slots(10_000);

impl AgentReport {
    /// The sender as a candidate for new flows, reported at `now`, of unknown
    /// performance.
    #[must_use]
    pub fn candidate(self, now: Instant) -> AgentStatus {
        AgentStatus {
            id: UpstreamId(self.incarnation),
            data_centre: self.data_centre,
            slots: self.slots.min(MAX_SLOTS),
            accepting: self.accepting,
            load: self.load,
            service_time: None,
            share: AdmittedShare::default(),
            reported_at: now,
            placed_since_report: 0,
        }
    }
}
