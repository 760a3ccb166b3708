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
    /// An arbiter does not know what the previous process at its address has granted,
    /// so it grants nothing for this long: longer than the 2 s in which three
    /// misdelivered datagrams count.
    pub start_delay: Duration,
    /// Maximum number of flows with a grant; above it, nothing is granted. A grant
    /// takes 40 bytes.
    pub max_flows: usize,
}

impl Default for TrialArbiterSettings {
    fn default() -> Self {
        TrialArbiterSettings {
            window: Duration::from_secs(10),
            start_delay: Duration::from_millis(2500),
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
    granted_at: BTreeMap<FlowTuple, Instant>,
}

impl TrialArbiter {
    /// An arbiter that has just started.
    #[must_use]
    pub fn new(settings: TrialArbiterSettings, now: Instant) -> Self {
        TrialArbiter {
            settings,
            started_at: now,
            granted_at: BTreeMap::new(),
        }
    }

    /// Whether a datagram of the flow may be delivered on trial.
    pub fn grant(&mut self, key: FlowTuple, now: Instant) -> bool {
        let settings = self.settings;
        let is_recent = |at: &Instant| now < *at + settings.window;
        let is_starting = now < self.started_at + settings.start_delay;
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
