//! Messages between balancers and agents.

use std::{net::SocketAddrV4, time::Instant};

use bytes::Bytes;
use flow::{AgentStatus, Claim, FlowTuple, Load, Origin};
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;
use types::{DataCentre, ServiceName, Slots, UpstreamId};

/// Names the service that a datagram is for. An agent of another service, at an
/// address that was used before, does not take it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// The tag of a service.
    #[must_use]
    pub fn of(service: &ServiceName) -> Self {
        let hash = XxHash64::oneshot(0, service.as_str().as_bytes());
        ServiceTag(u32::try_from(hash >> 32).unwrap_or_default())
    }
}

/// A message between balancers and agents, one to a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A datagram of a caller.
    Datagram {
        /// The service that it is for.
        tag: ServiceTag,
        /// How it came here.
        origin: Origin,
        /// The balancer that took it from the caller.
        via: SocketAddrV4,
        /// Agents that did not take it.
        declined: Vec<SocketAddrV4>,
        /// The datagram.
        payload: Bytes,
    },
    /// The sender does not hold the flow of a datagram that it was sent.
    NotHeld {
        /// The datagram.
        payload: Bytes,
    },
    /// Asks an agent whether it holds a flow.
    Ask {
        /// The service that the flow belongs to.
        tag: ServiceTag,
        /// The head of a datagram of the flow.
        head: Bytes,
    },
    /// Answers [`Message::Ask`].
    Claim {
        /// The flow.
        key: FlowTuple,
        /// The answer.
        claim: Claim,
    },
    /// The sender has taken a flow that was not placed at it.
    Taken {
        /// The flow.
        key: FlowTuple,
        /// The sender's service.
        service: ServiceName,
    },
    /// An agent tells its state.
    Report(AgentReport),
    /// An agent tells a balancer that has started, or that takes over from
    /// another one, which flows it holds.
    Holds {
        /// The sender's service.
        service: ServiceName,
        /// The flows.
        keys: Vec<FlowTuple>,
    },
}

/// State of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Differs for each run of the agent.
    pub run: u64,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Its service.
    pub service: ServiceName,
    /// Requests that its upstream serves at a time.
    pub slots: Slots,
    /// Whether it takes new flows.
    pub accepting: bool,
    /// The work of its upstream.
    pub load: Load,
}

impl AgentReport {
    /// The sender, as one that may take new flows.
    #[must_use]
    pub fn candidate(self, now: Instant) -> AgentStatus {
        AgentStatus {
            id: UpstreamId(self.run),
            data_centre: self.data_centre,
            slots: self.slots,
            accepting: self.accepting,
            load: self.load,
            reported_at: now,
            placed_since_report: 0,
        }
    }
}
