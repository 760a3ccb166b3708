//! The live nodes and the version that each of them has applied.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::{DataCentre, HostName, Revision, Role, Version};
use wire::{SyncRequest, request::NodeReport};

use crate::version::LeaderView;

/// Time since its last sync request after which a node no longer counts as live.
const NODE_LEASE: Duration = Duration::from_secs(3);

/// Interval between two removals of nodes with an expired lease. Each removal
/// scans all nodes.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Node {
    data_centre: DataCentre,
    version: Option<Version>,
    last_sync_at: Instant,
    lease_deadline: Instant,
}

/// The nodes that sent sync requests to this leader.
#[derive(Debug, Default)]
pub struct LiveNodes {
    nodes: BTreeMap<(Role, HostName), Node>,
    /// When nodes with an expired lease are next removed.
    next_expiry_at: Option<Instant>,
}

impl LiveNodes {
    /// Records a sync request and renews the lease of its node.
    pub fn record_sync(&mut self, now: Instant, req: &SyncRequest) {
        let node = Node {
            data_centre: req.data_centre.clone(),
            version: req.applied_version,
            last_sync_at: now,
            lease_deadline: now + NODE_LEASE,
        };
        self.nodes.insert((req.role, req.host.clone()), node);
    }

    /// Removes the nodes whose lease has expired, at most once in
    /// `EXPIRY_INTERVAL`.
    pub fn expire(&mut self, now: Instant) {
        if self.next_expiry_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_expiry_at = Some(now + EXPIRY_INTERVAL);
        self.nodes.retain(|_, node| now < node.lease_deadline);
    }

    /// Reports on every node whose lease has not expired.
    pub fn report(&self, now: Instant) -> impl Iterator<Item = NodeReport> {
        self.nodes
            .iter()
            .filter(move |(_, node)| now < node.lease_deadline)
            .map(move |((role, host), node)| NodeReport {
                role: *role,
                host: host.clone(),
                data_centre: node.data_centre.clone(),
                version: node.version,
                silent_for: now.saturating_duration_since(node.last_sync_at),
            })
    }

    /// Live nodes that have not applied `revision` yet.
    #[must_use]
    pub fn lagging(&self, now: Instant, revision: Revision) -> Vec<NodeReport> {
        self.report(now)
            .filter(|node| !LeaderView::in_force(node.version, revision))
            .collect()
    }

    /// Number of nodes, including those with an expired lease that
    /// [`Self::expire`] has not removed yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no nodes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}
