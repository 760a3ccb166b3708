//! Inputs and decisions of one request.

use std::time::Instant;

use types::{ClassName, Loads, RequestId, ReservationId, UpstreamId};

/// A request as it arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// Number of the request; not in use by another one.
    pub id: RequestId,
    /// Class of work.
    pub class: ClassName,
    /// Instant after which the caller no longer waits.
    pub deadline: Option<Instant>,
    /// Whether a peer handed the request off. Such a request runs at once or
    /// is refused, so it never goes round among agents.
    pub handed_off: bool,
    /// Whether an earlier attempt failed at this upstream. Such a request is
    /// only handed off.
    pub exclude_local: bool,
}

impl RequestInfo {
    /// A request of a caller of this agent, without a deadline.
    #[must_use]
    pub fn new(id: RequestId, class: ClassName) -> Self {
        RequestInfo {
            id,
            class,
            deadline: None,
            handed_off: false,
            exclude_local: false,
        }
    }
}

/// What the agent does next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the upstream. A slot is taken until
    /// [`finish`](crate::Admission::finish) or
    /// [`cancel`](crate::Admission::cancel). Final.
    Run,
    /// Ask this peer for a reservation and report the answer with
    /// [`handle_peer_answer`](crate::Admission::handle_peer_answer). The request may
    /// meanwhile get another decision by a [`DeferredDecision`].
    AskPeer {
        /// Peer to ask.
        peer: UpstreamId,
    },
    /// The peer holds a slot: send the request there. The request is
    /// forgotten here. Final.
    Forward {
        /// Peer that granted the reservation.
        peer: UpstreamId,
    },
    /// The peer holds a slot that is no longer needed: tell it to release the
    /// reservation. The request itself got its final decision before.
    Release {
        /// Peer that granted the reservation.
        peer: UpstreamId,
    },
    /// Keep it; a [`DeferredDecision`] with another decision comes by `until`.
    Queue {
        /// Instant by which the request has got its final decision.
        until: Instant,
    },
    /// Refuse it as not run. Final.
    Refuse(RefusalReason),
}

impl Decision {
    /// Whether no further decision follows for the request.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(
            self,
            Decision::Run | Decision::Forward { .. } | Decision::Refuse(_)
        )
    }
}

/// Why a request was refused; it was not run in any of these cases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RefusalReason {
    /// No target names the class.
    #[error("the class of work has no target")]
    UnknownClass,
    /// No slot is free and the queue is full.
    #[error("no slot is free and the queue is full")]
    QueueFull,
    /// No slot became free in the longest time a request is queued.
    #[error("no slot became free in time")]
    QueueTimeout,
    /// The deadline passed, or would pass before the request is done.
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

/// A decision about a request that was waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeferredDecision {
    /// The request.
    pub id: RequestId,
    /// What to do with it.
    pub decision: Decision,
}

/// Answer of a peer that was asked for a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The peer holds a slot.
    Granted,
    /// The peer holds no slot; its present loads.
    Refused(Loads),
    /// No answer in time, or no connection.
    Unreachable,
}

/// Answer to a peer that asks for a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationAnswer {
    /// A slot is held until this instant.
    Granted {
        /// When the reservation lapses.
        expires: Instant,
    },
    /// No slot is held; the present loads.
    Refused(Loads),
}

/// A slot held for a peer that was refused before.
///
/// The peer passes a queued request against the reservation or releases it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Peer to tell.
    pub peer: UpstreamId,
    /// Class of the slot.
    pub class: ClassName,
    /// The reservation.
    pub id: ReservationId,
}

/// Answer to a peer that sends a request against a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request takes the reserved slot: send it to the upstream.
    Run,
    /// The reservation is unknown or has lapsed, or the upstream is down: the
    /// request was not run, and the agent that sent it decides again.
    Lapsed,
}

/// How a request that ran here ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer came; its time is a sample of the service time.
    Completed,
    /// The upstream answered that it sheds load.
    Shed,
    /// The upstream failed after the first byte was sent.
    Failed,
    /// No byte was sent, as when the connection was refused.
    NotStarted,
}
