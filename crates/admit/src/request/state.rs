//! State of a request that waits or runs here.

use std::time::Instant;

use types::{ClassName, UpstreamId};

/// A request without a final decision, or one that runs here.
#[derive(Debug, Clone)]
pub(crate) enum State {
    Running(Running),
    Waiting(Waiting),
}

/// A request that holds a slot.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) class: ClassName,
    pub(crate) since: Instant,
}

/// A request that asks peers, is queued, or both.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) class: ClassName,
    /// When the request is refused at the latest.
    pub(crate) until: Instant,
    pub(crate) deadline: Option<Instant>,
    /// Key in the queue of the class; `None` if it only asks peers.
    pub(crate) place: Option<u64>,
    /// Peer whose answer is awaited; at most one at a time.
    pub(crate) asked: Option<UpstreamId>,
    /// Peers asked in the first round.
    pub(crate) tried: Vec<UpstreamId>,
    /// Whether the first round is over: from then on one peer is asked at a
    /// time, at the rate of the class.
    pub(crate) round_over: bool,
    /// Never queued, because the upstream here failed it before.
    pub(crate) exclude_local: bool,
}

/// A slot that is held for a peer.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub(crate) class: ClassName,
    pub(crate) expires: Instant,
}
