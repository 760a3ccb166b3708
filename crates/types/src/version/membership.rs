//! Announcements of upstreams and balancers, and the published membership.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use serde::{
    Deserialize, Serialize, Serializer,
    ser::{SerializeMap, SerializeStruct},
};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    ClassName, Connections, DataCentre, HostName, Service, ServiceName, Share, Slots, UpstreamId,
    Version,
};

/// State of an upstream as observed by its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Accepts new work.
    Ready,
    /// Completes its work in progress and accepts no new work.
    Leaving,
    /// Refuses connections; accepts no new work.
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
    /// Slots that are not in use by a request.
    #[must_use]
    pub fn free(&self) -> Slots {
        Slots(self.slots.0.saturating_sub(self.in_flight.0))
    }
}

/// Load of each class of work at one upstream.
pub type ClassLoads = BTreeMap<ClassName, ClassLoad>;

/// Announcement of an upstream, sent by its agent to the control group. Soft
/// state.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAnnouncement {
    /// Id of this incarnation of the agent.
    pub id: UpstreamId,
    /// Service whose requests the upstream serves.
    pub service: ServiceName,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Address at which the agent receives datagrams from balancers.
    pub data_address: SocketAddr,
    /// Address at which the agent accepts requests handed off by a peer.
    pub peer_address: SocketAddr,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Connections that the agent holds.
    pub connections: Connections,
    /// Load of each class of work that the upstream serves: the configured
    /// `classes`, or every class of the service if none were configured.
    pub loads: ClassLoads,
    /// Time since a control leader first accepted an announcement of this
    /// incarnation as ready; zero until then, and again after the upstream was
    /// down. With it, a new leader does not repeat the warm-up ramp of an
    /// upstream that was ready before its term.
    #[serde(default)]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ready_for: Duration,
}

/// An upstream within a published membership.
///
/// Processes from before `evacuated` existed read the fields as an array of the other
/// seven, or as a map of which they ignore unknown names. A member that is evacuated is
/// therefore encoded as a map, and any other one as the array of before.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct UpstreamMember {
    /// Host of the agent.
    pub host: HostName,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Address at which the agent receives datagrams from balancers.
    pub data_address: SocketAddr,
    /// Address at which the agent accepts requests handed off by a peer.
    pub peer_address: SocketAddr,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Current weight in the placement of new flows.
    pub share: Share,
    /// Weight in the placement of new flows before the last change.
    pub previous_share: Share,
    /// Whether its data centre is evacuated. Its state is then not ready, and its share 0.
    #[serde(default)]
    pub evacuated: bool,
}

impl Serialize for UpstreamMember {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.evacuated {
            let mut map = serializer.serialize_map(Some(8))?;
            map.serialize_entry("host", &self.host)?;
            map.serialize_entry("data_centre", &self.data_centre)?;
            map.serialize_entry("data_address", &self.data_address)?;
            map.serialize_entry("peer_address", &self.peer_address)?;
            map.serialize_entry("state", &self.state)?;
            map.serialize_entry("share", &self.share)?;
            map.serialize_entry("previous_share", &self.previous_share)?;
            map.serialize_entry("evacuated", &true)?;
            return map.end();
        }
        let mut fields = serializer.serialize_struct("UpstreamMember", 7)?;
        fields.serialize_field("host", &self.host)?;
        fields.serialize_field("data_centre", &self.data_centre)?;
        fields.serialize_field("data_address", &self.data_address)?;
        fields.serialize_field("peer_address", &self.peer_address)?;
        fields.serialize_field("state", &self.state)?;
        fields.serialize_field("share", &self.share)?;
        fields.serialize_field("previous_share", &self.previous_share)?;
        fields.end()
    }
}

/// A service and its upstreams, as published to nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Configuration of the service.
    pub service: Service,
    /// Every upstream with a lease, those with share 0 included.
    pub members: BTreeMap<UpstreamId, UpstreamMember>,
    /// Version of the last change of this state.
    pub version: Version,
}

/// Announcement of a balancer. Soft state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BalancerAnnouncement {
    /// Address at which the balancer receives responses and probes from agents.
    pub return_address: SocketAddr,
}
