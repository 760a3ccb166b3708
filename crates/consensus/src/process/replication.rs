//! Replication of the log to other members.

use super::leader::Peer;
use super::transfer::TransferInFlight;
use super::{AppendOutcome, Consensus, MessageBody, RoleState, Transfer};
use crate::version::{EntryPayload, LogEntry, LogPosition, Snapshot, index_after};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use types::{MemberId, Revision};

/// What a member gets next.
enum PeerMessage {
    Heartbeat,
    /// Entries that fit in a datagram.
    Entries(Vec<LogEntry>),
    /// Larger entries, and their size in bytes.
    LargeEntries(Vec<LogEntry>, usize),
    Snapshot(Snapshot),
}

impl Consensus {
    /// Appends an entry in this leader's term and returns its index.
    pub(super) fn append_as_leader(&mut self, payload: EntryPayload) -> Revision {
        let index = index_after(self.log.last_position().index);
        self.log.append(LogEntry {
            index,
            term: self.term,
            payload,
        });
        self.update_peers();
        index
    }

    /// Adds and removes [`Peer`]s to match the members that get the log.
    pub(super) fn update_peers(&mut self) {
        let members: Vec<MemberId> = self.peer_addresses().map(|(id, _)| id).collect();
        let now = self.now;
        // Messages refer only to entries on this disk, also as the position
        // before the sent entries.
        let next = index_after(self.log.durable_index());
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.peers.retain(|id, _| members.contains(id));
            for id in members {
                leader
                    .peers
                    .entry(id)
                    .or_insert_with(|| Peer::new(next, now));
            }
        }
    }

    fn peer_addresses(&self) -> impl Iterator<Item = (MemberId, SocketAddr)> {
        let groups = self.replicated_groups().into_iter();
        let local_id = self.identity.id;
        groups
            .flat_map(crate::version::Group::members)
            .filter(move |(id, _)| *id != local_id)
    }

    /// Sends a heartbeat to every peer.
    pub(super) fn begin_heartbeat_round(&mut self) {
        self.deadline = self.now + self.settings.heartbeat_interval;
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.round += 1;
            self.send_to_peers(true);
        }
    }

    /// Sends each peer the entries that it needs and that are on this disk.
    pub(super) fn send_entries(&mut self) {
        self.send_to_peers(false);
    }

    fn send_to_peers(&mut self, heartbeat: bool) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let mut ids: Vec<MemberId> = leader.peers.keys().copied().collect();
        // While transfers wait for others, one to a member that does not take them must
        // not always be first.
        ids.sort_by_key(|id| leader.peers.get(id).map(|peer| peer.failed_transfers));
        for id in ids {
            self.send_to(id, heartbeat);
        }
    }

    fn send_to(&mut self, id: MemberId, heartbeat: bool) {
        let in_flight = self.transfer_bytes_in_flight();
        let address = self.peer_addresses().find(|(peer, _)| *peer == id);
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let round = leader.round;
        let Some((peer, address)) = leader.peers.get_mut(&id).zip(address) else {
            return;
        };
        peer.expire_transfer(self.now);
        let base = self.log.base_position();
        let (prev, message) = if let Some(transfer) = &peer.transfer {
            (transfer.before, PeerMessage::Heartbeat)
        } else if peer.needs_snapshot(base.index) {
            (base, self.snapshot_for(id, in_flight))
        } else {
            let before = Revision(peer.next_index.0 - 1);
            let Some(prev) = self.log.position(before) else {
                return;
            };
            (prev, self.entries_for(id, in_flight))
        };
        let (body, transfer) = match message {
            PeerMessage::Heartbeat if !heartbeat => return,
            PeerMessage::Heartbeat => (self.append_body(prev, Vec::new(), round), None),
            PeerMessage::Entries(entries) => (self.append_body(prev, entries, round), None),
            PeerMessage::LargeEntries(entries, bytes) => {
                let last = Revision(prev.index.0 + entries.len() as u64);
                let body = self.append_body(prev, entries, round);
                (body, self.begin_transfer(id, bytes, in_flight, prev, last))
            }
            PeerMessage::Snapshot(snapshot) => {
                let (bytes, last) = (snapshot.state.len(), snapshot.position.index);
                let body = MessageBody::InstallSnapshot { snapshot, round };
                (body, self.begin_transfer(id, bytes, in_flight, prev, last))
            }
        };
        self.send_as(address, body, transfer);
    }

    fn append_body(&self, prev: LogPosition, entries: Vec<LogEntry>, round: u64) -> MessageBody {
        MessageBody::Append {
            prev_log_position: prev,
            entries,
            leader_commit: self.commit,
            round,
        }
    }

    pub(super) fn peer(&self, id: MemberId) -> Option<&Peer> {
        match &self.role_state {
            RoleState::Leader(leader) => leader.peers.get(&id),
            _ => None,
        }
    }

    fn snapshot_for(&self, id: MemberId, in_flight: usize) -> PeerMessage {
        let peer = self.peer(id);
        let snapshot = peer
            .zip(self.log.snapshot())
            .filter(|(peer, snapshot)| self.may_transfer(peer, snapshot.state.len(), in_flight));
        snapshot.map_or(PeerMessage::Heartbeat, |(_, snapshot)| {
            PeerMessage::Snapshot(snapshot.clone())
        })
    }

    /// The entries that a member needs and that are on this disk, unless too many are
    /// unacknowledged. A transfer starts only once everything before it is acknowledged:
    /// a lost entry before it would make the member drop it.
    fn entries_for(&mut self, id: MemberId, in_flight: usize) -> PeerMessage {
        let Some(peer) = self.peer(id) else {
            return PeerMessage::Heartbeat;
        };
        let ahead = peer.next_index.0 - 1 - peer.match_index.0;
        if !peer.has_replied || !peer.writable || ahead >= self.settings.max_inflight_entries {
            return PeerMessage::Heartbeat;
        }
        let (from, through) = (peer.next_index, self.log.durable_index());
        let entries = self
            .log
            .slice(from, through, self.settings.max_append_bytes);
        let bytes = entries.iter().map(LogEntry::size).sum();
        if entries.is_empty() {
            return PeerMessage::Heartbeat;
        }
        if bytes > self.settings.max_inline_bytes {
            return if ahead == 0 && self.may_transfer(peer, bytes, in_flight) {
                PeerMessage::LargeEntries(entries, bytes)
            } else {
                PeerMessage::Heartbeat
            };
        }
        if let RoleState::Leader(leader) = &mut self.role_state
            && let Some(peer) = leader.peers.get_mut(&id)
        {
            peer.next_index = Revision(from.0 + entries.len() as u64);
        }
        PeerMessage::Entries(entries)
    }

    /// Records a transfer to a member. Its `next_index` stays until the acknowledgement.
    fn begin_transfer(
        &mut self,
        id: MemberId,
        bytes: usize,
        in_flight: usize,
        before: LogPosition,
        last: Revision,
    ) -> Option<Transfer> {
        let failures = self.peer(id)?.failed_transfers;
        let transfer = self.new_transfer(bytes, in_flight, failures, before, last);
        let (id_sent, deadline) = (transfer.id, transfer.deadline);
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.peers.get_mut(&id)?.transfer = Some(transfer);
        }
        Some(Transfer {
            id: id_sent,
            deadline,
        })
    }

    pub(super) fn receive_append_reply(
        &mut self,
        from: MemberId,
        known_losses: BTreeSet<MemberId>,
        round: u64,
        writable: bool,
        outcome: AppendOutcome,
    ) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.last_heard = self.now;
        peer.round = peer.round.max(round);
        peer.known_losses.extend(known_losses);
        peer.writable = writable;
        peer.has_replied = true;
        match outcome {
            AppendOutcome::Matched(index) => peer.advance_match(index),
            AppendOutcome::Conflict(index) => peer.back_off(index_after(index)),
            AppendOutcome::Blank => peer.back_off(Revision(0)),
        }
    }
}

impl Peer {
    fn new(next: Revision, now: std::time::Instant) -> Self {
        Peer {
            next_index: next,
            match_index: Revision(0),
            last_heard: now,
            has_replied: false,
            round: 0,
            known_losses: BTreeSet::new(),
            writable: true,
            transfer: None,
            failed_transfers: 0,
        }
    }

    /// Whether the next entry is compacted. `next` is 0 for a blank member,
    /// which gets the snapshot at index 0 because that holds the first group.
    fn needs_snapshot(&self, base: Revision) -> bool {
        self.next_index <= base
    }

    fn advance_match(&mut self, index: Revision) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(index_after(self.match_index));
        let received = |transfer: &mut TransferInFlight| transfer.last <= index;
        if self.transfer.take_if(received).is_some() {
            self.failed_transfers = 0;
        }
    }

    /// Moves `next_index` back to `index`, but never to an acknowledged entry: a
    /// delayed or duplicated reply may describe an earlier state.
    fn back_off(&mut self, index: Revision) {
        let floor = match self.match_index {
            Revision(0) => Revision(0),
            matched => index_after(matched),
        };
        if self.transfer.is_none() {
            self.next_index = self.next_index.min(index).max(floor);
        }
    }
}
