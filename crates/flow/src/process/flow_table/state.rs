//! What an agent knows of its upstream, and the decisions about datagrams.

use std::time::Instant;

use serde::{Deserialize, Serialize};
use types::Slots;

/// State of the upstream, as its agent learns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Differs for each run of the upstream; `None` if it is only known to
    /// listen and has not announced itself.
    pub incarnation: Option<u64>,
    /// Number of requests that it serves concurrently.
    pub slots: Slots,
    /// Whether it accepts new flows: it is neither draining nor stopped.
    pub accepting: bool,
    /// The upstream responds slowly after its start, until this instant.
    pub slow_start_until: Option<Instant>,
}

impl UpstreamStatus {
    /// An upstream that listens and has not announced itself. A restarted agent
    /// can then give it flows without waiting for the announcement.
    #[must_use]
    pub fn listening() -> Self {
        /// The smallest number of slots that serves two callers at a time.
        const ASSUMED_SLOTS: Slots = Slots(2);
        UpstreamStatus {
            incarnation: None,
            slots: ASSUMED_SLOTS,
            accepting: true,
            slow_start_until: None,
        }
    }

    /// An upstream that accepts flows and is past its slow start.
    #[must_use]
    pub fn ready(incarnation: u64, slots: Slots) -> Self {
        UpstreamStatus {
            incarnation: Some(incarnation),
            slots,
            accepting: true,
            slow_start_until: None,
        }
    }
}

/// Why a caller's datagram was sent to this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// A balancer placed a new flow here.
    Placed,
    /// Another agent did not accept the new flow. This agent does not pass it
    /// on again because of load.
    Passed,
    /// The balancer has a hint that this agent holds the flow.
    Held,
    /// No agent claimed the flow, and this agent may hold it.
    Tried,
}

/// Action for a datagram of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAction {
    /// Deliver it to the upstream.
    Deliver,
    /// Pass it on to another agent: the upstream is full or accepts no new
    /// flows.
    PassOn,
    /// Keep it until the upstream can be given another flow.
    Wait,
    /// The flow is not in the table: report that to the balancer.
    NotHeld,
    /// The upstream has lost the flow: send a reset to the caller.
    Reset,
    /// Drop it: the upstream has yet to confirm the flow.
    Drop,
}

/// Action for a datagram of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAction {
    /// Send it to the caller.
    ToCaller {
        /// The flow was not in the table before; the balancer that sent a
        /// datagram of it here must be told.
        learned: bool,
    },
    /// The upstream returned an opening datagram: pass it on to another agent.
    PassOn,
    /// The upstream returned a datagram of an unconfirmed flow: report to the
    /// balancer that the flow is not held here.
    NotHeld,
    /// The upstream has lost the flow: send a reset to the caller.
    Reset,
    /// Drop the datagram.
    Drop,
}

/// Answer of an agent to a query for the holder of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The agent holds the flow.
    Holds,
    /// An earlier process of the agent may have opened the flow at the upstream.
    Perhaps,
    /// The agent does not hold the flow.
    No,
}

/// Load of an upstream, as its agent measures it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that have arrived completely and wait for the first byte of their
    /// answer, and new flows that have not sent a request yet.
    pub busy_requests: u32,
    /// Number of open flows.
    pub open_flows: u32,
}
