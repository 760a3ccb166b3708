//! Memory of the flows that opened here.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use types::FlowKey;

/// Longest time for which a handshake repeats its first packets.
const HANDSHAKE: Duration = Duration::from_secs(5);

/// Flows remembered in each half; bounds the memory in a flood.
const LIMIT: usize = 1 << 15;

/// Remembers the flows that opened recently, for one to two times
/// [`HANDSHAKE`].
///
/// A leaving agent keeps the handshakes that it has begun and passes other
/// first packets on.
#[derive(Debug)]
pub struct Openers {
    recent: BTreeSet<FlowKey>,
    older: BTreeSet<FlowKey>,
    /// When `recent` becomes `older`.
    turn_at: Instant,
}

impl Openers {
    /// An empty memory.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Openers {
            recent: BTreeSet::new(),
            older: BTreeSet::new(),
            turn_at: now + HANDSHAKE,
        }
    }

    /// Remembers a flow.
    pub fn insert(&mut self, now: Instant, flow: FlowKey) {
        if now >= self.turn_at {
            self.older = std::mem::take(&mut self.recent);
            self.turn_at = now + HANDSHAKE;
        }
        if self.recent.len() < LIMIT {
            self.recent.insert(flow);
        }
    }

    /// Whether the flow opened here recently.
    #[must_use]
    pub fn contains(&self, flow: FlowKey) -> bool {
        self.recent.contains(&flow) || self.older.contains(&flow)
    }
}
