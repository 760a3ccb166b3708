//! When refused callers should send their requests again.

use std::time::{Duration, Instant};

use types::RetryAfter;

/// Maximum time after which a caller is asked to return. The rate at which requests are
/// served then is not known.
const MAX_DELAY: Duration = Duration::from_mins(1);

/// Places of refused callers behind the backlog.
///
/// Each refused caller gets a place of its own, one service interval after the last one,
/// so that they return at the rate at which requests are served. A delay that depended on
/// the backlog alone would bring all of them back at the same time.
#[derive(Debug, Clone, Default)]
pub struct RetrySchedule {
    /// Place of the next refused caller.
    next_at: Option<Instant>,
}

impl RetrySchedule {
    /// The delay of a caller that is refused at `now`. `backlog` is the time until the
    /// requests that wait now have been served, and `interval` that between two of them.
    /// `spread` is a random number from 0 to 1, which distributes the callers within a
    /// second: the delay has whole seconds, at least one.
    pub fn assign(
        &mut self,
        backlog: Duration,
        interval: Duration,
        spread: f64,
        now: Instant,
    ) -> RetryAfter {
        let latest = now + MAX_DELAY;
        let earliest = now + backlog.min(MAX_DELAY);
        let place = self.next_at.map_or(earliest, |at| at.max(earliest));
        self.next_at = Some((place + interval).min(latest));
        let mut delay = place.saturating_duration_since(now).as_secs_f64();
        if place >= latest {
            // All further callers would get the same place.
            delay *= 0.5 + spread / 2.0;
        }
        let seconds = Duration::from_secs_f64(delay + spread).as_secs();
        RetryAfter(seconds.max(1))
    }
}
