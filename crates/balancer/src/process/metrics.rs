//! Metrics of a balancer.

use std::collections::BTreeMap;

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::{DropCause, Result};

/// Metrics of a balancer.
#[derive(Debug)]
pub struct Metrics {
    /// Datagrams of callers that were sent to agents.
    pub forwarded_datagrams: IntCounter,
    /// Datagrams of agents that were sent to callers.
    pub returned_datagrams: IntCounter,
    /// Probes of agents that were answered.
    pub answered_probes: IntCounter,
    /// Revision of the configuration that is in force.
    pub revision: IntGauge,
    /// 1 while the balancer has a version and is not shutting down, else 0.
    pub serving: IntGauge,
    dropped_datagrams: IntCounterVec,
    /// Counter of each cause that occurred, cached to avoid the label lookup.
    drop_counters: BTreeMap<DropCause, IntCounter>,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry already has a metric of the same name.
    pub fn new(registry: &Registry) -> Result<Self> {
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let dropped_datagrams = IntCounterVec::new(
            Opts::new(
                "limpet_balancer_dropped_datagrams_total",
                "Datagrams that were dropped, by cause.",
            ),
            &["cause"],
        )?;
        registry.register(Box::new(dropped_datagrams.clone()))?;
        Ok(Metrics {
            forwarded_datagrams: counter(
                "limpet_balancer_forwarded_datagrams_total",
                "Datagrams of callers that were sent to agents.",
            )?,
            returned_datagrams: counter(
                "limpet_balancer_returned_datagrams_total",
                "Datagrams of agents that were sent to callers.",
            )?,
            answered_probes: counter(
                "limpet_balancer_probes_total",
                "Health probes of agents that were answered.",
            )?,
            revision: gauge(
                "limpet_balancer_revision",
                "Revision of the configuration that is in force.",
            )?,
            serving: gauge(
                "limpet_balancer_serving",
                "1 while the balancer has a version and is not stopping.",
            )?,
            dropped_datagrams,
            drop_counters: BTreeMap::new(),
        })
    }

    /// Counts a dropped datagram and returns the total for its cause.
    pub fn count_drop(&mut self, cause: DropCause) -> u64 {
        let counter = self
            .drop_counters
            .entry(cause)
            .or_insert_with(|| self.dropped_datagrams.with_label_values(&[cause.as_str()]));
        counter.inc();
        counter.get()
    }
}
