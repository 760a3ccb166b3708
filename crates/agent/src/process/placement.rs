//! Which datagrams of callers are this agent's.

use std::{net::SocketAddr, time::Instant};

use route::{Arrival, Decision, Hop, RoutingTable, flow_key};
use types::{FlowKey, FlowPhase, ServiceId, ServiceState, UpstreamId};
use wire::{CidCodec, LongKind, QuicHeader, ServiceTag};

use super::openers::Openers;

/// Where a packet belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// It goes to the endpoint of this agent.
    Own,
    /// It is passed on to a peer.
    Other(Hop),
    /// It is dropped, for this cause.
    None(&'static str),
}

/// Decides which packets are this agent's, by the version in force.
#[derive(Debug)]
pub struct Placements {
    own: UpstreamId,
    /// The service and its address; none while it is not configured.
    service: Option<(ServiceId, SocketAddr)>,
    table: RoutingTable,
    keys: Option<CidCodec>,
    openers: Openers,
    leaving: bool,
}

impl Placements {
    /// Placements of the agent `own`, which has no version yet.
    #[must_use]
    pub fn new(now: Instant, own: UpstreamId) -> Self {
        Placements {
            own,
            service: None,
            table: RoutingTable::default(),
            keys: None,
            openers: Openers::new(now),
            leaving: false,
        }
    }

    /// Brings a version into force.
    pub fn set(&mut self, service: Option<ServiceState>, keys: Option<CidCodec>) {
        self.keys = keys;
        self.table = RoutingTable::default();
        let state = service.as_ref();
        self.service = state.map(|state| (state.service.id, state.service.address));
        self.table.apply(service, []);
    }

    /// Sets whether the upstream leaves.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Address of the service; none while it is not configured.
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
    ) -> Placement {
        let Some((service, _)) = self.service.filter(|(_, own)| *own == address) else {
            return Placement::None("other_service");
        };
        let (kind, dcid) = match QuicHeader::decode(packet) {
            Ok(QuicHeader::Short { dcid }) => (LongKind::Handshake, dcid),
            Ok(QuicHeader::Long { kind, dcid }) => (kind, dcid),
            Err(e) => return Placement::None(e.category().as_str()),
        };
        match self.keys.as_ref().map(|keys| keys.decode(dcid)) {
            Some(Ok(id)) if id.upstream != self.own => Placement::None("other_incarnation"),
            Some(Ok(id)) if id.tag != ServiceTag::from(service) => Placement::None("other_service"),
            Some(Ok(_)) => Placement::Own,
            _ if kind == LongKind::Handshake => Placement::None("unknown_id"),
            _ => self.opening(now, service, flow_key(service, dcid), arrival),
        }
    }

    /// Decides about a first packet. A leaving agent keeps the handshakes that
    /// it has begun.
    fn opening(
        &mut self,
        now: Instant,
        service: ServiceId,
        flow: FlowKey,
        arrival: Arrival,
    ) -> Placement {
        if !self.leaving || self.openers.contains(flow) {
            self.openers.insert(now, flow);
            return Placement::Own;
        }
        let opens = FlowPhase::Opens;
        match self.table.pass_on(service, flow, self.own, opens, arrival) {
            Decision::PassOn(hop) | Decision::Forward(hop) => Placement::Other(hop),
            Decision::Drop(reason) => Placement::None(reason.as_str()),
        }
    }
}
