//! The way of a new upstream to its full share.

use std::time::{Duration, Instant};

use super::PARTS;
use crate::process::Settings;

/// Parts of a full share at each step. Doubling keeps the number of versions
/// small: an upstream costs one to list it and four to warm it up.
const STEPS: [u8; 5] = [0, 1, 2, 4, PARTS];

/// Step of a full share.
const LAST: usize = STEPS.len() - 1;

/// How far an upstream is on its way to a full share.
#[derive(Debug, Clone)]
pub(crate) struct Ramp {
    /// Index into `STEPS`; 0 until every balancer can know the upstream.
    step: usize,
    /// Step that follows step 0, above 1 for an upstream that is warm.
    first: usize,
    /// When the next step is due; `None` on the last one.
    next: Option<Instant>,
}

impl Ramp {
    /// The ramp of an upstream that is listed now and gets its first share at
    /// `known_at`, having been ready for `age` by then.
    pub(crate) fn start(known_at: Instant, age: Duration, settings: &Settings) -> Self {
        Ramp {
            step: 0,
            first: step_at(age, settings),
            next: Some(known_at),
        }
    }

    /// Moves on to the step that is due at `now`.
    pub(crate) fn advance(&mut self, now: Instant, settings: &Settings) {
        while let Some(due) = self.next.filter(|due| *due <= now) {
            self.step = (self.step + 1).max(self.first);
            self.next = (self.step < LAST).then(|| due + step_time(settings));
        }
    }

    /// Parts of the full share that the upstream may have.
    pub(crate) fn level(&self) -> u8 {
        STEPS[self.step]
    }

    /// When the next step is due.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.next
    }
}

/// Time between two steps with a share.
fn step_time(settings: &Settings) -> Duration {
    settings.ramp_duration / 3
}

/// Step of an upstream that has been ready for `age`.
fn step_at(age: Duration, settings: &Settings) -> usize {
    let warm = age.saturating_sub(settings.propagation_delay);
    let step_of = |step: u32| warm >= step_time(settings) * step;
    1 + (1..=3).filter(|step| step_of(*step)).count()
}
