//! Results of a simulation run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

/// Time that the upstreams spent at each number of requests above their slots.
#[derive(Debug, Clone, Default)]
pub struct Excess(BTreeMap<u32, Duration>);

impl Excess {
    /// Adds `time` of one upstream at `excess`.
    pub fn add(&mut self, excess: u32, time: Duration) {
        *self.0.entry(excess).or_default() += time;
    }

    fn total(&self) -> f64 {
        self.0.values().sum::<Duration>().as_secs_f64().max(1e-9)
    }

    /// Time-weighted mean over all upstreams.
    #[must_use]
    pub fn mean(&self) -> f64 {
        let sum: f64 = self
            .0
            .iter()
            .map(|(n, t)| f64::from(*n) * t.as_secs_f64())
            .sum();
        sum / self.total()
    }

    /// 99th percentile: the value that is exceeded for 1% of the time.
    #[must_use]
    pub fn p99(&self) -> f64 {
        let mut left = self.total() * 0.01;
        for (n, time) in self.0.iter().rev() {
            left -= time.as_secs_f64();
            if left < 0.0 {
                return f64::from(*n);
            }
        }
        0.0
    }

    /// Fraction of the time with an excess above zero.
    #[must_use]
    pub fn time_fraction(&self) -> f64 {
        let none = self.0.get(&0).copied().unwrap_or_default();
        1.0 - none.as_secs_f64() / self.total()
    }
}

/// Results of a simulation run.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests answered before their deadline.
    pub completed: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Refused requests for which a serving upstream had a free slot.
    pub refused_while_free: u64,
    /// Requests cancelled at their deadline, while queued or running at an
    /// upstream.
    pub timed_out: u64,
    /// Reservations that had lapsed when their request arrived.
    pub lapsed_reservations: u64,
    /// Messages between agents.
    pub messages: u64,
    /// Requests at an upstream above its slots.
    pub excess: Excess,
    /// Requests at an upstream and waiting at its agent above its slots.
    pub backlog: Excess,
    /// Microseconds between arrival and start.
    pub start_delay: Histogram<u64>,
    /// Simulated duration of the run.
    pub duration: Duration,
}

impl Figures {
    /// Creates empty results for a run of this duration.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants in its range.
    #[must_use]
    pub fn new(duration: Duration) -> Self {
        Figures {
            arrived: 0,
            completed: 0,
            refused: 0,
            refused_while_free: 0,
            timed_out: 0,
            lapsed_reservations: 0,
            messages: 0,
            excess: Excess::default(),
            backlog: Excess::default(),
            start_delay: Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds"),
            duration,
        }
    }

    /// The figures in the order of [`Figures::NAMES`].
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn values(&self) -> [f64; 12] {
        let share = |n: u64| 100.0 * n as f64 / self.arrived.max(1) as f64;
        let millis = |q: f64| self.start_delay.value_at_quantile(q) as f64 / 1000.0;
        [
            share(self.refused_while_free),
            share(self.refused),
            share(self.timed_out),
            self.excess.mean(),
            self.excess.p99(),
            100.0 * self.excess.time_fraction(),
            self.backlog.mean(),
            self.backlog.p99(),
            millis(0.5),
            millis(0.99),
            self.messages as f64 / self.arrived.max(1) as f64,
            self.completed as f64 / self.duration.as_secs_f64(),
        ]
    }

    /// Names of the figures.
    pub const NAMES: [&str; 12] = [
        "refused free %",
        "refused %",
        "cut %",
        "excess",
        "excess p99",
        "over %",
        "backlog",
        "backlog p99",
        "delay p50 ms",
        "delay p99 ms",
        "messages",
        "goodput /s",
    ];
}
