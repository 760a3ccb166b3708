//! What a balancer decides.

use std::net::SocketAddrV4;

use bytes::Bytes;
use types::ServiceName;

use crate::Origin;

/// What to do with a datagram of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SteeringDecision {
    /// Send it to an agent.
    Forward {
        /// The agent.
        agent: SocketAddrV4,
        /// How the agent is to take it.
        origin: Origin,
        /// The service whose agent it is.
        service: ServiceName,
    },
    /// Ask these agents for the flow; the datagram waits.
    Query(Vec<(SocketAddrV4, ServiceName)>),
    /// The datagram waits for a search that is under way.
    Queued,
    /// Break off the flow towards the caller.
    Reset,
    /// Drop it.
    Drop(DropReason),
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// No routing set is known yet.
    NoRoutes,
    /// The address has no rule, and the flow is not known here.
    NoRule,
    /// No agent of the service takes new flows.
    NoAgent,
    /// Too many searches or datagrams wait.
    Busy,
    /// No agent has claimed the flow.
    NotFound,
}

impl DropReason {
    /// The name in metrics and log lines.
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

/// A parked datagram that can go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasedDatagram {
    /// The agent to send it to.
    pub agent: SocketAddrV4,
    /// How the agent is to take it.
    pub origin: Origin,
    /// The service whose agent it is.
    pub service: ServiceName,
    /// The datagram.
    pub payload: Bytes,
}

/// Agents to ask for the flow of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowQuery {
    /// A datagram of the flow.
    pub payload: Bytes,
    /// The agents.
    pub agents: Vec<(SocketAddrV4, ServiceName)>,
}

/// What follows from the searches that ended.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SearchResults {
    /// Datagrams that go on.
    pub released: Vec<ReleasedDatagram>,
    /// Searches that are widened.
    pub queries: Vec<FlowQuery>,
    /// A datagram of each flow that certainly no agent holds: it is to be
    /// broken off, so that its caller need not wait.
    pub lost_flows: Vec<Bytes>,
}
