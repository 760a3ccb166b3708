//! Reads that wait for a heartbeat round.

use super::RequestToken;

/// Reads that wait for a heartbeat round which began after they were requested.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingReads {
    /// Reads and the first round that can confirm each, in ascending order of
    /// rounds.
    waiting: Vec<(RequestToken, u64)>,
}

impl PendingReads {
    /// Adds a read; `round` is the latest round that has begun.
    pub fn add(&mut self, token: RequestToken, round: u64) {
        self.waiting.push((token, round + 1));
    }

    /// Whether a read waits for a round after `round`.
    pub fn need_round_after(&self, round: u64) -> bool {
        self.waiting.iter().any(|(_, needed)| *needed > round)
    }

    /// Removes and returns the reads that are confirmed once a quorum has replied
    /// to `round`.
    pub fn take_confirmed(&mut self, round: u64) -> Vec<RequestToken> {
        let count = self.waiting.partition_point(|(_, needed)| *needed <= round);
        self.waiting
            .drain(..count)
            .map(|(token, _)| token)
            .collect()
    }

    /// Removes and returns all reads.
    pub fn take_all(&mut self) -> Vec<RequestToken> {
        self.take_confirmed(u64::MAX)
    }
}
