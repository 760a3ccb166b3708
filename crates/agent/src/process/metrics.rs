//! Metrics of an agent.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::Result;

/// Metrics of an agent. Clones share the values.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Datagrams from callers that were delivered to the endpoint.
    pub received_datagrams: IntCounter,
    /// Datagrams that were sent towards callers.
    pub sent_datagrams: IntCounter,
    /// Initial packets that were passed on to a peer.
    pub passed_on_datagrams: IntCounter,
    /// Number of open connections.
    pub open_connections: IntGauge,
    /// Connections that were refused, by reason.
    pub refused_connections: IntCounterVec,
    /// Requests, by class and result.
    pub requests: IntCounterVec,
    /// Time from the headers of a request to the headers of its response, by class.
    pub answer_seconds: HistogramVec,
    hedges: IntCounterVec,
    dropped_datagrams: IntCounterVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has a metric with one of the names.
    pub fn new(registry: &Registry) -> Result<Self> {
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let counters = |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let open_connections =
            IntGauge::new("limpet_agent_connections", "Connections that are open.")?;
        registry.register(Box::new(open_connections.clone()))?;
        let answer_seconds = HistogramVec::new(
            HistogramOpts::new(
                "limpet_agent_answer_seconds",
                "Time from the head of a request to the head of its answer, by class.",
            ),
            &["class"],
        )?;
        registry.register(Box::new(answer_seconds.clone()))?;
        Ok(Metrics {
            received_datagrams: counter(
                "limpet_agent_received_datagrams_total",
                "Datagrams of callers that were taken.",
            )?,
            sent_datagrams: counter(
                "limpet_agent_sent_datagrams_total",
                "Datagrams that were sent to callers.",
            )?,
            passed_on_datagrams: counter(
                "limpet_agent_passed_on_datagrams_total",
                "First packets that were passed on to a peer.",
            )?,
            open_connections,
            refused_connections: counters(
                "limpet_agent_refused_connections_total",
                "Connections that were refused, by reason.",
                &["reason"],
            )?,
            requests: counters(
                "limpet_agent_requests_total",
                "Requests, by class and result.",
                &["class", "result"],
            )?,
            answer_seconds,
            hedges: counters(
                "limpet_agent_hedges_total",
                "Requests that waited longer than the delay of their class, by class and what became of the hedge.",
                &["class", "result"],
            )?,
            dropped_datagrams: counters(
                "limpet_agent_dropped_datagrams_total",
                "Datagrams that were dropped, by cause.",
                &["cause"],
            )?,
        })
    }

    /// Counts a dropped datagram.
    pub fn count_dropped_datagram(&self, cause: &str) {
        self.dropped_datagrams.with_label_values(&[cause]).inc();
    }

    /// Counts a request that waited until its hedge was due.
    pub fn count_hedge(&self, class: &str, result: &str) {
        self.hedges.with_label_values(&[class, result]).inc();
    }

    /// Counts a completed request.
    pub fn count_request(&self, class: &str, result: &str) {
        self.requests.with_label_values(&[class, result]).inc();
    }
}
