//! Which node has which version in force.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::{DataCentre, HostName, Revision, Role, Version};
use wire::{SyncRequest, request::NodeReport};

use crate::version::LeaderView;

/// Time after which a silent node no longer counts as live.
const LEASE: Duration = Duration::from_secs(3);

/// Time between two searches for silent nodes. A search looks at every node.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Node {
    data_centre: DataCentre,
    version: Option<Version>,
    heard_at: Instant,
    live_until: Instant,
}

/// The nodes that were heard, at the leader.
#[derive(Debug, Default)]
pub struct LiveNodes {
    nodes: BTreeMap<(Role, HostName), Node>,
    /// When silent nodes are next searched for.
    expire_at: Option<Instant>,
}

impl LiveNodes {
    /// Notes the request of a node.
    pub fn record_sync(&mut self, now: Instant, req: &SyncRequest) {
        let node = Node {
            data_centre: req.data_centre.clone(),
            version: req.have,
            heard_at: now,
            live_until: now + LEASE,
        };
        self.nodes.insert((req.role, req.host.clone()), node);
    }

    /// Forgets nodes that were silent for long.
    pub fn expire(&mut self, now: Instant) {
        if self.expire_at.is_some_and(|at| now < at) {
            return;
        }
        self.expire_at = Some(now + EXPIRE_INTERVAL);
        self.nodes.retain(|_, node| now < node.live_until);
    }

    /// Every live node.
    pub fn report(&self, now: Instant) -> impl Iterator<Item = NodeReport> {
        self.nodes
            .iter()
            .filter(move |(_, node)| now < node.live_until)
            .map(move |((role, host), node)| NodeReport {
                role: *role,
                host: host.clone(),
                data_centre: node.data_centre.clone(),
                version: node.version,
                silent_for: now.saturating_duration_since(node.heard_at),
            })
    }

    /// Live nodes that have not yet a revision in force.
    #[must_use]
    pub fn lagging(&self, now: Instant, revision: Revision) -> Vec<NodeReport> {
        self.report(now)
            .filter(|node| !LeaderView::in_force(node.version, revision))
            .collect()
    }

    /// Number of nodes, with those that fell silent lately.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no node was heard.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}
