//! What a process knows of the others.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{NODE_LEASE, Node};
use crate::{DirectoryDelta, DirectoryVersion};

/// A node that another control host does not know is kept for this long. A
/// control host that has just started knows all of them within a lease.
const DOUBT: Duration = NODE_LEASE.saturating_add(Duration::from_secs(1));

#[derive(Debug)]
struct Seen {
    node: Node,
    /// The control host did not list it; it is forgotten at this instant.
    forget_at: Option<Instant>,
}

/// What a process knows of the others. It keeps what it has while no control
/// host can be reached.
#[derive(Debug, Default)]
pub struct View {
    version: DirectoryVersion,
    nodes: BTreeMap<SocketAddrV4, Seen>,
}

/// What news changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ViewChanges {
    /// Nodes that are new or changed.
    pub changed: Vec<Node>,
    /// Nodes that are gone.
    pub removed: Vec<Node>,
}

impl View {
    /// What the next hello says is already known.
    #[must_use]
    pub fn version(&self) -> DirectoryVersion {
        self.version
    }

    /// Applies news and returns what changed. DirectoryDelta that does not follow on
    /// what is known is left out: the next hello asks again.
    pub fn apply(&mut self, news: DirectoryDelta, now: Instant) -> ViewChanges {
        let mut changes = ViewChanges::default();
        let starts_over = news.from == DirectoryVersion::default();
        let repeated =
            news.to.incarnation == self.version.incarnation && news.to.seq <= self.version.seq;
        if repeated || (!starts_over && news.from != self.version) {
            return changes;
        }
        self.version = news.to;
        if starts_over {
            for seen in self.nodes.values_mut() {
                seen.forget_at.get_or_insert(now + DOUBT);
            }
        }
        for address in news.removed {
            let gone = self.nodes.remove(&address);
            changes.removed.extend(gone.map(|seen| seen.node));
        }
        for node in news.changed {
            let seen = Seen {
                node: node.clone(),
                forget_at: None,
            };
            let former = self.nodes.insert(node.address, seen);
            if former.is_none_or(|former| former.node != node) {
                changes.changed.push(node);
            }
        }
        changes
    }

    /// Removes the nodes that no control host has listed for long.
    pub fn expire(&mut self, now: Instant) -> Vec<Node> {
        let gone = self
            .nodes
            .extract_if(.., |_, seen| seen.forget_at.is_some_and(|at| now >= at));
        gone.map(|(_, seen)| seen.node).collect()
    }

    /// The known processes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().map(|seen| &seen.node)
    }
}
