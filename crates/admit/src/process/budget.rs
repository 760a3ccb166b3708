//! Bound on retries.

/// Retries in proportion to requests, so that a failing service is not flooded
/// by repeats: a tenth of the requests, and a few from the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    /// Tenths of a token; at most `MAX_TENTHS`.
    tenths: u32,
}

/// Tenths of a token that one retry costs.
const RETRY: u32 = 10;

/// Tokens at the start, so that a quiet agent can retry at all.
const START_TENTHS: u32 = 3 * RETRY;

/// Most tokens that are kept: a burst of retries after a long quiet run must
/// stay small.
const MAX_TENTHS: u32 = 20 * RETRY;

impl RetryBudget {
    /// A budget with a few tokens.
    #[must_use]
    pub fn new() -> Self {
        RetryBudget {
            tenths: START_TENTHS,
        }
    }

    /// Counts a request that arrived: earns a tenth of a token.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_TENTHS);
    }

    /// Takes a token if there is one.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let enough = self.tenths >= RETRY;
        if enough {
            self.tenths -= RETRY;
        }
        enough
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
