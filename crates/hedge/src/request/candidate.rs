//! Upstreams that may receive a hedge.

use types::{ClassLoad, UpstreamId};

/// An upstream of the service other than the one that has the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub id: UpstreamId,
    /// Whether it may receive hedges.
    pub state: CandidateState,
    /// Its last known load of the request's class.
    pub load: ClassLoad,
}

/// State of an upstream as far as hedges are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CandidateState {
    /// Carries its full share of requests.
    Warm,
    /// Started recently; carries less than its full share.
    Cold,
    /// Accepts no new work.
    Draining,
    /// Its data centre is evacuated.
    Evacuated,
}

impl Candidate {
    /// Whether a hedge may be sent to the upstream.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        self.state == CandidateState::Warm
            && self.load.queued.0 == 0
            && self.load.in_flight < self.load.slots
    }

    /// Load in thousandths of the slots.
    pub(crate) fn utilization_permille(&self) -> u64 {
        let slots = u64::from(self.load.slots.0).max(1);
        u64::from(self.load.in_flight.0) * 1000 / slots
    }
}
