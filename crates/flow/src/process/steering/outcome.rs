//! Decisions of a balancer.

use std::net::SocketAddrV4;

use bytes::Bytes;
use types::ServiceName;

use super::TrialRequest;
use crate::Origin;

/// What to do with a datagram of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SteeringDecision {
    /// Forward it to an agent.
    Forward {
        /// Address of the agent.
        agent: SocketAddrV4,
        /// Why the datagram goes to this agent.
        origin: Origin,
        /// The agent's service.
        service: ServiceName,
    },
    /// Ask these agents whether they hold the flow; the datagram is queued.
    Query(Vec<(SocketAddrV4, ServiceName)>),
    /// The datagram is queued until a running search ends.
    Queued,
    /// Send a reset to the caller.
    Reset(ResetReason),
    /// Drop the datagram.
    Drop(DropReason),
}

/// Why a balancer resets a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResetReason {
    /// No rule for the address.
    NoRule,
    /// All agents of the service that could take the flow are evacuated.
    Evacuated,
}

impl ResetReason {
    /// The reason in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ResetReason::NoRule => "no_rule",
            ResetReason::Evacuated => "evacuated",
        }
    }
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// No routing set has arrived yet.
    NoRoutes,
    /// No rule for the address, and no hint for the flow.
    NoRule,
    /// No agent of the service accepts new flows.
    NoAgent,
    /// Too many searches are running, or too many datagrams of the flow are
    /// queued.
    Busy,
    /// No agent has claimed the flow.
    NotFound,
}

impl DropReason {
    /// The reason as a metric label and in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::NoRoutes => "no_routes",
            DropReason::NoRule => "no_rule",
            DropReason::NoAgent => "no_agent",
            DropReason::Busy => "busy",
            DropReason::NotFound => "not_found",
        }
    }
}

/// A queued datagram to forward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasedDatagram {
    /// Address of the agent.
    pub agent: SocketAddrV4,
    /// Why the datagram goes to this agent.
    pub origin: Origin,
    /// The agent's service.
    pub service: ServiceName,
    /// The datagram.
    pub payload: Bytes,
}

/// A query to agents for the holder of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowQuery {
    /// A datagram of the flow.
    pub payload: Bytes,
    /// Addresses and services of the agents.
    pub agents: Vec<(SocketAddrV4, ServiceName)>,
}

/// Results of the searches whose deadline has passed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SearchResults {
    /// Datagrams to forward.
    pub released: Vec<ReleasedDatagram>,
    /// Requests for trials of flows that no agent has claimed.
    pub trial_requests: Vec<TrialRequest>,
    /// Queries of the searches that continue with another round.
    pub queries: Vec<FlowQuery>,
    /// A datagram of each flow that no agent holds: the flow is reset at once,
    /// so that its caller does not wait for a timeout.
    pub lost_flows: Vec<Bytes>,
}
