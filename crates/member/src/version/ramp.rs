//! Ramp of a new upstream to its full share.

use std::time::{Duration, Instant};

use super::SHARE_PARTS;
use crate::process::Settings;

/// Parts of a full share at each step. Doubling keeps the number of versions
/// small: one to list an upstream and four to ramp it up.
const STEP_PARTS: [u8; 5] = [0, 1, 2, 4, SHARE_PARTS];

/// Step with a full share.
const LAST_STEP: usize = STEP_PARTS.len() - 1;

/// Progress of an upstream from share 0 to a full share.
#[derive(Debug, Clone)]
pub(crate) struct Ramp {
    /// Index into `STEP_PARTS`; 0 until every balancer has had time to learn of
    /// the upstream.
    step: usize,
    /// Step that follows step 0; above 1 for an upstream that has been ready for
    /// some time.
    first_step: usize,
    /// Instant at which the next step is due; `None` on the last one.
    next_step_at: Option<Instant>,
}

impl Ramp {
    /// Creates the ramp of an upstream that is listed now and gets its first
    /// share at `first_share_at`, when it will have been ready for `age`.
    pub(crate) fn start(first_share_at: Instant, age: Duration, settings: &Settings) -> Self {
        Ramp {
            step: 0,
            first_step: step_for_age(age, settings),
            next_step_at: Some(first_share_at),
        }
    }

    /// Advances to the step that is due at `now`.
    pub(crate) fn advance(&mut self, now: Instant, settings: &Settings) {
        while let Some(due) = self.next_step_at.filter(|due| *due <= now) {
            self.step = (self.step + 1).max(self.first_step);
            self.next_step_at = (self.step < LAST_STEP).then(|| due + step_time(settings));
        }
    }

    /// Parts of the full share that the upstream may have.
    pub(crate) fn level(&self) -> u8 {
        STEP_PARTS[self.step]
    }

    /// Returns the instant at which the next step is due.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.next_step_at
    }
}

/// Time between two steps with a share.
fn step_time(settings: &Settings) -> Duration {
    settings.ramp_duration / 3
}

/// First step with a share of an upstream that has been ready for `age`.
fn step_for_age(age: Duration, settings: &Settings) -> usize {
    let warm_for = age.saturating_sub(settings.propagation_delay);
    let step_of = |step: u32| warm_for >= step_time(settings) * step;
    1 + (1..=3).filter(|step| step_of(*step)).count()
}
