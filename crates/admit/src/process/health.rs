//! Health of the upstream by what the agent saw.

use std::time::{Duration, Instant};

use crate::Settings;

/// Counts failures to connect and paces the probes of an upstream that is down.
///
/// Only failures to connect count. A slow answer alone lowers nothing: the
/// slots already bound what a slow upstream holds.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// Failures to connect since the last success.
    failures: u32,
    down: Option<Down>,
}

#[derive(Debug, Clone)]
struct Down {
    next_probe: Instant,
    /// Between probes; at most `max_probe_delay`.
    delay: Duration,
}

impl Health {
    pub(crate) fn is_down(&self) -> bool {
        self.down.is_some()
    }

    pub(crate) fn next_probe(&self) -> Option<Instant> {
        self.down.as_ref().map(|down| down.next_probe)
    }

    /// Returns whether the upstream went down by this failure.
    pub(crate) fn failed(&mut self, now: Instant, settings: &Settings) -> bool {
        self.failures = self.failures.saturating_add(1);
        if let Some(down) = &mut self.down {
            down.delay = (down.delay * 2).min(settings.max_probe_delay);
            down.next_probe = now + down.delay;
            return false;
        }
        if self.failures < settings.down_after_failures {
            return false;
        }
        self.down = Some(Down {
            next_probe: now + settings.initial_probe_delay,
            delay: settings.initial_probe_delay,
        });
        true
    }

    pub(crate) fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// Whether a probe is due; it then counts as begun.
    pub(crate) fn begin_probe(&mut self, now: Instant) -> bool {
        match &mut self.down {
            Some(down) if down.next_probe <= now => {
                down.next_probe = now + down.delay;
                true
            }
            _ => false,
        }
    }
}
