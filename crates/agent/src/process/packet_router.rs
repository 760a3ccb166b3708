//! Routing of callers' packets to this agent or a peer.

use std::{net::SocketAddr, time::Instant};

use route::{Arrival, Decision, Hop, RoutingTable, flow_key};
use types::{FlowKey, FlowPhase, ServiceId, ServiceState, UpstreamId};
use wire::{CidCodec, LongHeaderKind, QuicHeader, ServiceTag};

use super::recent_flows::RecentFlows;

/// What to do with a packet of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketDecision {
    /// Deliver it to the QUIC endpoint of this agent.
    Deliver,
    /// Pass it on to a peer.
    PassOn(Hop),
    /// Drop it, for this cause.
    Drop(&'static str),
}

/// Routes packets by the version in force.
#[derive(Debug)]
pub struct PacketRouter {
    own_id: UpstreamId,
    /// The service and its address; `None` while it is not configured.
    service: Option<(ServiceId, SocketAddr)>,
    table: RoutingTable,
    cid_codec: Option<CidCodec>,
    recent_flows: RecentFlows,
    leaving: bool,
}

impl PacketRouter {
    /// Creates a router for the agent of the upstream `own_id`, without a version.
    #[must_use]
    pub fn new(now: Instant, own_id: UpstreamId) -> Self {
        PacketRouter {
            own_id,
            service: None,
            table: RoutingTable::default(),
            cid_codec: None,
            recent_flows: RecentFlows::new(now),
            leaving: false,
        }
    }

    /// Applies a new version.
    pub fn configure(&mut self, service: Option<ServiceState>, cid_codec: Option<CidCodec>) {
        self.cid_codec = cid_codec;
        self.table = RoutingTable::default();
        let state = service.as_ref();
        self.service = state.map(|state| (state.service.id, state.service.address));
        self.table.apply(service, []);
    }

    /// Sets whether the upstream is draining.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Address of the service; `None` while it is not configured.
    #[must_use]
    pub fn service_address(&self) -> Option<SocketAddr> {
        self.service.map(|(_, address)| address)
    }

    /// Decides about a packet that a caller sent to `address`.
    pub fn decide(
        &mut self,
        now: Instant,
        address: SocketAddr,
        arrival: Arrival,
        packet: &[u8],
    ) -> PacketDecision {
        let Some((service, _)) = self
            .service
            .filter(|(_, service_address)| *service_address == address)
        else {
            return PacketDecision::Drop("other_service");
        };
        let (kind, dcid) = match QuicHeader::decode(packet) {
            Ok(QuicHeader::Short { dcid }) => (LongHeaderKind::Handshake, dcid),
            Ok(QuicHeader::Long { kind, dcid }) => (kind, dcid),
            Err(e) => return PacketDecision::Drop(e.category().as_str()),
        };
        match self
            .cid_codec
            .as_ref()
            .map(|cid_codec| cid_codec.decode(dcid))
        {
            Some(Ok(id)) if id.upstream != self.own_id => PacketDecision::Drop("other_incarnation"),
            Some(Ok(id)) if id.tag != ServiceTag::from(service) => {
                PacketDecision::Drop("other_service")
            }
            Some(Ok(_)) => PacketDecision::Deliver,
            _ if kind == LongHeaderKind::Handshake => PacketDecision::Drop("unknown_id"),
            _ => self.decide_initial(now, service, flow_key(service, dcid), arrival),
        }
    }

    /// Decides about an Initial packet. A draining agent continues the handshakes
    /// that it has started.
    fn decide_initial(
        &mut self,
        now: Instant,
        service: ServiceId,
        flow: FlowKey,
        arrival: Arrival,
    ) -> PacketDecision {
        if !self.leaving || self.recent_flows.contains(flow) {
            self.recent_flows.insert(now, flow);
            return PacketDecision::Deliver;
        }
        let phase = FlowPhase::New;
        match self
            .table
            .pass_on(service, flow, self.own_id, phase, arrival)
        {
            Decision::PassOn(hop) | Decision::Forward(hop) => PacketDecision::PassOn(hop),
            Decision::Drop(reason) => PacketDecision::Drop(reason.as_str()),
        }
    }
}
