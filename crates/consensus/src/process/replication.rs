//! Replication of the log to other members.

use super::leader::Peer;
use super::{AppendOutcome, Consensus, MessageBody, RoleState};
use crate::version::{EntryPayload, LogEntry, Snapshot, index_after};
use std::net::SocketAddr;
use types::{MemberId, Revision};

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

    /// Adds and removes [`Peer`]s to match the members of the quorum groups.
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
        let groups = self.quorum_groups().into_iter();
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
        let ids: Vec<MemberId> = leader.peers.keys().copied().collect();
        for id in ids {
            self.send_to(id, heartbeat);
        }
    }

    fn send_to(&mut self, id: MemberId, heartbeat: bool) {
        let address = self.peer_addresses().find(|(peer, _)| *peer == id);
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let round = leader.round;
        let Some((peer, address)) = leader.peers.get_mut(&id).zip(address) else {
            return;
        };
        let body = if peer.needs_snapshot(self.log.base_position().index) {
            let now = self.now;
            let due = peer.writable
                && peer
                    .snapshot_in_flight
                    .is_none_or(|(_, again)| now >= again);
            match self.log.snapshot().filter(|_| due) {
                Some(snapshot) => {
                    peer.snapshot_in_flight = Some((
                        snapshot.position.index,
                        now + self.settings.election_timeout_max,
                    ));
                    let snapshot = Snapshot::clone(snapshot);
                    MessageBody::InstallSnapshot { snapshot, round }
                }
                None if heartbeat => MessageBody::Append {
                    prev_log_position: self.log.base_position(),
                    entries: Vec::new(),
                    leader_commit: self.commit,
                    round,
                },
                None => return,
            }
        } else {
            let ahead = peer.next_index.0 - 1 - peer.match_index.0;
            let open =
                peer.has_replied && peer.writable && ahead < self.settings.max_inflight_entries;
            let through = self.log.durable_index();
            let entries = if open {
                self.log
                    .slice(peer.next_index, through, self.settings.max_append_bytes)
            } else {
                Vec::new()
            };
            if entries.is_empty() && !heartbeat {
                return;
            }
            let Some(prev) = self.log.position(Revision(peer.next_index.0 - 1)) else {
                return;
            };
            peer.next_index = Revision(peer.next_index.0 + entries.len() as u64);
            MessageBody::Append {
                prev_log_position: prev,
                entries,
                leader_commit: self.commit,
                round,
            }
        };
        self.send(address, body);
    }

    pub(super) fn receive_append_reply(
        &mut self,
        from: MemberId,
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
            writable: true,
            snapshot_in_flight: None,
        }
    }

    /// Whether the next entry is compacted. `next` is 0 for a blank member,
    /// which gets the snapshot at index 0 because that holds the first group.
    fn needs_snapshot(&self, base: Revision) -> bool {
        self.snapshot_in_flight.is_some() || self.next_index <= base
    }

    fn advance_match(&mut self, index: Revision) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(index_after(self.match_index));
        let installed = |(snapshot, _): &mut (Revision, _)| *snapshot <= index;
        if self.snapshot_in_flight.take_if(installed).is_some() {
            self.next_index = index_after(index);
        }
    }

    /// Moves `next_index` back to `index`, but never to an acknowledged entry: a
    /// delayed or duplicated reply may describe an earlier state.
    fn back_off(&mut self, index: Revision) {
        let floor = match self.match_index {
            Revision(0) => Revision(0),
            matched => index_after(matched),
        };
        if self.snapshot_in_flight.is_none() {
            self.next_index = self.next_index.min(index).max(floor);
        }
    }
}
