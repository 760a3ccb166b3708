//! Messages between the agents of one service.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use types::{ClassLoads, ClassName, ReservationId, ServiceId, UpstreamId};

/// Asks a peer to hold a slot for a request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Identity of the reservation.
    pub id: ReservationId,
    /// Service of the request.
    pub service: ServiceId,
    /// Upstream that is meant; another incarnation refuses.
    pub upstream: UpstreamId,
    /// Upstream whose agent asks.
    pub from: UpstreamId,
    /// Class of work of the request.
    pub class: ClassName,
    /// Time that the reservation is held if it is not claimed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold: Duration,
}

/// Offers a slot to a peer that was refused one before.
///
/// The peer passes a request against the reservation or releases it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferRequest {
    /// Identity of the reservation.
    pub id: ReservationId,
    /// Service of the slot.
    pub service: ServiceId,
    /// Upstream that is meant; another incarnation ignores the offer.
    pub upstream: UpstreamId,
    /// Upstream that holds the slot.
    pub from: UpstreamId,
    /// Class of work of the slot.
    pub class: ClassName,
}

/// Reply to a [`ReserveRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveReply {
    /// The slot is held.
    Granted,
    /// No slot is free, or the peer takes no new work.
    Refused {
        /// Present loads of the peer.
        loads: ClassLoads,
    },
    /// The request is for another service or another incarnation.
    Misdirected,
}

/// Header fields of a request that is sent to a peer against a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimHeader;

impl ClaimHeader {
    /// Carries the [`ReservationId`].
    pub const RESERVATION: &'static str = "limpet-reservation";
    /// Carries the [`ServiceId`].
    pub const SERVICE: &'static str = "limpet-service";
    /// Carries the [`UpstreamId`] that is meant.
    pub const UPSTREAM: &'static str = "limpet-upstream";
    /// Remaining time of the caller's deadline in milliseconds.
    pub const TIMEOUT_MS: &'static str = "limpet-timeout-ms";
    /// Outcome of a request that the system answers itself.
    pub const OUTCOME: &'static str = "limpet-outcome";
    /// Value of [`Self::OUTCOME`]: no upstream has seen the request.
    pub const NOT_RUN: &'static str = "not-run";
    /// Value of [`Self::OUTCOME`]: an upstream has run a request with the same
    /// idempotency key; its answer is not kept.
    pub const RAN: &'static str = "ran";
    /// Value of [`Self::OUTCOME`]: an upstream may have run the request.
    pub const UNKNOWN: &'static str = "unknown";
}
