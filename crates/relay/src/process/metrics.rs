//! Metrics of balancers and agents.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use flow::Placement;

use crate::Result;

/// Buckets of times to the first byte, in seconds: from a fast answer to the timeouts of
/// callers.
const FIRST_BYTE_BUCKETS: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

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
    /// Time to the first byte of an answer that balancers expect for a new flow.
    pub expected_first_byte: Histogram,
    /// Time from a complete request to the first byte of its answer; agents only.
    pub first_byte: Histogram,
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
        let histogram = |name: &str, help: &str| -> Result<Histogram> {
            let buckets = FIRST_BYTE_BUCKETS.to_vec();
            let histogram = Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
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
            expected_first_byte: histogram(
                "limpet_relay_expected_first_byte_seconds",
                "Expected time to the first byte of an answer when a flow was placed.",
            )?,
            first_byte: histogram(
                "limpet_relay_first_byte_seconds",
                "Time from a complete request to the first byte of its answer.",
            )?,
        })
    }

    /// Records the placement of a new flow by a balancer.
    pub fn record_placement(&self, placement: Placement) {
        self.expected_first_byte
            .observe(placement.expected.as_secs_f64());
        if !placement.is_local {
            self.flow_events.with_label_values(&["placed_remote"]).inc();
        }
    }
}
