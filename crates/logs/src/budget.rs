//! The number of lines of each kind in a second.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Lines of one kind in a second. A line costs some ten microseconds, so all
/// kinds together stay below a hundredth of a core.
pub const PER_SECOND: u32 = 40;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Decides which lines are written.
#[derive(Debug)]
pub struct Budget {
    window_ends: Instant,
    written: BTreeMap<String, u32>,
    /// Lines that were left out since they were last told, by kind.
    left_out: BTreeMap<String, u64>,
}

impl Budget {
    /// A budget whose first window begins now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Budget {
            window_ends: now + WINDOW,
            written: BTreeMap::new(),
            left_out: BTreeMap::new(),
        }
    }

    /// Whether a line of this kind is written. The first one in a window always is.
    pub fn take(&mut self, kind: &str, now: Instant) -> bool {
        if now >= self.window_ends {
            self.window_ends = now + WINDOW;
            self.written.clear();
        }
        let Some(written) = self.written.get_mut(kind) else {
            self.written.insert(kind.to_owned(), 1);
            return true;
        };
        *written += 1;
        if *written <= PER_SECOND {
            return true;
        }
        self.leave_out(kind);
        false
    }

    /// Counts a line that was left out.
    pub fn leave_out(&mut self, kind: &str) {
        match self.left_out.get_mut(kind) {
            Some(count) => *count += 1,
            None => drop(self.left_out.insert(kind.to_owned(), 1)),
        }
    }

    /// The lines left out since the last call, once a new window has begun.
    pub fn take_left_out(&mut self, now: Instant) -> BTreeMap<String, u64> {
        if now < self.window_ends {
            return BTreeMap::new();
        }
        std::mem::take(&mut self.left_out)
    }
}
