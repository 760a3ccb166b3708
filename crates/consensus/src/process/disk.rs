//! What this member knows about its disk.

use super::{Consensus, DiskWrite, Envelope, Part, WriteId};
use std::time::Instant;

/// The outstanding write, and the messages that wait for a write.
#[derive(Debug)]
pub(super) struct Disk {
    next_id: WriteId,
    /// The outstanding write and the `vote_version` it brings to disk.
    in_flight: Option<(WriteId, u64)>,
    /// Counts the changes of term and vote.
    vote_version: u64,
    /// The version on disk.
    vote_durable: u64,
    failed: bool,
    /// After a failed write, no write is issued before this instant.
    retry_at: Instant,
    /// Messages with the version that must be on disk before they are sent.
    held: Vec<(u64, Envelope)>,
}

impl Disk {
    pub fn new(now: Instant) -> Self {
        Disk {
            next_id: WriteId(1),
            in_flight: None,
            vote_version: 0,
            vote_durable: 0,
            failed: false,
            retry_at: now,
            held: Vec::new(),
        }
    }

    pub fn failed(&self) -> bool {
        self.failed
    }

    /// When the next attempt after a failed write is due.
    pub fn retry_at(&self) -> Option<Instant> {
        (self.failed && self.in_flight.is_none()).then_some(self.retry_at)
    }

    /// Notes that term or vote changed.
    pub fn vote_changed(&mut self) {
        self.vote_version += 1;
    }

    /// Whether term and vote are on disk.
    pub fn vote_synced(&self) -> bool {
        self.vote_durable == self.vote_version
    }

    /// Holds a message until its term and vote are on disk. While the disk
    /// fails, a message that would have to wait is dropped, as if it were lost.
    pub fn hold(&mut self, envelope: Envelope) {
        if self.vote_synced() || !self.failed {
            self.held.push((self.vote_version, envelope));
        }
    }
}

impl Consensus {
    pub(super) fn written(&mut self, id: WriteId) {
        let Some((_, version)) = self
            .disk
            .in_flight
            .take_if(|(in_flight, _)| *in_flight == id)
        else {
            return;
        };
        self.disk.vote_durable = version;
        self.disk.failed = false;
        self.log.written();
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
        let durable = self.disk.vote_durable;
        self.disk.held.retain(|(version, _)| *version <= durable);
        self.log.write_failed();
        if matches!(self.part, Part::PreCandidate(_) | Part::Candidate(_)) {
            self.become_follower();
        }
    }

    /// Hands the disk all that it lacks, unless a write is outstanding. After a
    /// failure the term is written again even if nothing else is left to
    /// write, because only a synced write shows that the disk works again.
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
        let durable = self.disk.vote_durable;
        let ready = self
            .disk
            .held
            .extract_if(.., |(version, _)| *version <= durable);
        self.out
            .messages
            .extend(ready.map(|(_, envelope)| envelope));
    }
}
