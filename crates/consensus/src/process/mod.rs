//! The state of a member, which lives as long as its process.

mod disk;
mod election;
mod follower;
mod group;
mod io;
mod leader;
mod losses;
mod message;
mod replication;
mod settings;
mod status;
mod transfer;

pub use io::{DiskWrite, Input, Output, RestoredState, WriteId};
pub use message::{AppendOutcome, Envelope, Message, MessageBody};
pub use settings::{MemberIdentity, Settings};
pub use status::{Role, Status};
pub use transfer::{Transfer, TransferId};

use crate::request::{Completion, Rejection, RequestToken};
use crate::version::{Log, Votes};
use disk::DiskState;
use election::PreCandidateState;
use follower::FollowerState;
use leader::LeaderState;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;
use types::{MemberId, Revision, Term};

/// A member of the control group. See the [crate] documentation.
///
/// A clone is another member with the same state, by which a search in tests branches.
#[derive(Debug, Clone)]
pub struct Consensus {
    settings: Settings,
    identity: MemberIdentity,
    /// Generates election timeouts; seeded by the caller.
    rng: StdRng,
    /// The latest instant passed in.
    now: Instant,
    /// Never decreases; on disk before it is sent in a message.
    term: Term,
    /// The candidate that got this member's vote in `term`.
    vote: Option<MemberId>,
    /// The last term with a known leader; the term on disk after a start.
    last_led_term: Term,
    log: Log,
    /// Other voters of the effective group whose disks are lost for good. Not on disk: a
    /// member that restarts learns it again.
    lost_voters: BTreeSet<MemberId>,
    disk: DiskState,
    /// At most the last index of the log; never decreases.
    commit: Revision,
    /// Last index returned for the state machine; at most `commit`, and on this
    /// member's disk.
    applied: Revision,
    role_state: RoleState,
    /// When an election or the next heartbeat round is due.
    deadline: Instant,
    /// Whether the election deadline was extended after a stall of this process.
    deadline_extended: bool,
    /// Id of the next transfer.
    next_transfer: TransferId,
    out: Output,
}

/// The role of this member in its term, with the state that belongs to it.
#[derive(Debug, Clone)]
enum RoleState {
    Follower(FollowerState),
    PreCandidate(PreCandidateState),
    /// The members that granted their vote. Includes this one only once its own
    /// vote is on disk.
    Candidate(Votes),
    Leader(LeaderState),
}

impl Consensus {
    /// Creates a member from its state on disk. The seed determines the election
    /// timeouts, so each member needs a different one.
    #[must_use]
    pub fn new(
        settings: Settings,
        identity: MemberIdentity,
        restored: RestoredState,
        seed: u64,
        now: Instant,
    ) -> Self {
        let log = Log::new(restored.snapshot, restored.entries);
        let applied = log.base_position().index;
        let mut member = Consensus {
            settings,
            identity,
            rng: StdRng::seed_from_u64(seed),
            now,
            term: restored.term,
            vote: restored.vote,
            last_led_term: restored.term,
            log,
            lost_voters: BTreeSet::new(),
            disk: DiskState::new(now),
            commit: applied,
            applied,
            role_state: RoleState::Follower(FollowerState::default()),
            deadline: now,
            deadline_extended: false,
            next_transfer: TransferId(1),
            out: Output::default(),
        };
        member.reset_election_deadline();
        member
    }

    /// Processes an input that occurred at `now` and returns the actions to carry
    /// out. An instant before the latest one is treated as the latest one.
    pub fn step(&mut self, now: Instant, input: Input) -> Output {
        self.now = self.now.max(now);
        // First, so that a leader whose process was suspended steps down before
        // it processes messages that were queued meanwhile.
        self.check_quorum();
        self.check_stalled();
        match input {
            Input::Tick => {}
            Input::Message(message) => self.receive(message),
            Input::WriteSynced(id) => self.write_synced(id),
            Input::WriteFailed(id) => self.write_failed(id),
            Input::TransferEnded { id, delivered } => self.transfer_ended(id, delivered),
            Input::Bootstrap(group) => self.bootstrap(group),
            Input::Propose { token, command } => self.propose(token, command),
            Input::ChangeGroup { token, change } => self.change_group(token, change),
            Input::ConfirmRead { token } => self.confirm_read(token),
            Input::Compact { through, state } => {
                if through <= self.applied && through > self.log.base_position().index {
                    self.log.compact(through, state);
                }
            }
        }
        if self.now >= self.deadline {
            self.deadline_reached();
        }
        self.advance();
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

    /// The current status of this member.
    #[must_use]
    pub fn status(&self) -> Status {
        let (role, caught_up) = match &self.role_state {
            RoleState::Follower(_) => (Role::Follower, BTreeSet::new()),
            RoleState::PreCandidate(_) => (Role::PreCandidate, BTreeSet::new()),
            RoleState::Candidate(_) => (Role::Candidate, BTreeSet::new()),
            RoleState::Leader(leader) => (Role::Leader, self.caught_up(leader)),
        };
        Status {
            id: self.identity.id,
            role,
            term: self.term,
            leader: self.leader(),
            commit_index: self.commit,
            last_index: self.log.last_position().index,
            snapshot_index: self.log.base_position().index,
            group: self.log.group().cloned(),
            change_pending: self.has_pending_change(),
            supporters: self.supporters(),
            lost_voters: self.lost_voters.clone(),
            tolerated_losses: self.tolerated_losses(&caught_up),
            caught_up,
            disk_failed: self.disk.failed(),
        }
    }

    /// The leader of the term, if known.
    fn leader(&self) -> Option<(MemberId, SocketAddr)> {
        match &self.role_state {
            RoleState::Follower(follower) => follower.leader,
            RoleState::Leader(_) => Some((self.identity.id, self.identity.address)),
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => None,
        }
    }

    fn receive(&mut self, message: Message) {
        if message.from == self.identity.id {
            return;
        }
        let sender = (message.from, message.from_address);
        if message.to != self.identity.id {
            if message.body.is_request() {
                let member = message.to;
                self.send(sender, MessageBody::Replaced { member });
            }
            return;
        }
        // A pre-vote request must not change the state of the receiver, and the sender of
        // `Replaced` may not be a member of the group.
        let keeps_term = matches!(
            message.body,
            MessageBody::PreVote { .. } | MessageBody::Replaced { .. }
        );
        if message.term > self.term && !keeps_term {
            self.enter_term(message.term);
        }
        self.record_losses(&message.lost_voters);
        let current = message.term == self.term;
        match message.body {
            MessageBody::PreVote { last_log_position } => {
                self.answer_pre_vote(sender, message.term, last_log_position);
            }
            MessageBody::PreVoteReply {
                request_term,
                granted,
            } => {
                let losses = message.lost_voters;
                self.receive_pre_vote_reply(message.from, losses, request_term, granted);
            }
            MessageBody::Vote { last_log_position } => {
                self.answer_vote(sender, current, last_log_position);
            }
            MessageBody::VoteReply { granted } if current => {
                self.receive_vote_reply(message.from, message.lost_voters, granted);
            }
            MessageBody::Append {
                prev_log_position,
                entries,
                leader_commit: commit,
                round,
            } => {
                if self.accept_leader(sender, current, round) {
                    self.append_entries(prev_log_position, entries, commit);
                }
            }
            MessageBody::InstallSnapshot { snapshot, round } => {
                if self.accept_leader(sender, current, round) {
                    self.install_snapshot(snapshot);
                }
            }
            MessageBody::AppendReply {
                round,
                disk_writable,
                outcome,
            } if current => {
                let losses = message.lost_voters;
                self.receive_append_reply(message.from, losses, round, disk_writable, outcome);
            }
            MessageBody::Replaced { member } => self.record_replacement(sender, member),
            MessageBody::VoteReply { .. } | MessageBody::AppendReply { .. } => {}
        }
    }

    fn deadline_reached(&mut self) {
        if matches!(self.role_state, RoleState::Leader(_)) {
            self.begin_heartbeat_round();
        } else {
            self.begin_pre_vote();
        }
    }

    /// Applies the effects of an input: commits, replies, writes and deliveries.
    fn advance(&mut self) {
        self.forget_former_voters();
        if matches!(self.role_state, RoleState::Leader(_)) {
            self.advance_leader();
        }
        self.send_due_reply();
        self.issue_write();
        self.release_messages();
        self.deliver_committed();
    }

    /// Returns the entries that are committed and on this disk. Entries that are
    /// only on other disks wait, so that a restart never recovers a state older
    /// than the one already delivered.
    fn deliver_committed(&mut self) {
        let through = self.commit.min(self.log.durable_index());
        let base = self.log.base_position().index;
        if self.applied < base && base <= self.log.durable_index() {
            self.out.installed_snapshot = self.log.snapshot().cloned();
            self.applied = base;
        }
        while self.applied < through
            && let Some(entry) = self.log.entry(crate::version::index_after(self.applied))
        {
            self.applied = entry.index;
            self.out.committed_entries.push(entry.clone());
        }
    }

    fn send(&mut self, to: (MemberId, SocketAddr), body: MessageBody) {
        self.send_as(to, body, None);
    }

    fn send_as(
        &mut self,
        (to, address): (MemberId, SocketAddr),
        body: MessageBody,
        transfer: Option<Transfer>,
    ) {
        let message = Message {
            from: self.identity.id,
            from_address: self.identity.address,
            to,
            term: self.term,
            body,
            lost_voters: self.lost_voters.clone(),
        };
        self.disk.hold_until_synced(Envelope {
            address,
            message,
            transfer,
        });
    }

    fn reject(&mut self, token: RequestToken, reason: Rejection) {
        self.out
            .completions
            .push(Completion::Rejected { token, reason });
    }
}
