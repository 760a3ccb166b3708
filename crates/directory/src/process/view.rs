//! A process's copy of the directory.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{NODE_LEASE, Node};
use crate::{DirectoryDelta, DirectoryVersion};

/// A node that is missing from a full directory is kept for this long: a
/// control host that has just started has heard from all nodes within a lease.
const UNLISTED_RETENTION: Duration = NODE_LEASE.saturating_add(Duration::from_secs(1));

#[derive(Debug)]
struct ViewEntry {
    node: Node,
    /// When to remove the node, because a full directory did not list it.
    remove_at: Option<Instant>,
}

/// A process's copy of the directory. Its nodes stay while no control host can
/// be reached.
#[derive(Debug, Default)]
pub struct View {
    version: DirectoryVersion,
    nodes: BTreeMap<SocketAddrV4, ViewEntry>,
}

/// Changes made by a delta.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ViewChanges {
    /// Nodes that are new or changed.
    pub changed: Vec<Node>,
    /// Nodes that were removed.
    pub removed: Vec<Node>,
}

impl View {
    /// Version that the next hello reports.
    #[must_use]
    pub fn version(&self) -> DirectoryVersion {
        self.version
    }

    /// Applies a delta and returns the changes. A delta that does not start at
    /// the current version is ignored: the next hello requests it again.
    pub fn apply(&mut self, delta: DirectoryDelta, now: Instant) -> ViewChanges {
        let mut changes = ViewChanges::default();
        let is_full = delta.from == DirectoryVersion::default();
        let is_old =
            delta.to.incarnation == self.version.incarnation && delta.to.seq <= self.version.seq;
        if is_old || (!is_full && delta.from != self.version) {
            return changes;
        }
        self.version = delta.to;
        if is_full {
            for entry in self.nodes.values_mut() {
                entry.remove_at.get_or_insert(now + UNLISTED_RETENTION);
            }
        }
        for address in delta.removed {
            let removed = self.nodes.remove(&address);
            changes.removed.extend(removed.map(|entry| entry.node));
        }
        for node in delta.changed {
            let entry = ViewEntry {
                node: node.clone(),
                remove_at: None,
            };
            let former = self.nodes.insert(node.address, entry);
            if former.is_none_or(|former| former.node != node) {
                changes.changed.push(node);
            }
        }
        changes
    }

    /// Removes and returns the nodes that were missing from a full directory
    /// for longer than `UNLISTED_RETENTION`.
    pub fn expire(&mut self, now: Instant) -> Vec<Node> {
        let removed = self
            .nodes
            .extract_if(.., |_, entry| entry.remove_at.is_some_and(|at| now >= at));
        removed.map(|(_, entry)| entry.node).collect()
    }

    /// All nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().map(|entry| &entry.node)
    }
}
