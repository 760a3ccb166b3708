//! Handling of a leader's messages.

use super::{AppendOutcome, Consensus, MessageBody, RoleState};
use crate::version::{LogEntry, LogPosition, Snapshot};
use std::net::SocketAddr;
use std::time::Instant;
use types::{MemberId, Revision};

/// A follower's state for its term.
#[derive(Debug, Clone, Default)]
pub(super) struct FollowerState {
    pub leader: Option<(MemberId, SocketAddr)>,
    /// When the last message of the leader arrived.
    pub last_heard: Option<Instant>,
    /// The latest heartbeat round received.
    round: u64,
    /// The log equals the leader's up to this index, which may not be on disk yet.
    matched_index: Revision,
    /// The highest index acknowledged to the leader.
    last_acknowledged: Revision,
    /// Sent in the next reply instead of an acknowledgement.
    mismatch: Option<AppendOutcome>,
    /// A reply is due even if nothing new is on disk.
    reply_due: bool,
}

impl Consensus {
    /// Records the sender of entries or a snapshot as leader. Returns whether the
    /// message must be processed: not if it is of an earlier term.
    pub(super) fn accept_leader(
        &mut self,
        sender: (MemberId, SocketAddr),
        current: bool,
        round: u64,
    ) -> bool {
        if !current {
            // The reply carries the later term, which deposes the sender.
            let outcome = AppendOutcome::Conflict(Revision(0));
            self.reply(sender, 0, outcome);
            return false;
        }
        if matches!(
            self.role_state,
            RoleState::PreCandidate(_) | RoleState::Candidate(_)
        ) {
            self.become_follower();
        }
        let RoleState::Follower(follower) = &mut self.role_state else {
            return false;
        };
        self.last_led_term = self.term;
        follower.leader = Some(sender);
        follower.last_heard = Some(self.now);
        follower.round = follower.round.max(round);
        follower.reply_due = true;
        follower.mismatch = None;
        self.reset_election_deadline();
        true
    }

    pub(super) fn append_entries(
        &mut self,
        prev: LogPosition,
        entries: Vec<LogEntry>,
        commit: Revision,
    ) {
        let last = Revision(prev.index.0 + entries.len() as u64);
        if let Some(mismatch) = self.find_mismatch(prev) {
            return self.record_mismatch(mismatch);
        }
        let heartbeat = entries.is_empty();
        for entry in entries {
            if !self.append_entry(entry) {
                return;
            }
        }
        self.record_match(last, heartbeat);
        self.commit = self.commit.max(commit.min(last));
    }

    /// The reply to entries after `prev` if this log does not contain `prev`.
    fn find_mismatch(&self, prev: LogPosition) -> Option<AppendOutcome> {
        if self.log.snapshot().is_none() {
            return Some(AppendOutcome::Blank);
        }
        // What the snapshot covers is committed, so it equals the leader's.
        if prev.index < self.log.base_position().index
            || self.log.position(prev.index) == Some(prev)
        {
            return None;
        }
        let hint = match self.log.first_of_term_at(prev.index) {
            Some(first) => Revision(first.0 - 1),
            None => self.log.last_position().index,
        };
        Some(AppendOutcome::Conflict(hint.max(self.commit)))
    }

    /// Appends one entry. Returns whether to continue with the next one.
    fn append_entry(&mut self, entry: LogEntry) -> bool {
        let held = self.log.position(entry.index);
        if entry.index <= self.log.base_position().index || held == Some(entry.position()) {
            return true;
        }
        // While writes fail, entries would only accumulate in memory. An entry
        // that contradicts a committed one cannot come from a valid leader.
        if self.disk.failed() || entry.index <= self.commit {
            return false;
        }
        if held.is_some() {
            self.log.truncate(entry.index);
        }
        self.log.append(entry);
        true
    }

    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.position.index;
        let new = self.log.snapshot().is_none() || index > self.commit;
        if new && self.disk.failed() {
            return;
        }
        if new {
            self.log.install(snapshot);
            self.commit = self.commit.max(index);
        }
        self.record_match(index, false);
    }

    fn record_match(&mut self, last: Revision, heartbeat: bool) {
        let durable = self.log.durable_index();
        if let RoleState::Follower(follower) = &mut self.role_state {
            follower.matched_index = follower.matched_index.max(last);
            // The acknowledgement of new entries waits for the disk and also
            // replies to the heartbeat round. A heartbeat is answered at once,
            // so that a member with a slow disk does not appear to be lost.
            follower.reply_due = heartbeat || last <= durable || self.disk.failed();
        }
    }

    fn record_mismatch(&mut self, mismatch: AppendOutcome) {
        if let RoleState::Follower(follower) = &mut self.role_state {
            follower.mismatch = Some(mismatch);
        }
    }

    /// Sends a reply if one is due or if more entries are now on disk.
    pub(super) fn send_due_reply(&mut self) {
        let durable = self.log.durable_index();
        let RoleState::Follower(follower) = &mut self.role_state else {
            return;
        };
        let Some(leader) = follower.leader else {
            return;
        };
        let matched = follower.matched_index.min(durable);
        if !follower.reply_due && matched <= follower.last_acknowledged {
            return;
        }
        follower.reply_due = false;
        follower.last_acknowledged = follower.last_acknowledged.max(matched);
        let held = AppendOutcome::Matched(matched);
        let outcome = follower.mismatch.take().unwrap_or(held);
        let round = follower.round;
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
