//! Inputs and decisions of one request.

use std::{net::IpAddr, time::Instant};

use types::{ClassLoads, ClassName, RequestId, ReservationId, RetryAfter, UpstreamId};

/// A request as it arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of the request; unique among the waiting and running requests.
    pub id: RequestId,
    /// Class of work.
    pub class: ClassName,
    /// Address of the caller; `None` if it is unknown.
    pub caller: Option<IpAddr>,
    /// Deadline of the caller.
    pub deadline: Option<Instant>,
    /// Whether a peer handed the request off. Such a request runs at once or
    /// is refused, which prevents forwarding loops among agents.
    pub handed_off: bool,
    /// Whether an earlier attempt failed at the local upstream. Such a request
    /// may only be handed off to a peer.
    pub exclude_local: bool,
}

impl RequestInfo {
    /// A request of a caller of this agent, without a deadline.
    #[must_use]
    pub fn new(id: RequestId, class: ClassName) -> Self {
        RequestInfo {
            id,
            class,
            caller: None,
            deadline: None,
            handed_off: false,
            exclude_local: false,
        }
    }
}

/// Next action of the agent for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to the local upstream. It holds a slot until
    /// [`finish`](crate::Admission::finish) or
    /// [`cancel`](crate::Admission::cancel). Final.
    Run,
    /// Ask this peer for a reservation and pass its answer to
    /// [`handle_peer_answer`](crate::Admission::handle_peer_answer). The request may
    /// meanwhile get another decision by a [`DeferredDecision`].
    AskPeer {
        /// Peer to ask.
        peer: UpstreamId,
    },
    /// The peer has reserved a slot: send the request there. The admission
    /// drops the request. Final.
    Forward {
        /// Peer that granted the reservation.
        peer: UpstreamId,
    },
    /// The peer has reserved a slot that is no longer needed: tell it to
    /// release the reservation. The request already got its final decision.
    Release {
        /// Peer that granted the reservation.
        peer: UpstreamId,
    },
    /// Keep the request; a [`DeferredDecision`] for it follows by `until`.
    Queue {
        /// Instant by which the request gets its final decision.
        until: Instant,
    },
    /// Refuse the request, which was not run. Final.
    Refuse(RefusalReason),
}

impl Decision {
    /// Returns true if no further decision follows for the request.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(
            self,
            Decision::Run | Decision::Forward { .. } | Decision::Refuse(_)
        )
    }
}

/// Reason for a refusal. A refused request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RefusalReason {
    /// The service has no target for the class.
    #[error("the class of work has no target")]
    UnknownClass,
    /// No slot is free and the queue is full.
    #[error("no slot is free and the queue is full")]
    QueueFull,
    /// No slot became free within `queue_timeout`.
    #[error("no slot became free in time")]
    QueueTimeout,
    /// The deadline has passed, or would pass before the request completes.
    #[error("the deadline cannot be met")]
    Deadline,
    /// A handed-off request found no free slot.
    #[error("no slot is free for a request that was handed off")]
    NoFreeSlot,
    /// The upstream takes no new work and no peer took the request.
    #[error("the upstream takes no new work")]
    NotServing,
    /// The id is in use by another request.
    #[error("the request id is in use")]
    DuplicateId,
}

/// A refusal as the caller is told of it. The request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// When the caller may send it again.
    pub retry_after: RetryAfter,
}

impl Refusal {
    /// A refusal that does not depend on the backlog.
    #[must_use]
    pub fn without_backlog(reason: RefusalReason) -> Self {
        Refusal {
            reason,
            retry_after: RetryAfter(1),
        }
    }
}

/// A decision about a request that was queued or waiting for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeferredDecision {
    /// Id of the request.
    pub id: RequestId,
    /// Next action for the request.
    pub decision: Decision,
}

/// Answer of a peer that was asked for a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The peer has reserved a slot.
    Granted,
    /// The peer reserved no slot; carries its current loads.
    Refused(ClassLoads),
    /// The peer did not answer in time, or no connection could be opened.
    Unreachable,
}

/// Answer to a peer that asks for a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationAnswer {
    /// A slot is reserved until this instant.
    Granted {
        /// Instant at which the reservation expires.
        expires: Instant,
    },
    /// No slot is reserved; carries the current loads.
    Refused(ClassLoads),
}

/// A slot reserved for a peer that was refused earlier.
///
/// The peer forwards a queued request under the reservation, or releases it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Peer that receives the offer.
    pub peer: UpstreamId,
    /// Class of the slot.
    pub class: ClassName,
    /// Id of the reservation.
    pub id: ReservationId,
}

/// Answer to a peer that sends a request under a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request uses the reserved slot: send it to the upstream.
    Run,
    /// The reservation is unknown or expired, or the upstream is down. The
    /// request was not run, and the sending agent decides again.
    Lapsed,
}

/// Outcome of a request that ran on the local upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was received; its duration is a service time sample.
    Completed,
    /// The upstream answered that it is shedding load.
    Shed,
    /// The upstream failed after the first byte was sent.
    Failed,
    /// No byte was sent, as when the connection was refused.
    NotStarted,
}
