//! Classification of a single datagram.

use std::{fmt, net::SocketAddr};

use route::{Decision, DropReason, Hop, flow_key};
use types::{FlowPhase, ServiceId};
use wire::{Endpoints, LongHeaderKind, QuicHeader, ServiceTag};

use crate::Classifier;

/// Decision on a datagram of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the datagram to this agent.
    Forward(Hop),
    /// Drop the datagram.
    Drop(DropCause),
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropCause {
    /// The prefix, the QUIC header or the connection id could not be decoded.
    Undecodable(wire::Category),
    /// The routing table has no destination for the datagram.
    Route(DropReason),
    /// A first packet shorter than the 1200 bytes that QUIC requires.
    UndersizedFirstPacket,
    /// Datagram and prefix together exceed the maximum UDP payload.
    OversizedDatagram,
    /// An answer from a host that is not an agent of the service.
    UnauthorizedSender,
    /// A probe that is not answered, because its sender is not an agent, or
    /// because this balancer is not serving or cannot send answers.
    UnansweredProbe,
    /// The send call failed.
    SendFailed,
    /// The receive call returned an error instead of a datagram.
    ReceiveFailed,
}

impl DropCause {
    /// Value of the metric label `cause`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            DropCause::Undecodable(category) => category.as_str(),
            DropCause::Route(reason) => reason.as_str(),
            DropCause::UndersizedFirstPacket => "undersized",
            DropCause::OversizedDatagram => "oversized",
            DropCause::UnauthorizedSender => "sender",
            DropCause::UnansweredProbe => "probe",
            DropCause::SendFailed => "send",
            DropCause::ReceiveFailed => "receive",
        }
    }
}

impl fmt::Display for DropCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Minimum size of a datagram that opens a connection (RFC 9000, section 14.1).
const MIN_FIRST_PACKET_BYTES: usize = 1200;

impl Classifier {
    /// Decides to which agent the QUIC packet of a caller is forwarded.
    #[must_use]
    pub fn classify(&self, endpoints: &Endpoints, packet: &[u8]) -> Verdict {
        let Some(service) = self.table.service_by_address(endpoints.service) else {
            return Verdict::Drop(DropCause::Route(DropReason::UnknownService));
        };
        match QuicHeader::decode(packet) {
            Ok(QuicHeader::Short { dcid }) => self.classify_short(service, dcid),
            Ok(QuicHeader::Long { kind, dcid }) => self.classify_long(service, kind, dcid, packet),
            Err(e) => Verdict::Drop(DropCause::Undecodable(e.category())),
        }
    }

    /// Checks that `from` is an agent of the service of an answer, so that no
    /// host can answer for another service.
    ///
    /// # Errors
    ///
    /// The service is unknown, or `from` is not an agent of it.
    pub fn check_answer(&self, from: SocketAddr, endpoints: &Endpoints) -> Result<(), DropCause> {
        let service = self
            .table
            .service_by_address(endpoints.service)
            .ok_or(DropCause::Route(DropReason::UnknownService))?;
        if self.is_agent_of(from, service) {
            Ok(())
        } else {
            Err(DropCause::UnauthorizedSender)
        }
    }

    fn classify_short(&self, service: ServiceId, dcid: &[u8]) -> Verdict {
        match self.decode_id(dcid) {
            Some(id) => self.classify_by_id(service, dcid, &id),
            None => Verdict::Drop(DropCause::Undecodable(wire::Category::UnknownId)),
        }
    }

    fn classify_long(
        &self,
        service: ServiceId,
        kind: LongHeaderKind,
        dcid: &[u8],
        packet: &[u8],
    ) -> Verdict {
        match (self.decode_id(dcid), kind) {
            (Some(id), _) => self.classify_by_id(service, dcid, &id),
            (None, LongHeaderKind::Handshake) => {
                Verdict::Drop(DropCause::Undecodable(wire::Category::UnknownId))
            }
            (None, LongHeaderKind::MayOpen) if packet.len() < MIN_FIRST_PACKET_BYTES => {
                Verdict::Drop(DropCause::UndersizedFirstPacket)
            }
            (None, LongHeaderKind::MayOpen) => {
                let flow = flow_key(service, dcid);
                verdict_of(self.table.decide(service, flow, FlowPhase::New, None))
            }
        }
    }

    fn classify_by_id(&self, service: ServiceId, dcid: &[u8], id: &wire::ConnectionId) -> Verdict {
        if id.tag != ServiceTag::from(service) {
            return Verdict::Drop(DropCause::Route(DropReason::OtherService));
        }
        let flow = flow_key(service, dcid);
        let upstream = Some(id.upstream);
        verdict_of(
            self.table
                .decide(service, flow, FlowPhase::Established, upstream),
        )
    }

    fn decode_id(&self, dcid: &[u8]) -> Option<wire::ConnectionId> {
        self.keys.as_ref()?.decode(dcid).ok()
    }
}

fn verdict_of(decision: Decision) -> Verdict {
    match decision {
        Decision::Forward(hop) | Decision::PassOn(hop) => Verdict::Forward(hop),
        Decision::Drop(reason) => Verdict::Drop(DropCause::Route(reason)),
    }
}
