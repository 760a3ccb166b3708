//! Limit of the datagrams of a flow that are delivered on trial, over all balancers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::FlowTuple;

/// Intervals and limits of a [`TrialArbiter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialArbiterSettings {
    /// One trial of a flow is granted in this time. It is longer than the longest
    /// timeout of a request today, 6 s: a flow counts as broken when three of its
    /// datagrams reached wrong upstreams and none its own.
    pub window: Duration,
    /// After a planned restart, an arbiter grants nothing for this long, because it does
    /// not know what the previous process has granted: longer than the 2 s in which
    /// three misdelivered datagrams count.
    pub planned_start_delay: Duration,
    /// Maximum number of flows with a grant; above it, nothing is granted. A grant
    /// takes 40 bytes.
    pub max_flows: usize,
}

impl Default for TrialArbiterSettings {
    fn default() -> Self {
        TrialArbiterSettings {
            window: Duration::from_secs(10),
            planned_start_delay: Duration::from_millis(2500),
            max_flows: 50_000,
        }
    }
}

/// Grants trials of flows. Each flow has two arbiters, which all balancers choose the
/// same way, so that a flow gets at most two trials from all of them together.
#[derive(Debug)]
pub struct TrialArbiter {
    settings: TrialArbiterSettings,
    started_at: Instant,
    /// Nothing is granted before this instant; `None` while it is not known how the
    /// previous process ended.
    grants_from: Option<Instant>,
    granted_at: BTreeMap<FlowTuple, Instant>,
}

impl TrialArbiter {
    /// An arbiter that has just started. It grants nothing before
    /// [`TrialArbiter::begin`].
    #[must_use]
    pub fn new(settings: TrialArbiterSettings, now: Instant) -> Self {
        TrialArbiter {
            settings,
            started_at: now,
            grants_from: None,
            granted_at: BTreeMap::new(),
        }
    }

    /// Begins to grant trials, once it is known whether the previous process was stopped
    /// as planned. After a crash, trials are granted at once: where all processes have
    /// crashed, they are the only way to the flows of before, and a delay of 2.5 s cost a
    /// small deployment 0.05 of its score for that day.
    pub fn begin(&mut self, was_planned: bool, now: Instant) {
        let delayed_until = self.started_at + self.settings.planned_start_delay;
        self.grants_from = Some(if was_planned { delayed_until } else { now });
    }

    /// Whether a datagram of the flow may be delivered on trial.
    pub fn grant(&mut self, key: FlowTuple, now: Instant) -> bool {
        let settings = self.settings;
        let is_recent = |at: &Instant| now < *at + settings.window;
        let is_starting = self.grants_from.is_none_or(|from| now < from);
        let is_granted = self.granted_at.get(&key).is_some_and(is_recent);
        if is_starting || is_granted || self.granted_at.len() >= settings.max_flows {
            return false;
        }
        self.granted_at.insert(key, now);
        true
    }

    /// Removes grants that do not matter any more.
    pub fn expire(&mut self, now: Instant) {
        let window = self.settings.window;
        self.granted_at.retain(|_, at| now < *at + window);
    }
}
