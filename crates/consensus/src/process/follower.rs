//! Following a leader.

use super::{AppendOutcome, Consensus, MessageBody, Part};
use crate::version::{LogEntry, LogPosition, Snapshot};
use std::net::SocketAddr;
use std::time::Instant;
use types::{MemberId, Revision};

/// What a follower knows of the leader of its term.
#[derive(Debug, Default)]
pub(super) struct Following {
    pub leader: Option<(MemberId, SocketAddr)>,
    /// When the leader was last heard.
    pub heard: Option<Instant>,
    /// The latest round received.
    round: u64,
    /// The log equals the leader's up to here; it need not be on disk yet.
    verified: Revision,
    /// The last acknowledgement sent.
    acked: Revision,
    /// What the next reply says in place of an acknowledgement.
    refusal: Option<AppendOutcome>,
    /// A reply is due even if nothing new is on disk.
    reply_due: bool,
}

impl Consensus {
    /// Follows the sender of entries or of a snapshot. Returns whether what it
    /// sent counts: not if it leads an earlier term.
    pub(super) fn follow(
        &mut self,
        sender: (MemberId, SocketAddr),
        current: bool,
        round: u64,
    ) -> bool {
        if !current {
            // Tells the sender of the later term.
            let outcome = AppendOutcome::Conflict(Revision(0));
            self.reply(sender, 0, outcome);
            return false;
        }
        if matches!(self.part, Part::PreCandidate(_) | Part::Candidate(_)) {
            self.become_follower();
        }
        let Part::Follower(following) = &mut self.part else {
            return false;
        };
        following.leader = Some(sender);
        following.heard = Some(self.now);
        following.round = following.round.max(round);
        following.reply_due = true;
        following.refusal = None;
        self.arm_election();
        true
    }

    pub(super) fn take_entries(
        &mut self,
        prev: LogPosition,
        entries: Vec<LogEntry>,
        commit: Revision,
    ) {
        let last = Revision(prev.index.0 + entries.len() as u64);
        if let Some(refusal) = self.refusal(prev) {
            return self.refuse(refusal);
        }
        let heartbeat = entries.is_empty();
        for entry in entries {
            if !self.take_entry(entry) {
                return;
            }
        }
        self.verify(last, heartbeat);
        self.commit = self.commit.max(commit.min(last));
    }

    /// Why entries after `prev` do not fit this log.
    fn refusal(&self, prev: LogPosition) -> Option<AppendOutcome> {
        if self.log.snapshot().is_none() {
            return Some(AppendOutcome::Blank);
        }
        // What the snapshot covers is committed, so it equals the leader's.
        if prev.index < self.log.base().index || self.log.position(prev.index) == Some(prev) {
            return None;
        }
        let hint = match self.log.first_of_term_at(prev.index) {
            Some(first) => Revision(first.0 - 1),
            None => self.log.last().index,
        };
        Some(AppendOutcome::Conflict(hint.max(self.commit)))
    }

    /// Takes one entry that fits. Returns whether to go on with the next one.
    fn take_entry(&mut self, entry: LogEntry) -> bool {
        let held = self.log.position(entry.index);
        if entry.index <= self.log.base().index || held == Some(entry.position()) {
            return true;
        }
        // Entries that cannot be written would only pile up in memory. A
        // contradiction of a committed entry is no leader's log.
        if self.disk.failed() || entry.index <= self.commit {
            return false;
        }
        if held.is_some() {
            self.log.truncate(entry.index);
        }
        self.log.append(entry);
        true
    }

    pub(super) fn take_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.position.index;
        let new = self.log.snapshot().is_none() || index > self.commit;
        if new && self.disk.failed() {
            return;
        }
        if new {
            self.log.install(snapshot);
            self.commit = self.commit.max(index);
        }
        self.verify(index, false);
    }

    fn verify(&mut self, last: Revision, heartbeat: bool) {
        let durable = self.log.durable();
        if let Part::Follower(following) = &mut self.part {
            following.verified = following.verified.max(last);
            // An acknowledgement of new entries waits for the disk, and serves
            // as the answer to the round as well. A heartbeat is answered at
            // once, so that a slow disk does not look like a lost member.
            following.reply_due = heartbeat || last <= durable || self.disk.failed();
        }
    }

    fn refuse(&mut self, refusal: AppendOutcome) {
        if let Part::Follower(following) = &mut self.part {
            following.refusal = Some(refusal);
        }
    }

    /// Sends the reply that is due, or acknowledges what is newly on disk.
    pub(super) fn acknowledge(&mut self) {
        let durable = self.log.durable();
        let Part::Follower(following) = &mut self.part else {
            return;
        };
        let Some(leader) = following.leader else {
            return;
        };
        let matched = following.verified.min(durable);
        if !following.reply_due && matched <= following.acked {
            return;
        }
        following.reply_due = false;
        following.acked = following.acked.max(matched);
        let held = AppendOutcome::Matched(matched);
        let outcome = following.refusal.take().unwrap_or(held);
        let round = following.round;
        self.reply(leader, round, outcome);
    }

    fn reply(&mut self, leader: (MemberId, SocketAddr), round: u64, outcome: AppendOutcome) {
        let writable = !self.disk.failed();
        self.send(
            leader,
            MessageBody::AppendReply {
                round,
                disk_writable: writable,
                outcome,
            },
        );
    }
}
