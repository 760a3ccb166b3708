//! Upstreams and balancers as they announce themselves.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    ClassName, Connections, DataCentre, HostName, Service, ServiceName, Share, Slots, UpstreamId,
    Version,
};

/// State of an upstream as its agent sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Takes new work.
    Ready,
    /// Finishes what it holds and takes no new work.
    Leaving,
    /// Refuses connections; takes no new work.
    Down,
}

impl fmt::Display for UpstreamState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            UpstreamState::Ready => "ready",
            UpstreamState::Leaving => "leaving",
            UpstreamState::Down => "down",
        })
    }
}

/// Load of one class of work at one upstream, as the agent counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClassLoad {
    /// Slots that the upstream offers; at most the target's.
    pub slots: Slots,
    /// Requests in progress.
    pub in_flight: Slots,
    /// Requests that wait for a slot.
    pub queued: Slots,
}

impl ClassLoad {
    /// Slots that no request holds.
    #[must_use]
    pub fn free(&self) -> Slots {
        Slots(self.slots.0.saturating_sub(self.in_flight.0))
    }
}

/// Load of each class of work at one upstream.
pub type ClassLoads = BTreeMap<ClassName, ClassLoad>;

/// What an agent tells the control group of its upstream. Soft state.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAnnouncement {
    /// Identity of this run of the agent.
    pub id: UpstreamId,
    /// Service whose requests the upstream serves.
    pub service: ServiceName,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Where the agent takes datagrams from balancers.
    pub data_address: SocketAddr,
    /// Where the agent takes requests that a peer hands off.
    pub peer_address: SocketAddr,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Connections that the agent holds.
    pub connections: Connections,
    /// Load of each class of work. The classes served when `classes` was
    /// given, else every class of the service.
    pub loads: ClassLoads,
    /// Time since a control leader first took an announcement of this run as
    /// ready; zero until then, and again after the upstream was down. A new
    /// leader does not ramp an upstream again that was ready before its term.
    #[serde(default)]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ready_for: Duration,
}

/// An upstream within a published membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamMember {
    /// Host of the agent.
    pub host: HostName,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Where the agent takes datagrams from balancers.
    pub data_address: SocketAddr,
    /// Where the agent takes requests that a peer hands off.
    pub peer_address: SocketAddr,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Present weight in the placement of new flows.
    pub share: Share,
    /// Weight in the placement before the present one.
    pub previous_share: Share,
}

/// A service together with its upstreams, as nodes are told of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// The configured part.
    pub service: Service,
    /// Every upstream with a lease, those with share 0 included.
    pub members: BTreeMap<UpstreamId, UpstreamMember>,
    /// Version in which this state was last changed.
    pub version: Version,
}

/// A balancer as it announces itself. Soft state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BalancerAnnouncement {
    /// Where the balancer takes answers and probes from agents.
    pub return_address: SocketAddr,
}
