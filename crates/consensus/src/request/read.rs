//! Reads that wait for a round of heartbeats.

use super::RequestToken;

/// Reads that wait for a round of heartbeats which began after them.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    /// Each with the first round that confirms it, in ascending order.
    waiting: Vec<(RequestToken, u64)>,
}

impl Reads {
    /// Adds a read; `round` is the latest round that has begun.
    pub fn add(&mut self, token: RequestToken, round: u64) {
        self.waiting.push((token, round + 1));
    }

    /// Whether a read waits for a round after `round`.
    pub fn need_round_after(&self, round: u64) -> bool {
        self.waiting.iter().any(|(_, needed)| *needed > round)
    }

    /// Takes the reads that a majority's answer to `round` confirms.
    pub fn take_confirmed(&mut self, round: u64) -> Vec<RequestToken> {
        let count = self.waiting.partition_point(|(_, needed)| *needed <= round);
        self.waiting
            .drain(..count)
            .map(|(token, _)| token)
            .collect()
    }

    /// Takes all reads.
    pub fn take_all(&mut self) -> Vec<RequestToken> {
        self.take_confirmed(u64::MAX)
    }
}
