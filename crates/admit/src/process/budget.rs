//! Retry budget.

/// Token bucket that limits retries to a tenth of the requests plus a small
/// initial allowance, so that retries do not overload a failing service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    /// Balance in tenths of a token; at most `MAX_TENTHS`.
    tenths: u32,
}

/// Cost of one retry in tenths of a token.
const TENTHS_PER_RETRY: u32 = 10;

/// Initial balance, so that an agent with few requests can retry.
const INITIAL_TENTHS: u32 = 3 * TENTHS_PER_RETRY;

/// Maximum balance, which bounds the burst of retries after a long run without
/// failures.
const MAX_TENTHS: u32 = 20 * TENTHS_PER_RETRY;

impl RetryBudget {
    /// Creates a budget with the initial balance.
    #[must_use]
    pub fn new() -> Self {
        RetryBudget {
            tenths: INITIAL_TENTHS,
        }
    }

    /// Adds a tenth of a token for a request that arrived.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_TENTHS);
    }

    /// Withdraws one token. Returns false if the balance is too low.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let enough = self.tenths >= TENTHS_PER_RETRY;
        if enough {
            self.tenths -= TENTHS_PER_RETRY;
        }
        enough
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
