//! Health of an upstream by what its agent sees, and its return in steps.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::ServiceTime;

/// Share of its new flows that an upstream gets.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub enum AdmittedShare {
    /// None: the upstream is left out.
    None,
    /// A quarter of its share.
    Quarter,
    /// Half of its share.
    Half,
    /// Its whole share.
    #[default]
    Full,
}

/// Consecutive failures after which an upstream is left out.
const MAX_FAILURES: u32 = 3;

/// An upstream is left out if it answers none of several requests for this many service
/// times. The slowest requests take seven.
const SILENT_SERVICE_TIMES: u32 = 8;

/// Bounds of the silence. The lower one is above a caller's retransmission timeout, so
/// that one lost datagram is no failure; the upper one leaves time for the report within
/// the second in which a failed upstream has to be left out.
const SILENCE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(850));

/// Service time before the first estimate.
const ASSUMED_SERVICE_TIME: ServiceTime = ServiceTime(50_000);

/// Duration of each step of the return.
const STEP: Duration = Duration::from_secs(1);

/// Longest pause before the return of an upstream that failed again.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Decides which share of its flows an upstream gets.
#[derive(Debug)]
pub struct UpstreamHealth {
    share: AdmittedShare,
    /// When the current share was set.
    since: Option<Instant>,
    /// Failures since the last answer.
    failures: u32,
    /// Whether a request was answered since the current share was set.
    answered: bool,
    /// How long the upstream is left out when it fails next.
    pause: Duration,
}

impl Default for UpstreamHealth {
    fn default() -> Self {
        UpstreamHealth {
            share: AdmittedShare::Full,
            since: None,
            failures: 0,
            answered: false,
            pause: STEP,
        }
    }
}

impl UpstreamHealth {
    /// Records that the upstream answered a request.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.answered = true;
    }

    /// Records that the upstream returned an opening or reset a flow whose request had
    /// a slot.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= MAX_FAILURES {
            self.leave_out(now);
        }
    }

    /// Applies the time, and since when the upstream has answered none of the requests that
    /// it should have answered. Returns its share.
    pub fn advance(
        &mut self,
        silent_since: Option<Instant>,
        service_time: Option<ServiceTime>,
        now: Instant,
    ) -> AdmittedShare {
        let (least, most) = SILENCE_BOUNDS;
        let service_time = service_time.unwrap_or(ASSUMED_SERVICE_TIME).duration();
        let limit = (service_time * SILENT_SERVICE_TIMES).clamp(least, most);
        // Silence from before the return began is the cause of the last failure.
        let silent_since = silent_since.max(silent_since.and(self.since));
        if silent_since.is_some_and(|since| now >= since + limit) {
            self.leave_out(now);
        }
        let Some(since) = self.since else {
            return self.share;
        };
        match self.share {
            AdmittedShare::None if now >= since + self.pause => {
                self.pause = (self.pause * 2).min(MAX_PAUSE);
                self.set(AdmittedShare::Quarter, now);
            }
            AdmittedShare::Quarter if self.answered && now >= since + STEP => {
                self.set(AdmittedShare::Half, now);
            }
            AdmittedShare::Half if self.answered && now >= since + STEP => {
                self.set(AdmittedShare::Full, now);
            }
            AdmittedShare::Full if self.answered && now >= since + MAX_PAUSE => {
                self.since = None;
                self.pause = STEP;
            }
            _ => {}
        }
        self.share
    }

    fn leave_out(&mut self, now: Instant) {
        if self.share != AdmittedShare::None {
            self.set(AdmittedShare::None, now);
        }
    }

    fn set(&mut self, share: AdmittedShare, now: Instant) {
        self.share = share;
        self.since = Some(now);
        self.failures = 0;
        self.answered = false;
    }
}
