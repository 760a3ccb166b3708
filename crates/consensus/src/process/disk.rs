//! The outstanding write and the messages that wait for it.

use super::{Consensus, DiskWrite, Envelope, RoleState, WriteId};
use std::time::Instant;

/// The outstanding write, and the messages that wait for a write.
#[derive(Debug, Clone)]
pub(super) struct DiskState {
    next_id: WriteId,
    /// The outstanding write and the `vote_version` that it contains.
    in_flight: Option<(WriteId, u64)>,
    /// Number of changes of term and vote.
    vote_version: u64,
    /// The `vote_version` on disk.
    durable_vote_version: u64,
    failed: bool,
    /// After a failed write, no write is issued before this instant.
    retry_at: Instant,
    /// Messages, each with the `vote_version` that must be on disk before it is
    /// sent.
    held_messages: Vec<(u64, Envelope)>,
}

impl DiskState {
    pub fn new(now: Instant) -> Self {
        DiskState {
            next_id: WriteId(1),
            in_flight: None,
            vote_version: 0,
            durable_vote_version: 0,
            failed: false,
            retry_at: now,
            held_messages: Vec::new(),
        }
    }

    pub fn failed(&self) -> bool {
        self.failed
    }

    /// When the next attempt after a failed write is due.
    pub fn retry_at(&self) -> Option<Instant> {
        (self.failed && self.in_flight.is_none()).then_some(self.retry_at)
    }

    /// Records that term or vote changed.
    pub fn vote_changed(&mut self) {
        self.vote_version += 1;
    }

    /// Whether term and vote are on disk.
    pub fn vote_synced(&self) -> bool {
        self.durable_vote_version == self.vote_version
    }

    /// Holds a message until its term and vote are on disk. While writes fail, a
    /// message that would have to wait is dropped, as if the network lost it.
    pub fn hold_until_synced(&mut self, envelope: Envelope) {
        if self.vote_synced() || !self.failed {
            self.held_messages.push((self.vote_version, envelope));
        }
    }
}

impl Consensus {
    pub(super) fn write_synced(&mut self, id: WriteId) {
        let Some((_, version)) = self
            .disk
            .in_flight
            .take_if(|(in_flight, _)| *in_flight == id)
        else {
            return;
        };
        self.disk.durable_vote_version = version;
        self.disk.failed = false;
        self.log.complete_write();
        self.count_own_vote();
    }

    pub(super) fn write_failed(&mut self, id: WriteId) {
        let write = self
            .disk
            .in_flight
            .take_if(|(in_flight, _)| *in_flight == id);
        if write.is_none() {
            return;
        }
        self.disk.failed = true;
        self.disk.retry_at = self.now + self.settings.election_timeout_min;
        let durable = self.disk.durable_vote_version;
        self.disk
            .held_messages
            .retain(|(version, _)| *version <= durable);
        self.log.fail_write();
        if matches!(
            self.role_state,
            RoleState::PreCandidate(_) | RoleState::Candidate(_)
        ) {
            self.become_follower();
        }
    }

    /// Issues a write of everything that is not on disk, unless one is
    /// outstanding. After a failure the term is written again even if nothing
    /// else has changed, because only a synced write shows that the disk works
    /// again.
    pub(super) fn issue_write(&mut self) {
        let disk = &mut self.disk;
        let vote_needed = !disk.vote_synced() || disk.failed;
        let idle = !vote_needed && !self.log.needs_write();
        if disk.in_flight.is_some() || idle || (disk.failed && self.now < disk.retry_at) {
            return;
        }
        let id = disk.next_id;
        disk.next_id = WriteId(id.0 + 1);
        disk.in_flight = Some((id, disk.vote_version));
        let log = self.log.begin_write();
        self.out.write = Some(DiskWrite {
            id,
            term_and_vote: vote_needed.then_some((self.term, self.vote)),
            truncate_from: log.truncate_from,
            snapshot: log.snapshot,
            entries: log.entries,
        });
    }

    pub(super) fn release_messages(&mut self) {
        let durable = self.disk.durable_vote_version;
        let ready = self
            .disk
            .held_messages
            .extract_if(.., |(version, _)| *version <= durable);
        self.out
            .messages
            .extend(ready.map(|(_, envelope)| envelope));
    }
}
