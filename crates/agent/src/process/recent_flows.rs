//! Memory of the flows that opened here.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use types::FlowKey;

/// Longest time for which a handshake repeats its first packets.
const MAX_HANDSHAKE_DURATION: Duration = Duration::from_secs(5);

/// Flows remembered in each half; bounds the memory in a flood.
const MAX_FLOWS_PER_GENERATION: usize = 1 << 15;

/// Remembers the flows that opened recently, for one to two times
/// [`HANDSHAKE`].
///
/// A leaving agent keeps the handshakes that it has begun and passes other
/// first packets on.
#[derive(Debug)]
pub struct RecentFlows {
    current: BTreeSet<FlowKey>,
    previous: BTreeSet<FlowKey>,
    /// When `recent` becomes `older`.
    rotate_at: Instant,
}

impl RecentFlows {
    /// An empty memory.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        RecentFlows {
            current: BTreeSet::new(),
            previous: BTreeSet::new(),
            rotate_at: now + MAX_HANDSHAKE_DURATION,
        }
    }

    /// Remembers a flow.
    pub fn insert(&mut self, now: Instant, flow: FlowKey) {
        if now >= self.rotate_at {
            self.previous = std::mem::take(&mut self.current);
            self.rotate_at = now + MAX_HANDSHAKE_DURATION;
        }
        if self.current.len() < MAX_FLOWS_PER_GENERATION {
            self.current.insert(flow);
        }
    }

    /// Whether the flow opened here recently.
    #[must_use]
    pub fn contains(&self, flow: FlowKey) -> bool {
        self.current.contains(&flow) || self.previous.contains(&flow)
    }
}
