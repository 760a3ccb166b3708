//! Passive health check of the local upstream.

use std::time::{Duration, Instant};

use crate::Settings;

/// Counts connection failures and schedules the probes of an upstream that is
/// down.
///
/// Only connection failures count. Slow answers do not mark the upstream as
/// down, because the slots already bound the number of requests it holds.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// Connection failures since the last success.
    connect_failures: u32,
    probes: Option<ProbeSchedule>,
}

#[derive(Debug, Clone)]
struct ProbeSchedule {
    next_probe: Instant,
    /// Delay between probes; at most `max_probe_delay`.
    delay: Duration,
}

impl Health {
    pub(crate) fn is_down(&self) -> bool {
        self.probes.is_some()
    }

    pub(crate) fn next_probe(&self) -> Option<Instant> {
        self.probes.as_ref().map(|probes| probes.next_probe)
    }

    /// Counts a connection failure. Returns true if the upstream is down as of
    /// this failure.
    pub(crate) fn record_failure(&mut self, now: Instant, settings: &Settings) -> bool {
        self.connect_failures = self.connect_failures.saturating_add(1);
        if let Some(probes) = &mut self.probes {
            probes.delay = (probes.delay * 2).min(settings.max_probe_delay);
            probes.next_probe = now + probes.delay;
            return false;
        }
        if self.connect_failures < settings.down_after_failures {
            return false;
        }
        self.probes = Some(ProbeSchedule {
            next_probe: now + settings.initial_probe_delay,
            delay: settings.initial_probe_delay,
        });
        true
    }

    pub(crate) fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Returns true if a probe is due, and schedules the next one.
    pub(crate) fn begin_probe(&mut self, now: Instant) -> bool {
        match &mut self.probes {
            Some(probes) if probes.next_probe <= now => {
                probes.next_probe = now + probes.delay;
                true
            }
            _ => false,
        }
    }
}
