//! Metrics of balancers and agents.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::Result;

/// Metrics of a balancer or agent. Clones share the values.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    /// Datagrams received from callers.
    pub received_datagrams: IntCounter,
    /// Datagrams sent, by kind of receiver.
    pub sent_datagrams: IntCounterVec,
    /// Dropped datagrams, by cause.
    pub dropped_datagrams: IntCounterVec,
    /// Decisions about flows, by outcome.
    pub flow_events: IntCounterVec,
    /// Flows that an agent holds, or whose agent a balancer has cached.
    pub known_flows: IntGauge,
    /// Requests that wait for the first byte of their response; agents only.
    pub busy_requests: IntGauge,
}

impl RelayMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// The registry already has a metric with one of the names.
    pub fn new(registry: &Registry) -> Result<Self> {
        let counters = |name: &str, help: &str, label: &str| -> Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let received_datagrams = IntCounter::new(
            "limpet_relay_received_datagrams_total",
            "Datagrams of callers that were taken.",
        )?;
        registry.register(Box::new(received_datagrams.clone()))?;
        Ok(RelayMetrics {
            received_datagrams,
            sent_datagrams: counters(
                "limpet_relay_sent_datagrams_total",
                "Datagrams that were sent on, by way.",
                "way",
            )?,
            dropped_datagrams: counters(
                "limpet_relay_dropped_datagrams_total",
                "Datagrams that were dropped, by cause.",
                "cause",
            )?,
            flow_events: counters(
                "limpet_relay_flows_total",
                "Decisions about flows, by outcome.",
                "outcome",
            )?,
            known_flows: gauge("limpet_relay_known_flows", "Flows that are known.")?,
            busy_requests: gauge(
                "limpet_relay_busy_requests",
                "Requests that wait for the first byte of their answer.",
            )?,
        })
    }
}
