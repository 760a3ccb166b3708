//! A bound on how often something is done.

use std::time::{Duration, Instant};

/// A bound on how often something is done in a second. What is not used within
/// a second is lost.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: u32,
    /// The allowance is whole again at this instant; never more than a second
    /// ahead of the last call.
    whole_at: Option<Instant>,
}

impl RateLimiter {
    /// An allowance that nothing was taken from.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        RateLimiter {
            per_second,
            whole_at: None,
        }
    }

    /// Takes `count` if that much is left. A `count` above a whole allowance
    /// is given when nothing was taken for a second.
    pub fn try_acquire(&mut self, count: usize, now: Instant) -> bool {
        let second = Duration::from_secs(1);
        let whole_at = self.whole_at.map_or(now, |at| at.max(now));
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let cost = (second * count.min(self.per_second)) / self.per_second.max(1);
        if whole_at + cost > now + second {
            return false;
        }
        self.whole_at = Some(whole_at + cost);
        true
    }
}
