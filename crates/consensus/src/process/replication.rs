//! Sending the log to other members.

use super::leader::Peer;
use super::{AppendOutcome, Consensus, MessageBody, Part};
use crate::version::{EntryPayload, LogEntry, Snapshot, next};
use std::net::SocketAddr;
use types::{MemberId, Revision};

impl Consensus {
    /// Appends an entry of this leader's term.
    pub(super) fn append_own(&mut self, payload: EntryPayload) -> Revision {
        let index = next(self.log.last().index);
        self.log.append(LogEntry {
            index,
            term: self.term,
            payload,
        });
        self.refresh_peers();
        index
    }

    /// Keeps a [`Peer`] for each other member of the deciding groups.
    pub(super) fn refresh_peers(&mut self) {
        let members: Vec<MemberId> = self.peer_addresses().map(|(id, _)| id).collect();
        let now = self.now;
        // Only entries on this disk are spoken of, not even as the place before
        // others.
        let next = next(self.log.durable());
        if let Part::Leader(leader) = &mut self.part {
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
        let groups = self.deciding_groups().into_iter();
        let me = self.me.id;
        groups
            .flat_map(crate::version::Group::members)
            .filter(move |(id, _)| *id != me)
    }

    /// Sends a heartbeat to every peer.
    pub(super) fn begin_round(&mut self) {
        self.deadline = self.now + self.settings.heartbeat_interval;
        if let Part::Leader(leader) = &mut self.part {
            leader.round += 1;
            self.send_to_peers(true);
        }
    }

    /// Sends what peers lack and what is on this disk.
    pub(super) fn send_entries(&mut self) {
        self.send_to_peers(false);
    }

    fn send_to_peers(&mut self, heartbeat: bool) {
        let Part::Leader(leader) = &self.part else {
            return;
        };
        let ids: Vec<MemberId> = leader.peers.keys().copied().collect();
        for id in ids {
            self.send_to(id, heartbeat);
        }
    }

    fn send_to(&mut self, id: MemberId, heartbeat: bool) {
        let address = self.peer_addresses().find(|(peer, _)| *peer == id);
        let Part::Leader(leader) = &mut self.part else {
            return;
        };
        let round = leader.round;
        let Some((peer, address)) = leader.peers.get_mut(&id).zip(address) else {
            return;
        };
        let body = if peer.wants_snapshot(self.log.base().index) {
            let now = self.now;
            let due = peer.writable && peer.installing.is_none_or(|(_, again)| now >= again);
            match self.log.snapshot().filter(|_| due) {
                Some(snapshot) => {
                    peer.installing = Some((
                        snapshot.position.index,
                        now + self.settings.election_timeout_max,
                    ));
                    let snapshot = Snapshot::clone(snapshot);
                    MessageBody::InstallSnapshot { snapshot, round }
                }
                None if heartbeat => MessageBody::Append {
                    prev_log_position: self.log.base(),
                    entries: Vec::new(),
                    leader_commit: self.commit,
                    round,
                },
                None => return,
            }
        } else {
            let ahead = peer.next.0 - 1 - peer.matched.0;
            let open = peer.answered && peer.writable && ahead < self.settings.max_inflight_entries;
            let through = self.log.durable();
            let entries = if open {
                self.log
                    .slice(peer.next, through, self.settings.max_append_bytes)
            } else {
                Vec::new()
            };
            if entries.is_empty() && !heartbeat {
                return;
            }
            let Some(prev) = self.log.position(Revision(peer.next.0 - 1)) else {
                return;
            };
            peer.next = Revision(peer.next.0 + entries.len() as u64);
            MessageBody::Append {
                prev_log_position: prev,
                entries,
                leader_commit: self.commit,
                round,
            }
        };
        self.send(address, body);
    }

    pub(super) fn take_reply(
        &mut self,
        from: MemberId,
        round: u64,
        writable: bool,
        outcome: AppendOutcome,
    ) {
        let Part::Leader(leader) = &mut self.part else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.heard = self.now;
        peer.round = peer.round.max(round);
        peer.writable = writable;
        peer.answered = true;
        match outcome {
            AppendOutcome::Matched(index) => peer.acknowledge(index),
            AppendOutcome::Conflict(index) => peer.back_off(next(index)),
            AppendOutcome::Blank => peer.back_off(Revision(0)),
        }
    }
}

impl Peer {
    fn new(next: Revision, now: std::time::Instant) -> Self {
        Peer {
            next,
            matched: Revision(0),
            heard: now,
            answered: false,
            round: 0,
            writable: true,
            installing: None,
        }
    }

    /// Whether the next entry is compacted. `next` is 0 for a blank member,
    /// which gets the snapshot at index 0 because that holds the first group.
    fn wants_snapshot(&self, base: Revision) -> bool {
        self.installing.is_some() || self.next <= base
    }

    fn acknowledge(&mut self, index: Revision) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(next(self.matched));
        let installed = |(snapshot, _): &mut (Revision, _)| *snapshot <= index;
        if self.installing.take_if(installed).is_some() {
            self.next = next(index);
        }
    }

    /// Goes back to `index`, never behind what is acknowledged: a late or
    /// duplicated refusal may tell of an earlier state.
    fn back_off(&mut self, index: Revision) {
        let floor = match self.matched {
            Revision(0) => Revision(0),
            matched => next(matched),
        };
        if self.installing.is_none() {
            self.next = self.next.min(index).max(floor);
        }
    }
}
