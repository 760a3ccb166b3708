//! Limit of new flows, or of requests, at a cold upstream.
//!
//! The agent beside an upstream is the only process that sees all flows that the
//! upstream gets, so the limit is kept there. It holds for any span of a second, not for
//! the seconds of a clock: the instants of the last deliveries are kept, and a flow is
//! delivered only if the span that would end with it has room.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use types::{RequestRate, ServiceLimits};

/// The span of the bound, a second, and 100 ms by which a throttled process may send an
/// earlier flow late, so that the upstream sees them closer together.
const BOUND_WINDOW: Duration = Duration::from_millis(1100);

/// A cold upstream gets its flows evenly: at once only as many as it bears in this span,
/// so that none of them waits longer than that beside a free slot.
const BURST_SPAN: Duration = Duration::from_millis(100);

/// Number of deliveries that are remembered, in 64 KB. A bound above it counts as this
/// many.
const MAX_DELIVERIES: u16 = 4096;

/// Fixed-point units of [`ColdBound`] and of rates.
const UNITS: f64 = 1000.0;

/// Largest number in these units, far above what an upstream can get.
const MAX_VALUE: f64 = 1e6;

/// How many new flows a cold upstream may get in a second beyond the rate that its
/// service states: the rate times a factor, and a number of flows. Both have a resolution
/// of a thousandth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdBound {
    excess: u64,
    slack: u64,
}

impl ColdBound {
    /// Converts a factor and a number of flows. Returns `None` if one of them is
    /// negative, above a million or not a number.
    ///
    /// ```
    /// use cold::ColdBound;
    ///
    /// let bound = ColdBound::new(1.5, 5.0).unwrap();
    /// assert_eq!(bound.max_flows("20.5".parse().ok()), 35);
    /// assert_eq!(ColdBound::new(-1.0, 5.0), None);
    /// ```
    #[must_use]
    pub fn new(excess: f64, slack: f64) -> Option<Self> {
        Some(ColdBound {
            excess: to_units(excess)?,
            slack: to_units(slack)?,
        })
    }

    /// Flows that a cold upstream may get in any second; with an unknown rate those that
    /// it may get at any rate.
    #[must_use]
    pub fn max_flows(self, rate: Option<RequestRate>) -> usize {
        let rate = rate.and_then(|rate| to_units(rate.per_second().min(MAX_VALUE)));
        let units = u128::from(rate.unwrap_or(0)) * u128::from(self.excess) / 1000;
        let flows = (units + u128::from(self.slack)) / 1000;
        usize::try_from(flows).unwrap_or(usize::MAX)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is checked to be in range"
)]
fn to_units(value: f64) -> Option<u64> {
    // Rounds down, except that 0.3 must not become 299 thousandths.
    let rounding = 1e-6;
    let units = (value * UNITS + rounding) as u64;
    (0.0..=MAX_VALUE).contains(&value).then_some(units)
}

/// The flows that an agent's upstream got lately, and how many it may get while it is
/// cold.
#[derive(Debug, Clone)]
pub struct ColdLimit {
    /// `None` if the deployment states no bound, so that nothing is limited.
    bound: Option<ColdBound>,
    /// Limits of the service; `None` until the first policy is known.
    limits: Option<ServiceLimits>,
    /// When the last flows were delivered, oldest first.
    deliveries: VecDeque<Instant>,
    /// Until this instant, the upstream may have got flows from a former process of the
    /// agent within the span of the bound.
    unseen_until: Option<Instant>,
}

/// At most `flows` in any span of `window`.
#[derive(Debug, Clone, Copy)]
struct WindowLimit {
    flows: usize,
    window: Duration,
}

impl ColdLimit {
    /// A limit for an agent that starts at `now`, beside an upstream that may have got
    /// flows before.
    #[must_use]
    pub fn new(bound: Option<ColdBound>, now: Instant) -> Self {
        ColdLimit {
            bound,
            limits: None,
            deliveries: VecDeque::new(),
            unseen_until: Some(now + BOUND_WINDOW),
        }
    }

    /// Sets the limits of the service.
    pub fn set_limits(&mut self, limits: ServiceLimits) {
        self.limits = Some(limits);
    }

    /// Whether the limits of the service are known.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.limits.is_some()
    }

    /// Records that the upstream does not run: the one that starts next gets no flow that
    /// is not recorded here.
    pub fn record_absence(&mut self) {
        self.unseen_until = None;
    }

    /// Records that the upstream gets the first datagram of a flow.
    pub fn record_delivery(&mut self, now: Instant) {
        if self.bound.is_none() {
            return;
        }
        if self.deliveries.len() >= usize::from(MAX_DELIVERIES) {
            self.deliveries.pop_front();
        }
        self.deliveries.push_back(now);
    }

    /// Flows that the upstream may get at `now` if it is cold; `None` if nothing is
    /// limited.
    #[must_use]
    pub fn allowance(&self, now: Instant) -> Option<usize> {
        let limits = self.window_limits()?;
        if self.unseen_until.is_some_and(|until| now < until) {
            return Some(0);
        }
        let free = limits.into_iter().flatten().map(|limit| {
            let in_window = |at: &Instant| now < *at + limit.window;
            let recent = self.deliveries.iter().rev().take_while(|at| in_window(at));
            limit.flows.saturating_sub(recent.count())
        });
        free.min()
    }

    /// When a cold upstream may get the next flow, if it may not at `now`.
    #[must_use]
    pub fn next_allowed_at(&self, now: Instant) -> Option<Instant> {
        let limits = self.window_limits()?;
        let free_at = limits.into_iter().flatten().filter_map(|limit| {
            let oldest = self.deliveries.len().checked_sub(limit.flows)?;
            Some(*self.deliveries.get(oldest)? + limit.window)
        });
        free_at
            .chain(self.unseen_until)
            .max()
            .filter(|at| *at > now)
    }

    /// Interval at which a cold upstream gets flows; `None` unless its service states a
    /// rate.
    #[must_use]
    pub fn interval(&self) -> Option<Duration> {
        self.bound?;
        let rate = self.limits?.cold_rate?;
        Some(Duration::from_secs_f64(1.0 / rate.per_second()))
    }

    /// The bound, and the pace that keeps to the stated rate; `None` if nothing is
    /// limited.
    fn window_limits(&self) -> Option<[Option<WindowLimit>; 2]> {
        let bound = self.bound?;
        let rate = match self.limits {
            // The rate is not known yet, so only what is allowed at any rate is safe.
            None => None,
            Some(limits) => Some(limits.cold_rate?),
        };
        let bound = WindowLimit {
            flows: bound.max_flows(rate).min(usize::from(MAX_DELIVERIES)),
            window: BOUND_WINDOW,
        };
        let pace = self.interval().map(|interval| {
            let burst = BURST_SPAN.as_nanos() / interval.as_nanos().max(1);
            let flows = u16::try_from(burst).unwrap_or(MAX_DELIVERIES);
            let flows = flows.clamp(1, MAX_DELIVERIES);
            WindowLimit {
                flows: usize::from(flows),
                window: interval * u32::from(flows),
            }
        });
        Some([Some(bound), pace])
    }
}
