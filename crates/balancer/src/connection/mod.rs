//! Reading one datagram.

use std::{fmt, net::SocketAddr};

use route::{Decision, DropReason, Hop, flow_key};
use types::{FlowPhase, ServiceId};
use wire::{Endpoints, LongHeaderKind, QuicHeader, ServiceTag};

use crate::Classifier;

/// What happens to a datagram of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to this agent.
    Forward(Hop),
    /// Drop it.
    Drop(DropCause),
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropCause {
    /// It could not be read.
    Undecodable(wire::Category),
    /// The table has no place for it.
    Route(DropReason),
    /// Smaller than the first packet of a connection must be.
    Undersized,
    /// With its prefix it is larger than a UDP datagram can be.
    Oversized,
    /// An answer from a host that is no agent of the service.
    UnauthorizedSender,
    /// A probe that is not answered: its sender is no agent, or answers cannot
    /// leave through this balancer.
    UnansweredProbe,
    /// The socket would not take it.
    SendFailed,
    /// The socket returned an error instead of a datagram.
    ReceiveFailed,
}

impl DropCause {
    /// Label of the cause in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            DropCause::Undecodable(category) => category.as_str(),
            DropCause::Route(reason) => reason.as_str(),
            DropCause::Undersized => "undersized",
            DropCause::Oversized => "oversized",
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

/// Smallest datagram that may open a connection (RFC 9000, section 14.1).
const MIN_OPENING: usize = 1200;

impl Classifier {
    /// Decides where the QUIC packet of a caller goes.
    #[must_use]
    pub fn classify(&self, endpoints: &Endpoints, packet: &[u8]) -> Verdict {
        let Some(service) = self.table.service_by_address(endpoints.service) else {
            return Verdict::Drop(DropCause::Route(DropReason::UnknownService));
        };
        match QuicHeader::decode(packet) {
            Ok(QuicHeader::Short { dcid }) => self.established(service, dcid),
            Ok(QuicHeader::Long { kind, dcid }) => self.handshake(service, kind, dcid, packet),
            Err(e) => Verdict::Drop(DropCause::Undecodable(e.category())),
        }
    }

    /// Checks that an answer with these endpoints may leave: `from` must be an
    /// agent of the service, so that no host answers for another service.
    ///
    /// # Errors
    ///
    /// The service is unknown, or `from` is no agent of it.
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

    fn established(&self, service: ServiceId, dcid: &[u8]) -> Verdict {
        match self.decode(dcid) {
            Some(id) => self.by_id(service, dcid, &id),
            None => Verdict::Drop(DropCause::Undecodable(wire::Category::UnknownId)),
        }
    }

    fn handshake(
        &self,
        service: ServiceId,
        kind: LongHeaderKind,
        dcid: &[u8],
        packet: &[u8],
    ) -> Verdict {
        match (self.decode(dcid), kind) {
            (Some(id), _) => self.by_id(service, dcid, &id),
            (None, LongHeaderKind::Handshake) => {
                Verdict::Drop(DropCause::Undecodable(wire::Category::UnknownId))
            }
            (None, LongHeaderKind::MayOpen) if packet.len() < MIN_OPENING => {
                Verdict::Drop(DropCause::Undersized)
            }
            (None, LongHeaderKind::MayOpen) => {
                let flow = flow_key(service, dcid);
                verdict(self.table.decide(service, flow, FlowPhase::New, None))
            }
        }
    }

    fn by_id(&self, service: ServiceId, dcid: &[u8], id: &wire::ConnectionId) -> Verdict {
        if id.tag != ServiceTag::from(service) {
            return Verdict::Drop(DropCause::Route(DropReason::OtherService));
        }
        let flow = flow_key(service, dcid);
        let upstream = Some(id.upstream);
        verdict(
            self.table
                .decide(service, flow, FlowPhase::Established, upstream),
        )
    }

    fn decode(&self, dcid: &[u8]) -> Option<wire::ConnectionId> {
        self.keys.as_ref()?.decode(dcid).ok()
    }
}

fn verdict(decision: Decision) -> Verdict {
    match decision {
        Decision::Forward(hop) | Decision::PassOn(hop) => Verdict::Forward(hop),
        Decision::Drop(reason) => Verdict::Drop(DropCause::Route(reason)),
    }
}
