//! Metrics of a control host.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::Result;

/// Metrics of a control host.
#[derive(Debug)]
pub struct Metrics {
    /// 1 at the leader, else 0.
    pub leader: IntGauge,
    /// Term of the consensus.
    pub term: IntGauge,
    /// Last committed entry.
    pub commit: IntGauge,
    /// Live nodes, at the leader.
    pub nodes: IntGauge,
    /// Changes, by answer.
    pub changes: IntCounterVec,
    /// Published memberships.
    pub publications: IntCounter,
    /// Replies to nodes, by kind.
    pub replies: IntCounterVec,
    /// Syncs of the data folder.
    pub syncs: IntGauge,
    /// 1 while the disk refuses writes.
    pub disk_failed: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Result<Self> {
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let counters = |name: &str, help: &str, label: &str| -> Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let publications = IntCounter::new(
            "limpet_control_publications_total",
            "Memberships that were published.",
        )?;
        registry.register(Box::new(publications.clone()))?;
        Ok(Metrics {
            leader: gauge("limpet_control_leader", "1 at the leader, else 0.")?,
            term: gauge("limpet_control_term", "Term of the consensus.")?,
            commit: gauge("limpet_control_commit", "Last committed entry of the log.")?,
            nodes: gauge("limpet_control_nodes", "Live nodes, counted at the leader.")?,
            changes: counters(
                "limpet_control_changes_total",
                "Changes that were applied, by answer.",
                "answer",
            )?,
            publications,
            syncs: gauge(
                "limpet_control_disk_syncs",
                "Syncs of the data folder since the start.",
            )?,
            disk_failed: gauge(
                "limpet_control_disk_failed",
                "1 while the disk refuses writes, else 0.",
            )?,
            replies: counters(
                "limpet_control_syncs_total",
                "Replies to nodes, by kind.",
                "reply",
            )?,
        })
    }
}
