//! The leader's state: commits, reads and quorum checks.

use super::transfer::TransferInFlight;
use super::{Consensus, RoleState};
use crate::request::{Completion, GroupChange, PendingReads, Rejection, RequestToken};
use crate::version::{EntryPayload, Group};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use types::{MemberId, Revision};

/// A leader's state for its term.
#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    /// The other members of the group, and a removed one until the removal is
    /// committed.
    pub peers: BTreeMap<MemberId, Peer>,
    /// Index of the first entry of the term.
    pub first_index: Revision,
    /// The latest heartbeat round that has begun.
    pub round: u64,
    /// The latest heartbeat round that a quorum replied to.
    pub confirmed_round: u64,
    pub pending_reads: PendingReads,
    /// A group change that is not appended yet, and the first heartbeat round that
    /// begins after the request.
    pub pending_change: Option<(RequestToken, GroupChange, u64)>,
    /// The request for the joint group that is committed, until the entry that
    /// completes it is appended.
    pub joint_change: Option<RequestToken>,
    /// Proposals that are not committed yet, by log index.
    pub pending_proposals: BTreeMap<Revision, RequestToken>,
}

/// A leader's replication state for another member.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    /// Index of the next entry to send; above `match_index`.
    pub next_index: Revision,
    /// Entries up to this index are on its disk and equal the leader's.
    pub match_index: Revision,
    /// When its last reply arrived; the time at which replication to it started
    /// before the first reply.
    pub last_heard: Instant,
    /// Whether it has reported its log position; until then, it gets only
    /// heartbeats.
    pub has_replied: bool,
    /// The latest heartbeat round it replied to.
    pub round: u64,
    /// The voters whose disks it has reported as lost.
    pub known_losses: BTreeSet<MemberId>,
    /// Whether its disk accepts writes.
    pub writable: bool,
    /// A large message that is not acknowledged yet.
    pub transfer: Option<TransferInFlight>,
    /// Number of transfers that failed since the last acknowledged one.
    pub failed_transfers: u32,
}

impl LeaderState {
    pub fn new(first: Revision) -> Self {
        LeaderState {
            peers: BTreeMap::new(),
            first_index: first,
            round: 0,
            confirmed_round: 0,
            pending_reads: PendingReads::default(),
            pending_change: None,
            joint_change: None,
            pending_proposals: BTreeMap::new(),
        }
    }
}

impl Consensus {
    /// The groups whose members get the log: the effective one, and the previous one while
    /// a change by this leader is uncommitted, so that a removed member learns of its
    /// removal.
    pub(super) fn replicated_groups(&self) -> Vec<&Group> {
        let index = self.log.group_index();
        let before = Revision(index.0.saturating_sub(1));
        let previous = self.log.group_at(before);
        let made_here =
            matches!(&self.role_state, RoleState::Leader(leader) if index >= leader.first_index);
        let pending = made_here && index > self.commit;
        let groups = self.log.group().into_iter();
        groups.chain(previous.filter(|_| pending)).collect()
    }

    fn has_quorum(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        let known_losses = |id| match self.peer(id) {
            _ if !agrees(id) => None,
            _ if id == self.identity.id => Some(&self.lost_voters),
            peer => peer.map(|peer| &peer.known_losses),
        };
        let min_quorum = self.settings.min_quorum;
        let group = self.log.group();
        group.is_some_and(|group| group.has_quorum(min_quorum, known_losses))
    }

    pub(super) fn heard_recently(&self, peer: &Peer) -> bool {
        self.now < peer.last_heard + self.settings.election_timeout_max
    }

    /// The members that hold all committed entries, can write, and replied within
    /// an election timeout.
    pub(super) fn caught_up(&self, leader: &LeaderState) -> BTreeSet<MemberId> {
        let caught_up = |peer: &Peer| {
            peer.has_replied
                && peer.writable
                && peer.match_index >= self.commit
                && self.heard_recently(peer)
        };
        let peers = leader.peers.iter();
        peers
            .filter(|(_, peer)| caught_up(peer))
            .map(|(id, _)| *id)
            .collect()
    }

    pub(super) fn tolerated_losses(&self, caught_up: &BTreeSet<MemberId>) -> usize {
        let is_leader = matches!(self.role_state, RoleState::Leader(_));
        let Some(group) = self.log.group().filter(|_| is_leader) else {
            return 0;
        };
        let holds = |id| caught_up.contains(&id) || id == self.identity.id && !self.disk.failed();
        group.tolerated_losses(self.settings.min_quorum, holds)
    }

    /// Steps down if no quorum replied for an election timeout, or if writes to
    /// this disk fail while a quorum of other members can write. If no such quorum
    /// exists, the leader stays, so that reads remain available.
    pub(super) fn check_quorum(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let local_id = self.identity.id;
        let fresh = |id| {
            leader
                .peers
                .get(&id)
                .is_some_and(|peer| self.heard_recently(peer))
        };
        let writable = |id| leader.peers.get(&id).is_some_and(|peer| peer.writable);
        let in_contact = self.has_quorum(|id| id == local_id || fresh(id));
        let replaceable =
            self.disk.failed() && self.has_quorum(|id| id != local_id && fresh(id) && writable(id));
        if !in_contact || replaceable {
            self.become_follower();
        }
    }

    /// Completes the requests that are pending when leadership ends.
    pub(super) fn fail_pending_requests(&mut self, mut leader: LeaderState) {
        for token in leader.pending_proposals.into_values() {
            self.out
                .completions
                .push(Completion::OutcomeUnknown { token });
        }
        // A pending group change was never appended.
        let change = leader.pending_change.map(|(token, ..)| token);
        if let Some(token) = leader.joint_change {
            let outcome = Completion::OutcomeUnknown { token };
            self.out.completions.push(outcome);
        }
        for token in leader.pending_reads.take_all().into_iter().chain(change) {
            self.reject(token, Rejection::NotLeader { leader: None });
        }
    }

    pub(super) fn propose(&mut self, token: RequestToken, command: Bytes) {
        let (bytes, limit) = (command.len(), self.settings.max_command_bytes);
        if bytes > limit {
            return self.reject(token, Rejection::TooLarge { bytes, limit });
        }
        match self.check_can_append() {
            Ok(()) => self.append_proposal(token, EntryPayload::Command(command)),
            Err(reason) => self.reject(token, reason),
        }
    }

    pub(super) fn check_can_append(&self) -> Result<(), Rejection> {
        if !matches!(self.role_state, RoleState::Leader(_)) {
            let leader = self.leader();
            return Err(Rejection::NotLeader { leader });
        }
        if self.disk.failed() {
            return Err(Rejection::DiskFailed);
        }
        Ok(())
    }

    pub(super) fn append_proposal(&mut self, token: RequestToken, payload: EntryPayload) {
        let index = self.append_as_leader(payload);
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.pending_proposals.insert(index, token);
        }
    }

    pub(super) fn confirm_read(&mut self, token: RequestToken) {
        let known = self.leader();
        match &mut self.role_state {
            RoleState::Leader(leader) => leader.pending_reads.add(token, leader.round),
            _ => self.reject(token, Rejection::NotLeader { leader: known }),
        }
    }

    pub(super) fn advance_leader(&mut self) {
        self.advance_commit();
        self.complete_joint_change();
        self.check_quorum();
        self.advance_reads();
        self.send_entries();
    }

    /// Commits up to the last entry that a quorum has on disk, if it is of this
    /// term: an entry of an earlier term can be on a majority of disks and still
    /// be overwritten by a leader without it.
    fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let local_id = self.identity.id;
        let durable = self.log.durable_index();
        let held = |id: MemberId| match leader.peers.get(&id) {
            Some(peer) => peer.match_index,
            None if id == local_id => durable,
            None => Revision(0),
        };
        let places = leader.peers.values().map(|peer| peer.match_index);
        let agreed = places
            .chain([durable])
            .filter(|index| *index <= durable && self.has_quorum(|id| held(id) >= *index))
            .max();
        let agreed = agreed.filter(|index| *index > self.commit && *index >= leader.first_index);
        if let Some(index) = agreed {
            self.commit_through(index);
        }
    }

    fn commit_through(&mut self, index: Revision) {
        let group_index = self.log.group_index();
        let had_change = group_index > self.commit;
        let is_joint = self.log.group().is_some_and(Group::is_joint);
        self.commit = index;
        if let RoleState::Leader(leader) = &mut self.role_state {
            if is_joint && group_index <= index {
                leader.joint_change = leader.pending_proposals.remove(&group_index);
            }
            let later = leader
                .pending_proposals
                .split_off(&crate::version::index_after(index));
            let accepted = std::mem::replace(&mut leader.pending_proposals, later);
            for (index, token) in accepted {
                self.out
                    .completions
                    .push(Completion::Accepted { token, index });
            }
        }
        if had_change && group_index <= index {
            self.on_group_committed();
        }
    }

    /// Confirms the reads whose heartbeat round a quorum replied to, and begins the
    /// next round if reads need one and none is outstanding.
    fn advance_reads(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let local_id = self.identity.id;
        let answered = |id: MemberId| match leader.peers.get(&id) {
            Some(peer) => peer.round,
            None if id == local_id => leader.round,
            None => 0,
        };
        let rounds = leader.peers.values().map(|peer| peer.round);
        let rounds = rounds.chain([leader.round]).filter(|r| *r <= leader.round);
        let confirmed = rounds
            .filter(|round| self.has_quorum(|id| answered(id) >= *round))
            .max();
        let outstanding = confirmed < Some(leader.round);
        let change = leader.pending_change.map_or(0, |(.., needed)| needed);
        let needed = leader.pending_reads.need_round_after(leader.round) || change > leader.round;
        if !outstanding && needed {
            self.begin_heartbeat_round();
            // In a group of one the new round is confirmed immediately.
            return self.advance_reads();
        }
        let index = self.commit;
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        leader.confirmed_round = leader.confirmed_round.max(confirmed.unwrap_or(0));
        if index < leader.first_index {
            return;
        }
        for token in leader.pending_reads.take_confirmed(leader.confirmed_round) {
            self.out
                .completions
                .push(Completion::ReadConfirmed { token, index });
        }
        let confirmed = leader.confirmed_round;
        let change = leader
            .pending_change
            .take_if(|(.., needed)| *needed <= confirmed);
        if let Some((token, change, _)) = change {
            self.append_change(token, change);
        }
    }
}
