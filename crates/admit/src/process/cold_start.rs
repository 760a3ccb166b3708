//! Requests that a cold upstream gets.

use std::time::{Duration, Instant};

use cold::{ColdBound, ColdLimit};
use types::{RequestRate, ServiceLimits};

/// What a cold upstream handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdSettings {
    /// Requests per second.
    pub rate: RequestRate,
    /// How far the requests of any second may exceed the rate.
    pub bound: ColdBound,
    /// How long an upstream is cold after it started.
    pub duration: Duration,
}

/// Limits the requests that start at the upstream while it is cold: after the start of
/// the agent, which does not know since when the upstream runs, and after a connection
/// that failed, because another run of the upstream may have started.
#[derive(Debug, Clone)]
pub(crate) struct ColdStart {
    limit: ColdLimit,
    duration: Duration,
    cold_until: Instant,
    /// Whether no connection could be opened since the last one that could.
    is_unreachable: bool,
    /// Latest instant of a start or a tick.
    seen_at: Instant,
}

impl ColdStart {
    pub(crate) fn new(now: Instant, settings: &ColdSettings) -> Self {
        let mut limit = ColdLimit::new(Some(settings.bound), now);
        limit.set_limits(ServiceLimits {
            cold_rate: Some(settings.rate),
        });
        ColdStart {
            limit,
            duration: settings.duration,
            cold_until: now + settings.duration,
            is_unreachable: false,
            seen_at: now,
        }
    }

    pub(crate) fn connect_failed(&mut self) {
        self.is_unreachable = true;
    }

    pub(crate) fn connect_succeeded(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_unreachable) {
            self.cold_until = now + self.duration;
        }
    }

    /// Records that a request starts.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.limit.record_delivery(now);
        self.seen_at = now;
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        self.seen_at = now;
    }

    /// Requests that may start at `now`.
    pub(crate) fn allowance(&self, now: Instant) -> usize {
        if now >= self.cold_until {
            return usize::MAX;
        }
        self.limit.allowance(now).unwrap_or(usize::MAX)
    }

    /// When the next request may start if none may now.
    pub(crate) fn next_allowed_at(&self) -> Option<Instant> {
        let at = self.limit.next_allowed_at(self.seen_at)?;
        (self.seen_at < self.cold_until).then(|| at.min(self.cold_until))
    }
}
