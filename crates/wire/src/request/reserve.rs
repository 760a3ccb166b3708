//! Messages by which the agents of one service reserve slots at each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use types::{ClassLoads, ClassName, ReservationId, ServiceId, UpstreamId};

/// Asks a peer to reserve a slot for a request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Id of the reservation.
    pub id: ReservationId,
    /// Service of the request.
    pub service: ServiceId,
    /// Upstream that the request is for; another incarnation refuses.
    pub upstream: UpstreamId,
    /// Upstream whose agent sends the request.
    pub from: UpstreamId,
    /// Class of work of the request.
    pub class: ClassName,
    /// Time after which an unclaimed reservation expires.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold: Duration,
}

/// Offers a slot to a peer that was refused one earlier.
///
/// The peer forwards a request with the reservation or releases it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferRequest {
    /// Id of the reservation.
    pub id: ReservationId,
    /// Service of the slot.
    pub service: ServiceId,
    /// Upstream that the offer is for; another incarnation ignores it.
    pub upstream: UpstreamId,
    /// Upstream that has reserved the slot.
    pub from: UpstreamId,
    /// Class of work of the slot.
    pub class: ClassName,
}

/// Reply to a [`ReserveRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveReply {
    /// The slot is reserved.
    Granted,
    /// No slot is free, or the peer accepts no new work.
    Refused {
        /// Current loads of the peer.
        loads: ClassLoads,
    },
    /// The request is for another service or another incarnation.
    Misdirected,
}

/// Header fields of a request that is forwarded to a peer with a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimHeader;

impl ClaimHeader {
    /// Carries the [`ReservationId`].
    pub const RESERVATION: &'static str = "limpet-reservation";
    /// Carries the [`ServiceId`].
    pub const SERVICE: &'static str = "limpet-service";
    /// Carries the [`UpstreamId`] that the request is for.
    pub const UPSTREAM: &'static str = "limpet-upstream";
    /// Remaining time of the caller's deadline in milliseconds.
    pub const TIMEOUT_MS: &'static str = "limpet-timeout-ms";
    /// Outcome of a request that is answered by limpetplank, not by an upstream.
    pub const OUTCOME: &'static str = "limpet-outcome";
    /// Value of [`Self::OUTCOME`]: no upstream has received the request.
    pub const NOT_RUN: &'static str = "not-run";
    /// Value of [`Self::OUTCOME`]: an upstream has run a request with the same
    /// idempotency key, but its answer is not stored.
    pub const RAN: &'static str = "ran";
    /// Value of [`Self::OUTCOME`]: an upstream may have run the request.
    pub const UNKNOWN: &'static str = "unknown";
}
