//! Set of the flows that were opened recently at this agent.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use types::FlowKey;

/// Longest time for which a caller retransmits Initial packets of a handshake.
const MAX_HANDSHAKE_DURATION: Duration = Duration::from_secs(5);

/// Limit of flows per generation; bounds the memory in a flood of Initial packets.
const MAX_FLOWS_PER_GENERATION: usize = 1 << 15;

/// Flows that were opened recently, kept for one to two times
/// [`MAX_HANDSHAKE_DURATION`].
///
/// A draining agent continues the handshakes that it has started and passes
/// other Initial packets on to a peer.
#[derive(Debug)]
pub struct RecentFlows {
    current: BTreeSet<FlowKey>,
    previous: BTreeSet<FlowKey>,
    /// When `current` becomes `previous`.
    rotate_at: Instant,
}

impl RecentFlows {
    /// Creates an empty set.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        RecentFlows {
            current: BTreeSet::new(),
            previous: BTreeSet::new(),
            rotate_at: now + MAX_HANDSHAKE_DURATION,
        }
    }

    /// Adds a flow, unless the generation is full.
    pub fn insert(&mut self, now: Instant, flow: FlowKey) {
        if now >= self.rotate_at {
            self.previous = std::mem::take(&mut self.current);
            self.rotate_at = now + MAX_HANDSHAKE_DURATION;
        }
        if self.current.len() < MAX_FLOWS_PER_GENERATION {
            self.current.insert(flow);
        }
    }

    /// Whether the flow was opened recently.
    #[must_use]
    pub fn contains(&self, flow: FlowKey) -> bool {
        self.current.contains(&flow) || self.previous.contains(&flow)
    }
}
