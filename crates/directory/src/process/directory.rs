//! Directory of a control host.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::Node;
use crate::{DirectoryDelta, DirectoryVersion};

/// A process that was not heard for this long is removed: three hello
/// intervals, which also leaves time to switch to another control host.
pub const NODE_LEASE: Duration = Duration::from_secs(3);

/// Maximum number of changes in one delta, so that it fits in a datagram.
const MAX_CHANGES_PER_DELTA: usize = 16;

/// Maximum number of removals that are kept. A reader that missed more gets the
/// full directory.
const MAX_REMOVALS: usize = 1024;

#[derive(Debug)]
struct NodeRecord {
    node: Node,
    heard_at: Instant,
    /// Whether the process sent its hello to this control host, not to another.
    is_direct: bool,
    /// Sequence number of the last change of this record.
    changed_seq: u64,
}

/// The processes that a control host has heard of.
#[derive(Debug)]
pub struct Directory {
    incarnation: u64,
    /// Sequence number of the last change.
    seq: u64,
    records: BTreeMap<SocketAddrV4, NodeRecord>,
    /// Address by the sequence number of its removal. An address that is in
    /// `records` again was recorded after its removal.
    removed: BTreeMap<u64, SocketAddrV4>,
    /// Removals up to this sequence number are no longer kept.
    forgotten_seq: u64,
}

impl Directory {
    /// An empty directory; `incarnation` differs for each run of the control
    /// host.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Directory {
            incarnation,
            seq: 0,
            records: BTreeMap::new(),
            removed: BTreeMap::new(),
            forgotten_seq: 0,
        }
    }

    /// Records a hello. Returns whether it is a new node or a change of one.
    pub fn record_hello(&mut self, node: Node, now: Instant) -> bool {
        self.upsert(node, now, true)
    }

    /// Records a hello that another control host received `age` ago. Returns
    /// whether it is a new node or a change of one.
    pub fn record_relayed(&mut self, node: Node, age: Duration, now: Instant) -> bool {
        match now.checked_sub(age) {
            Some(heard_at) if age < NODE_LEASE => self.upsert(node, heard_at, false),
            _ => false,
        }
    }

    fn upsert(&mut self, node: Node, heard_at: Instant, is_direct: bool) -> bool {
        let address = node.address;
        if let Some(record) = self.records.get_mut(&address) {
            let same_incarnation = record.node.incarnation == node.incarnation;
            // A different incarnation replaces the record only if it was heard
            // later: messages of an earlier incarnation may still be in
            // transit.
            if heard_at <= record.heard_at && !(same_incarnation && node.seq > record.node.seq) {
                return false;
            }
            record.heard_at = record.heard_at.max(heard_at);
            record.is_direct = is_direct;
            if same_incarnation && node.seq <= record.node.seq {
                return false;
            }
            self.seq += 1;
            record.node = node;
            record.changed_seq = self.seq;
            return true;
        }
        self.seq += 1;
        let changed_seq = self.seq;
        let record = NodeRecord {
            node,
            heard_at,
            is_direct,
            changed_seq,
        };
        self.records.insert(address, record);
        true
    }

    /// Removes and returns the nodes that were not heard for a [`NODE_LEASE`].
    pub fn expire(&mut self, now: Instant) -> Vec<Node> {
        let is_expired = |record: &NodeRecord| now >= record.heard_at + NODE_LEASE;
        let expired: Vec<Node> = self
            .records
            .values()
            .filter(|record| is_expired(record))
            .map(|record| record.node.clone())
            .collect();
        for node in &expired {
            self.records.remove(&node.address);
            self.seq += 1;
            self.removed.insert(self.seq, node.address);
        }
        while self.removed.len() > MAX_REMOVALS {
            if let Some((seq, _)) = self.removed.pop_first() {
                self.forgotten_seq = seq;
            }
        }
        expired
    }

    /// Deltas that bring a reader from `version` to the current version, in the
    /// order in which they must be applied; empty if the reader is up to date.
    #[must_use]
    pub fn deltas_since(&self, version: DirectoryVersion) -> Vec<DirectoryDelta> {
        let is_known = version.incarnation == self.incarnation
            && version.seq >= self.forgotten_seq
            && version.seq <= self.seq;
        let from = if is_known {
            version
        } else {
            DirectoryVersion::default()
        };
        let mut changes: BTreeMap<u64, Result<&Node, SocketAddrV4>> = self
            .records
            .values()
            .filter(|record| record.changed_seq > from.seq)
            .map(|record| (record.changed_seq, Ok(&record.node)))
            .collect();
        // A delta that starts from nothing has no removals.
        if is_known {
            let removed = self.removed.range(from.seq + 1..);
            changes.extend(removed.map(|(seq, address)| (*seq, Err(*address))));
        }
        self.split_into_deltas(from, &changes)
    }

    fn split_into_deltas(
        &self,
        from: DirectoryVersion,
        changes: &BTreeMap<u64, Result<&Node, SocketAddrV4>>,
    ) -> Vec<DirectoryDelta> {
        let mut from = from;
        let mut deltas = Vec::new();
        let changes: Vec<_> = changes.iter().collect();
        let count = changes.chunks(MAX_CHANGES_PER_DELTA).count();
        for (i, chunk) in changes.chunks(MAX_CHANGES_PER_DELTA).enumerate() {
            let last = chunk.last().map_or(self.seq, |(seq, _)| **seq);
            let to = DirectoryVersion {
                incarnation: self.incarnation,
                seq: if i + 1 == count { self.seq } else { last },
            };
            let nodes = chunk.iter().filter_map(|(_, change)| change.ok().cloned());
            let removed = chunk.iter().filter_map(|(_, change)| change.err());
            deltas.push(DirectoryDelta {
                from,
                to,
                changed: nodes.collect(),
                removed: removed.collect(),
            });
            from = to;
        }
        deltas
    }

    /// The nodes whose hello this control host received itself since `since`,
    /// and the other control hosts, each with the time since it was heard.
    /// Control hosts that are not seeds would otherwise never hear of one
    /// another.
    pub fn heard_since(
        &self,
        since: Instant,
        now: Instant,
    ) -> impl Iterator<Item = (Node, Duration)> {
        self.records
            .values()
            .filter(move |record| record.is_direct || record.node.gossips())
            .filter(move |record| record.heard_at >= since)
            .map(move |record| {
                (
                    record.node.clone(),
                    now.saturating_duration_since(record.heard_at),
                )
            })
    }

    /// Incarnation of the node at this address, if one is listed.
    #[must_use]
    pub fn incarnation(&self, address: SocketAddrV4) -> Option<u64> {
        let record = self.records.get(&address);
        record.map(|record| record.node.incarnation)
    }

    /// Whether a node at this address is listed.
    #[must_use]
    pub fn lists(&self, address: SocketAddrV4) -> bool {
        self.records.contains_key(&address)
    }

    /// All nodes, with the time when each was last heard.
    pub fn nodes(&self) -> impl Iterator<Item = (&Node, Instant)> {
        self.records
            .values()
            .map(|record| (&record.node, record.heard_at))
    }

    /// Version of the directory.
    #[must_use]
    pub fn version(&self) -> DirectoryVersion {
        DirectoryVersion {
            incarnation: self.incarnation,
            seq: self.seq,
        }
    }
}
