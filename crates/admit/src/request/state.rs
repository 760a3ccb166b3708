//! State of a request that waits or runs at this agent.

use std::{net::IpAddr, time::Instant};

use types::{ClassName, UpstreamId};

/// A request without a final decision, or one that runs on the local upstream.
#[derive(Debug, Clone)]
pub(crate) enum RequestState {
    Running(Running),
    Waiting(Waiting),
}

/// A request that holds a slot.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) class: ClassName,
    pub(crate) started_at: Instant,
}

/// A request that asks peers, is queued, or both.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) class: ClassName,
    /// Instant at which the request is refused if it still waits.
    pub(crate) timeout_at: Instant,
    pub(crate) deadline: Option<Instant>,
    /// Address of the caller, if it is known.
    pub(crate) caller: Option<IpAddr>,
    pub(crate) place: QueuePlace,
    /// Peer that was asked and has not answered; at most one at a time.
    pub(crate) awaited_peer: Option<UpstreamId>,
    /// Peers asked in the first round.
    pub(crate) asked_peers: Vec<UpstreamId>,
    /// Whether the first round of asking peers is over. After it, the class asks
    /// one peer per `ask_interval`.
    pub(crate) first_round_done: bool,
    /// Never queued here, because an earlier attempt failed at this upstream.
    pub(crate) exclude_local: bool,
}

/// Whether a waiting request is in the queue of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueuePlace {
    Outside,
    Queued,
    /// A request of a caller with a smaller share took its place; the next tick refuses it.
    Displaced,
}

/// A slot that is reserved for a peer.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub(crate) class: ClassName,
    pub(crate) expires: Instant,
}
