//! What a leader keeps, and how it counts majorities.

use super::{Consensus, Part};
use crate::request::{Completion, GroupChange, Reads, Rejection, RequestToken};
use crate::version::{EntryPayload, Group};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use types::{MemberId, Revision};

/// What a leader keeps for its term.
#[derive(Debug)]
pub(super) struct Leader {
    /// The other members of the group, and a removed one until the removal is
    /// committed.
    pub peers: BTreeMap<MemberId, Peer>,
    /// The first entry of the term.
    pub first: Revision,
    /// The latest round of heartbeats that has begun.
    pub round: u64,
    /// The latest round that a majority answered.
    pub confirmed: u64,
    pub reads: Reads,
    /// A group change, and the first round that began after it was asked for.
    pub change: Option<(RequestToken, GroupChange, u64)>,
    /// Proposals that are not committed yet.
    pub proposals: BTreeMap<Revision, RequestToken>,
}

/// What a leader knows of another member.
#[derive(Debug)]
pub(super) struct Peer {
    /// The next entry to send; above `matched`.
    pub next: Revision,
    /// Entries up to here are on its disk and equal the leader's.
    pub matched: Revision,
    /// Its last answer; the start of leadership before the first one.
    pub heard: Instant,
    /// Whether it has said what it holds; before that, only heartbeats go out.
    pub answered: bool,
    /// The latest round it answered.
    pub round: u64,
    /// Whether its disk accepts writes.
    pub writable: bool,
    /// The snapshot that was sent and when to send it again.
    pub installing: Option<(Revision, Instant)>,
}

impl Leader {
    pub fn new(first: Revision) -> Self {
        Leader {
            peers: BTreeMap::new(),
            first,
            round: 0,
            confirmed: 0,
            reads: Reads::default(),
            change: None,
            proposals: BTreeMap::new(),
        }
    }
}

impl Consensus {
    /// The groups that must agree: the one in force, and the one before it while
    /// a change that this leader made is uncommitted. Asking both keeps a leader
    /// that is cut off from shrinking the group to itself and committing alone.
    /// A change that an earlier leader made needs only the group in force, whose
    /// majority has elected this one: the members it removed may be gone.
    pub(super) fn deciding_groups(&self) -> Vec<&Group> {
        let index = self.log.group_index();
        let before = Revision(index.0.saturating_sub(1));
        let previous = self.log.group_at(before);
        let made_here = matches!(&self.part, Part::Leader(leader) if index >= leader.first);
        let pending = made_here && index > self.commit;
        let groups = self.log.group().into_iter();
        groups.chain(previous.filter(|_| pending)).collect()
    }

    fn majority(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        let groups = self.deciding_groups();
        !groups.is_empty() && groups.iter().all(|group| group.has_majority(&agrees))
    }

    fn is_fresh(&self, peer: &Peer) -> bool {
        self.now < peer.heard + self.settings.election_timeout_max
    }

    /// The members that hold all that is committed and were heard lately.
    pub(super) fn caught_up(&self, leader: &Leader) -> BTreeSet<MemberId> {
        let caught_up = |peer: &Peer| {
            peer.answered && peer.writable && peer.matched >= self.commit && self.is_fresh(peer)
        };
        let peers = leader.peers.iter();
        peers
            .filter(|(_, peer)| caught_up(peer))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Steps down if no majority was heard for an election timeout, or if this
    /// disk refuses writes while a majority of others could go on. If no
    /// majority could, the leader stays and reads go on.
    pub(super) fn check_contact(&mut self) {
        let Part::Leader(leader) = &self.part else {
            return;
        };
        let me = self.me.id;
        let fresh = |id| {
            leader
                .peers
                .get(&id)
                .is_some_and(|peer| self.is_fresh(peer))
        };
        let writable = |id| leader.peers.get(&id).is_some_and(|peer| peer.writable);
        let in_contact = self.majority(|id| id == me || fresh(id));
        let replaceable =
            self.disk.failed() && self.majority(|id| id != me && fresh(id) && writable(id));
        if !in_contact || replaceable {
            self.become_follower();
        }
    }

    /// Answers what waits for a leadership that has ended.
    pub(super) fn give_up(&mut self, mut leader: Leader) {
        for token in leader.proposals.into_values() {
            self.out
                .completions
                .push(Completion::OutcomeUnknown { token });
        }
        // A change that still waits was never appended.
        let change = leader.change.map(|(token, ..)| token);
        for token in leader.reads.take_all().into_iter().chain(change) {
            self.reject(token, Rejection::NotLeader { leader: None });
        }
    }

    pub(super) fn propose(&mut self, token: RequestToken, command: Bytes) {
        match self.may_append() {
            Ok(()) => self.append_proposal(token, EntryPayload::Command(command)),
            Err(reason) => self.reject(token, reason),
        }
    }

    pub(super) fn may_append(&self) -> Result<(), Rejection> {
        if !matches!(self.part, Part::Leader(_)) {
            let leader = self.leader();
            return Err(Rejection::NotLeader { leader });
        }
        if self.disk.failed() {
            return Err(Rejection::DiskFailed);
        }
        Ok(())
    }

    pub(super) fn append_proposal(&mut self, token: RequestToken, payload: EntryPayload) {
        let index = self.append_own(payload);
        if let Part::Leader(leader) = &mut self.part {
            leader.proposals.insert(index, token);
        }
    }

    pub(super) fn confirm_read(&mut self, token: RequestToken) {
        let known = self.leader();
        match &mut self.part {
            Part::Leader(leader) => leader.reads.add(token, leader.round),
            _ => self.reject(token, Rejection::NotLeader { leader: known }),
        }
    }

    pub(super) fn settle_leader(&mut self) {
        self.advance_commit();
        self.check_contact();
        self.advance_reads();
        self.send_entries();
    }

    /// Commits up to the last entry that a majority of disks holds, if it is of
    /// this term: an entry of an earlier term can be on a majority and still be
    /// overwritten by a leader that lacks it.
    fn advance_commit(&mut self) {
        let Part::Leader(leader) = &self.part else {
            return;
        };
        let me = self.me.id;
        let durable = self.log.durable();
        let held = |id: MemberId| match leader.peers.get(&id) {
            Some(peer) => peer.matched,
            None if id == me => durable,
            None => Revision(0),
        };
        let places = leader.peers.values().map(|peer| peer.matched);
        let agreed = places
            .chain([durable])
            .filter(|index| *index <= durable && self.majority(|id| held(id) >= *index))
            .max();
        let agreed = agreed.filter(|index| *index > self.commit && *index >= leader.first);
        if let Some(index) = agreed {
            self.commit_through(index);
        }
    }

    fn commit_through(&mut self, index: Revision) {
        let had_change = self.log.group_index() > self.commit;
        self.commit = index;
        if let Part::Leader(leader) = &mut self.part {
            let later = leader.proposals.split_off(&crate::version::next(index));
            let accepted = std::mem::replace(&mut leader.proposals, later);
            for (index, token) in accepted {
                self.out
                    .completions
                    .push(Completion::Accepted { token, index });
            }
        }
        if had_change && self.log.group_index() <= index {
            self.group_committed();
        }
    }

    /// Confirms the reads whose round a majority answered, and begins the next
    /// round if reads wait for one and none is outstanding.
    fn advance_reads(&mut self) {
        let Part::Leader(leader) = &self.part else {
            return;
        };
        let me = self.me.id;
        let answered = |id: MemberId| match leader.peers.get(&id) {
            Some(peer) => peer.round,
            None if id == me => leader.round,
            None => 0,
        };
        let rounds = leader.peers.values().map(|peer| peer.round);
        let rounds = rounds.chain([leader.round]).filter(|r| *r <= leader.round);
        let confirmed = rounds
            .filter(|round| self.majority(|id| answered(id) >= *round))
            .max();
        let outstanding = confirmed < Some(leader.round);
        let change = leader.change.map_or(0, |(.., needed)| needed);
        let needed = leader.reads.need_round_after(leader.round) || change > leader.round;
        if !outstanding && needed {
            self.begin_round();
            // A group of one has its majority at once.
            return self.advance_reads();
        }
        let index = self.commit;
        let Part::Leader(leader) = &mut self.part else {
            return;
        };
        leader.confirmed = leader.confirmed.max(confirmed.unwrap_or(0));
        if index < leader.first {
            return;
        }
        for token in leader.reads.take_confirmed(leader.confirmed) {
            self.out
                .completions
                .push(Completion::ReadConfirmed { token, index });
        }
        let confirmed = leader.confirmed;
        let change = leader.change.take_if(|(.., needed)| *needed <= confirmed);
        if let Some((token, change, _)) = change {
            self.append_change(token, change);
        }
    }
}
