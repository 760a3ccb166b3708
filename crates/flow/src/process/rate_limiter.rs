//! Rate limiter.

use std::time::{Duration, Instant};

/// Limits how often an operation runs in a second. Unused permits expire after
/// a second.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: u32,
    /// Instant at which all permits are available again; at most one second
    /// after the last call.
    full_at: Option<Instant>,
}

impl RateLimiter {
    /// A limiter with all of its `per_second` permits available.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        RateLimiter {
            per_second,
            full_at: None,
        }
    }

    /// Takes `count` permits if they are available. A `count` above
    /// `per_second` is granted when no permit was taken for a second.
    pub fn try_acquire(&mut self, count: usize, now: Instant) -> bool {
        let second = Duration::from_secs(1);
        let full_at = self.full_at.map_or(now, |at| at.max(now));
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let cost = (second * count.min(self.per_second)) / self.per_second.max(1);
        if full_at + cost > now + second {
            return false;
        }
        self.full_at = Some(full_at + cost);
        true
    }
}
