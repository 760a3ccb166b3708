//! Metrics of a control host.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::Result;

/// Metrics of a control host.
#[derive(Debug)]
pub struct Metrics {
    /// 1 on the leader, else 0.
    pub leader: IntGauge,
    /// Current term of the consensus.
    pub term: IntGauge,
    /// Index of the last committed log entry.
    pub commit: IntGauge,
    /// Number of data centres that are evacuated.
    pub evacuated_data_centres: IntGauge,
    /// Number of live nodes; set on the leader only.
    pub nodes: IntGauge,
    /// Applied configuration changes, by answer.
    pub changes: IntCounterVec,
    /// Published memberships.
    pub publications: IntCounter,
    /// Replies to sync requests, by kind.
    pub replies: IntCounterVec,
    /// `fsync` calls on the data folder since the start.
    pub syncs: IntGauge,
    /// 1 while writes to the disk fail, else 0.
    pub disk_failed: IntGauge,
}

impl Metrics {
    /// Creates the metrics and registers them in `registry`.
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
            evacuated_data_centres: gauge(
                "limpet_control_evacuated_data_centres",
                "Data centres whose upstreams get no new work.",
            )?,
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
