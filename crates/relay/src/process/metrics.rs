//! Metrics of balancers and agents.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::Result;

/// Metrics of a balancer or agent. Clones share the values.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Datagrams of callers that were taken.
    pub received: IntCounter,
    /// Datagrams that were sent on, by way.
    pub sent: IntCounterVec,
    /// Datagrams that were dropped, by cause.
    pub dropped: IntCounterVec,
    /// Flows that were decided about, by outcome.
    pub flows: IntCounterVec,
    /// Flows that are known.
    pub known: IntGauge,
    /// Requests in progress; agents only.
    pub busy: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry already has one of the names.
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
        let received = IntCounter::new(
            "limpet_relay_received_datagrams_total",
            "Datagrams of callers that were taken.",
        )?;
        registry.register(Box::new(received.clone()))?;
        Ok(Metrics {
            received,
            sent: counters(
                "limpet_relay_sent_datagrams_total",
                "Datagrams that were sent on, by way.",
                "way",
            )?,
            dropped: counters(
                "limpet_relay_dropped_datagrams_total",
                "Datagrams that were dropped, by cause.",
                "cause",
            )?,
            flows: counters(
                "limpet_relay_flows_total",
                "Decisions about flows, by outcome.",
                "outcome",
            )?,
            known: gauge("limpet_relay_known_flows", "Flows that are known.")?,
            busy: gauge(
                "limpet_relay_busy_requests",
                "Requests that wait for the first byte of their answer.",
            )?,
        })
    }
}
