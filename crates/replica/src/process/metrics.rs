//! Metrics of a control host.

use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};

use crate::Result;

/// Metrics of a control host. Clones share the values.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Whether this host is the leader.
    pub leader: IntGauge,
    /// Term of the group.
    pub term: IntGauge,
    /// Last known committed log index.
    pub commit: IntGauge,
    /// Number of voters of the group.
    pub voters: IntGauge,
    /// Number of members that get the log and do not vote.
    pub learners: IntGauge,
    /// Number of voters whose disks are known to be lost.
    pub lost_voters: IntGauge,
    /// Number of disks that the group can lose at once, on the leader.
    pub tolerated_losses: IntGauge,
    /// Number of the current routing set.
    pub routing_set: IntGauge,
    /// Number of data centres that are evacuated.
    pub evacuated_data_centres: IntGauge,
    /// Number of known processes.
    pub nodes: IntGauge,
    /// Changes, by answer.
    pub changes: IntCounterVec,
    /// Time from a proposal at this host to its answer.
    pub change_seconds: Histogram,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry already has one of the names.
    pub fn new(registry: &Registry) -> Result<Self> {
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let opts = Opts::new("limpet_replica_changes_total", "Changes, by answer.");
        let changes = IntCounterVec::new(opts, &["answer"])?;
        registry.register(Box::new(changes.clone()))?;
        let opts = HistogramOpts::new(
            "limpet_replica_change_seconds",
            "Time from a proposal at this host to its answer.",
        );
        let change_seconds = Histogram::with_opts(opts)?;
        registry.register(Box::new(change_seconds.clone()))?;
        Ok(Metrics {
            leader: gauge("limpet_replica_leader", "1 while this host leads.")?,
            term: gauge("limpet_replica_term", "Term of the control group.")?,
            commit: gauge("limpet_replica_commit", "Last committed log entry.")?,
            voters: gauge("limpet_replica_voters", "Voters of the control group.")?,
            learners: gauge(
                "limpet_replica_learners",
                "Members of the control group that do not vote yet.",
            )?,
            lost_voters: gauge(
                "limpet_replica_lost_voters",
                "Voters of the control group whose disks are known to be lost.",
            )?,
            tolerated_losses: gauge(
                "limpet_replica_tolerated_losses",
                "Disks that the control group can lose at once now; 0 unless this host leads.",
            )?,
            routing_set: gauge("limpet_replica_routing_set", "Number of the routing set.")?,
            evacuated_data_centres: gauge(
                "limpet_replica_evacuated_data_centres",
                "Data centres whose upstreams get no new flows.",
            )?,
            nodes: gauge("limpet_replica_nodes", "Known processes.")?,
            changes,
            change_seconds,
        })
    }
}
