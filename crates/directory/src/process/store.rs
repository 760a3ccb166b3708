//! The directory of a control host.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::Node;
use crate::{DirectoryDelta, DirectoryVersion};

/// A process that was not heard for this long is gone. Three times the pause
/// between two hellos, and time for a control host to be replaced by another.
pub const NODE_LEASE: Duration = Duration::from_secs(3);

/// Nodes in one piece of news, so that it fits a datagram.
const PIECE: usize = 16;

/// Removals that are remembered. A reader that missed more starts over.
const REMOVED_KEPT: usize = 1024;

#[derive(Debug)]
struct Known {
    node: Node,
    heard: Instant,
    /// Whether the process said hello to this control host, not to another.
    direct: bool,
    /// The change of the directory that brought the record.
    changed: u64,
}

/// The processes that a control host knows of.
#[derive(Debug)]
pub struct Directory {
    incarnation: u64,
    /// Counts the changes.
    seq: u64,
    known: BTreeMap<SocketAddrV4, Known>,
    /// Address by the change that removed it; never an address in `known`
    /// that was noted before it.
    removed: BTreeMap<u64, SocketAddrV4>,
    /// Removals up to this change are forgotten.
    floor: u64,
}

impl Directory {
    /// An empty directory; `run` differs for each run of the control host.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Directory {
            incarnation,
            seq: 0,
            known: BTreeMap::new(),
            removed: BTreeMap::new(),
            floor: 0,
        }
    }

    /// Notes a hello. Returns whether it told anything new.
    pub fn record_hello(&mut self, node: Node, now: Instant) -> bool {
        self.take(node, now, true)
    }

    /// Notes what another control host heard `age` ago.
    pub fn record_relayed(&mut self, node: Node, age: Duration, now: Instant) -> bool {
        match now.checked_sub(age) {
            Some(heard) if age < NODE_LEASE => self.take(node, heard, false),
            _ => false,
        }
    }

    fn take(&mut self, node: Node, heard: Instant, direct: bool) -> bool {
        let address = node.address;
        if let Some(known) = self.known.get_mut(&address) {
            let same_run = known.node.incarnation == node.incarnation;
            // Another run counts only if it was heard later: what an earlier
            // run said may still be on its way.
            if heard <= known.heard && !(same_run && node.seq > known.node.seq) {
                return false;
            }
            known.heard = known.heard.max(heard);
            known.direct = direct;
            if same_run && node.seq <= known.node.seq {
                return false;
            }
            self.seq += 1;
            known.node = node;
            known.changed = self.seq;
            return true;
        }
        self.seq += 1;
        let changed = self.seq;
        let known = Known {
            node,
            heard,
            direct,
            changed,
        };
        self.known.insert(address, known);
        true
    }

    /// Removes the processes that were not heard for a [`NODE_LEASE`]. Returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Node> {
        let overdue = |known: &Known| now >= known.heard + NODE_LEASE;
        let gone: Vec<Node> = self
            .known
            .values()
            .filter(|known| overdue(known))
            .map(|known| known.node.clone())
            .collect();
        for node in &gone {
            self.known.remove(&node.address);
            self.seq += 1;
            self.removed.insert(self.seq, node.address);
        }
        while self.removed.len() > REMOVED_KEPT {
            if let Some((seq, _)) = self.removed.pop_first() {
                self.floor = seq;
            }
        }
        gone
    }

    /// What a reader at `mark` lacks, in pieces to be applied in order. A
    /// reader that is up to date gets none.
    #[must_use]
    pub fn deltas_since(&self, version: DirectoryVersion) -> Vec<DirectoryDelta> {
        let is_known = version.incarnation == self.incarnation
            && version.seq >= self.floor
            && version.seq <= self.seq;
        let from = if is_known {
            version
        } else {
            DirectoryVersion::default()
        };
        let mut changes: BTreeMap<u64, Result<&Node, SocketAddrV4>> = self
            .known
            .values()
            .filter(|known| known.changed > from.seq)
            .map(|known| (known.changed, Ok(&known.node)))
            .collect();
        // A reader that starts over has nothing to remove.
        if is_known {
            let removed = self.removed.range(from.seq + 1..);
            changes.extend(removed.map(|(seq, address)| (*seq, Err(*address))));
        }
        self.pieces(from, &changes)
    }

    fn pieces(
        &self,
        from: DirectoryVersion,
        changes: &BTreeMap<u64, Result<&Node, SocketAddrV4>>,
    ) -> Vec<DirectoryDelta> {
        let mut from = from;
        let mut pieces = Vec::new();
        let changes: Vec<_> = changes.iter().collect();
        let count = changes.chunks(PIECE).count();
        for (i, piece) in changes.chunks(PIECE).enumerate() {
            let last = piece.last().map_or(self.seq, |(seq, _)| **seq);
            let to = DirectoryVersion {
                incarnation: self.incarnation,
                seq: if i + 1 == count { self.seq } else { last },
            };
            let nodes = piece.iter().filter_map(|(_, change)| change.ok().cloned());
            let gone = piece.iter().filter_map(|(_, change)| change.err());
            pieces.push(DirectoryDelta {
                from,
                to,
                changed: nodes.collect(),
                removed: gone.collect(),
            });
            from = to;
        }
        pieces
    }

    /// What this control host heard itself since `since`, and what it knows of
    /// other control hosts, with the time that has passed. Hosts that are no
    /// seeds would otherwise never hear of one another.
    pub fn heard_since(
        &self,
        since: Instant,
        now: Instant,
    ) -> impl Iterator<Item = (Node, Duration)> {
        self.known
            .values()
            .filter(move |known| known.direct || known.node.gossips())
            .filter(move |known| known.heard >= since)
            .map(move |known| {
                (
                    known.node.clone(),
                    now.saturating_duration_since(known.heard),
                )
            })
    }

    /// All known processes, with the instant each was last heard.
    pub fn nodes(&self) -> impl Iterator<Item = (&Node, Instant)> {
        self.known.values().map(|known| (&known.node, known.heard))
    }

    /// The last change.
    #[must_use]
    pub fn version(&self) -> DirectoryVersion {
        DirectoryVersion {
            incarnation: self.incarnation,
            seq: self.seq,
        }
    }
}
