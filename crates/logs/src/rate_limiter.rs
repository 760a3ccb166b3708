//! Limits the number of log lines of each kind per second.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Limit for each kind of line. A line costs about ten microseconds, so all
/// kinds together stay below one percent of a core.
pub const MAX_LINES_PER_KIND_PER_SECOND: u32 = 40;

/// Length of the fixed window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A fixed-window rate limiter with a counter for each kind of line.
#[derive(Debug)]
pub struct RateLimiter {
    window_end: Instant,
    written_by_kind: BTreeMap<String, u32>,
    /// Lines suppressed since the last report, by kind.
    suppressed_by_kind: BTreeMap<String, u64>,
}

impl RateLimiter {
    /// Creates a rate limiter whose first window begins at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        RateLimiter {
            window_end: now + WINDOW,
            written_by_kind: BTreeMap::new(),
            suppressed_by_kind: BTreeMap::new(),
        }
    }

    /// Whether a line of this kind may be written; if not, counts it as
    /// suppressed. The first line of a kind in a window always may.
    pub fn allow(&mut self, kind: &str, now: Instant) -> bool {
        if now >= self.window_end {
            self.window_end = now + WINDOW;
            self.written_by_kind.clear();
        }
        let Some(written) = self.written_by_kind.get_mut(kind) else {
            self.written_by_kind.insert(kind.to_owned(), 1);
            return true;
        };
        *written += 1;
        if *written <= MAX_LINES_PER_KIND_PER_SECOND {
            return true;
        }
        self.count_suppressed(kind);
        false
    }

    /// Counts a suppressed line.
    pub fn count_suppressed(&mut self, kind: &str) {
        match self.suppressed_by_kind.get_mut(kind) {
            Some(count) => *count += 1,
            None => drop(self.suppressed_by_kind.insert(kind.to_owned(), 1)),
        }
    }

    /// Takes the counts of the lines suppressed since the last call; empty
    /// until the current window has ended.
    pub fn take_suppressed(&mut self, now: Instant) -> BTreeMap<String, u64> {
        if now < self.window_end {
            return BTreeMap::new();
        }
        std::mem::take(&mut self.suppressed_by_kind)
    }
}
