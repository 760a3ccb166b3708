//! A member, which lasts as long as its process.

mod disk;
mod election;
mod follower;
mod group;
mod io;
mod leader;
mod message;
mod replication;
mod settings;
mod status;

pub use io::{DiskWrite, Input, Output, RestoredState, WriteId};
pub use message::{AppendOutcome, Envelope, Message, MessageBody};
pub use settings::{MemberIdentity, Settings};
pub use status::{Role, Status};

use crate::request::{Completion, Rejection, RequestToken};
use crate::version::Log;
use disk::Disk;
use follower::Following;
use leader::Leader;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;
use types::{MemberId, Revision, Term};

/// A member of the control group. See the [crate] documentation.
#[derive(Debug)]
pub struct Consensus {
    settings: Settings,
    me: MemberIdentity,
    /// Draws election timeouts; seeded by the caller.
    rng: StdRng,
    /// The latest instant passed in.
    now: Instant,
    /// Never goes back; on disk before a message speaks of it.
    term: Term,
    /// The candidate that got this member's vote in `term`.
    vote: Option<MemberId>,
    log: Log,
    disk: Disk,
    /// At most the end of the log; never goes back.
    commit: Revision,
    /// Handed to the state machine; at most `commit`, and on disk here.
    applied: Revision,
    part: Part,
    /// When an election or the next round of heartbeats is due.
    deadline: Instant,
    out: Output,
}

/// The part this member plays in its term.
#[derive(Debug)]
enum Part {
    Follower(Following),
    /// Holds the members that would grant a vote.
    PreCandidate(BTreeSet<MemberId>),
    /// Holds the members that granted their vote. Includes this one only once
    /// its own vote is on disk.
    Candidate(BTreeSet<MemberId>),
    Leader(Leader),
}

impl Consensus {
    /// A member that has `restored` on disk. The same seed draws the same
    /// election timeouts; members need different ones.
    #[must_use]
    pub fn new(
        settings: Settings,
        me: MemberIdentity,
        restored: RestoredState,
        seed: u64,
        now: Instant,
    ) -> Self {
        let log = Log::new(restored.snapshot, restored.entries);
        let applied = log.base().index;
        let mut member = Consensus {
            settings,
            me,
            rng: StdRng::seed_from_u64(seed),
            now,
            term: restored.term,
            vote: restored.vote,
            log,
            disk: Disk::new(now),
            commit: applied,
            applied,
            part: Part::Follower(Following::default()),
            deadline: now,
            out: Output::default(),
        };
        member.arm_election();
        member
    }

    /// Takes in what happened at `now` and returns what to do. An instant
    /// before the latest one counts as the latest one.
    pub fn step(&mut self, now: Instant, input: Input) -> Output {
        self.now = self.now.max(now);
        // First, so that a process that wakes after a freeze judges its
        // leadership before it takes in messages that waited meanwhile.
        self.check_contact();
        match input {
            Input::Tick => {}
            Input::Message(message) => self.receive(message),
            Input::WriteSynced(id) => self.written(id),
            Input::WriteFailed(id) => self.write_failed(id),
            Input::Bootstrap(group) => self.form(group),
            Input::Propose { token, command } => self.propose(token, command),
            Input::ChangeGroup { token, change } => self.change_group(token, change),
            Input::ConfirmRead { token } => self.confirm_read(token),
            Input::Compact { through, state } => {
                if through <= self.applied && through > self.log.base().index {
                    self.log.compact(through, state);
                }
            }
        }
        if self.now >= self.deadline {
            self.deadline_reached();
        }
        self.settle();
        std::mem::take(&mut self.out)
    }

    /// When [`Input::Tick`] is due, unless another input comes first.
    #[must_use]
    pub fn next_deadline(&self) -> Instant {
        match self.disk.retry_at() {
            Some(retry_at) => self.deadline.min(retry_at),
            None => self.deadline,
        }
    }

    /// What this member tells about itself.
    #[must_use]
    pub fn status(&self) -> Status {
        let (role, caught_up) = match &self.part {
            Part::Follower(_) => (Role::Follower, BTreeSet::new()),
            Part::PreCandidate(_) => (Role::PreCandidate, BTreeSet::new()),
            Part::Candidate(_) => (Role::Candidate, BTreeSet::new()),
            Part::Leader(leader) => (Role::Leader, self.caught_up(leader)),
        };
        Status {
            id: self.me.id,
            role,
            term: self.term,
            leader: self.leader(),
            commit_index: self.commit,
            last_index: self.log.last().index,
            snapshot_index: self.log.base().index,
            group: self.log.group().cloned(),
            change_pending: self.log.group_index() > self.commit,
            caught_up,
            disk_failed: self.disk.failed(),
        }
    }

    /// The leader of the term, if known.
    fn leader(&self) -> Option<(MemberId, SocketAddr)> {
        match &self.part {
            Part::Follower(following) => following.leader,
            Part::Leader(_) => Some((self.me.id, self.me.address)),
            Part::PreCandidate(_) | Part::Candidate(_) => None,
        }
    }

    fn receive(&mut self, message: Message) {
        if message.to != self.me.id || message.from == self.me.id {
            return;
        }
        // A question whether a vote would be granted changes nothing here.
        let asks_only = matches!(message.body, MessageBody::PreVote { .. });
        if message.term > self.term && !asks_only {
            self.enter_term(message.term);
        }
        let sender = (message.from, message.from_address);
        let current = message.term == self.term;
        match message.body {
            MessageBody::PreVote { last_log_position } => {
                self.answer_pre_vote(sender, message.term, last_log_position);
            }
            MessageBody::PreVoteReply {
                request_term,
                granted,
            } => {
                self.take_pre_vote(message.from, request_term, granted);
            }
            MessageBody::Vote { last_log_position } => {
                self.answer_vote(sender, current, last_log_position);
            }
            MessageBody::VoteReply { granted } if current => self.take_vote(message.from, granted),
            MessageBody::Append {
                prev_log_position,
                entries,
                leader_commit: commit,
                round,
            } => {
                if self.follow(sender, current, round) {
                    self.take_entries(prev_log_position, entries, commit);
                }
            }
            MessageBody::InstallSnapshot { snapshot, round } => {
                if self.follow(sender, current, round) {
                    self.take_snapshot(snapshot);
                }
            }
            MessageBody::AppendReply {
                round,
                disk_writable,
                outcome,
            } if current => self.take_reply(message.from, round, disk_writable, outcome),
            MessageBody::VoteReply { .. } | MessageBody::AppendReply { .. } => {}
        }
    }

    fn deadline_reached(&mut self) {
        if matches!(self.part, Part::Leader(_)) {
            self.begin_round();
        } else {
            self.begin_pre_vote();
        }
    }

    /// Draws the conclusions of the input.
    fn settle(&mut self) {
        if matches!(self.part, Part::Leader(_)) {
            self.settle_leader();
        }
        self.acknowledge();
        self.issue_write();
        self.release_messages();
        self.hand_out();
    }

    /// Hands the state machine what is committed and on this disk. An entry
    /// that only others hold waits, so that a restart does not go back behind
    /// what was handed out.
    fn hand_out(&mut self) {
        let through = self.commit.min(self.log.durable());
        let base = self.log.base().index;
        if self.applied < base && base <= self.log.durable() {
            self.out.installed_snapshot = self.log.snapshot().cloned();
            self.applied = base;
        }
        while self.applied < through
            && let Some(entry) = self.log.entry(crate::version::next(self.applied))
        {
            self.applied = entry.index;
            self.out.committed_entries.push(entry.clone());
        }
    }

    fn send(&mut self, (to, address): (MemberId, SocketAddr), body: MessageBody) {
        let message = Message {
            from: self.me.id,
            from_address: self.me.address,
            to,
            term: self.term,
            body,
        };
        self.disk.hold(Envelope { address, message });
    }

    fn reject(&mut self, token: RequestToken, reason: Rejection) {
        self.out
            .completions
            .push(Completion::Rejected { token, reason });
    }
}
