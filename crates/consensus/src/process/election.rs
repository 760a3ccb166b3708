//! Elections.

use super::leader::LeaderState;
use super::{Consensus, FollowerState, MessageBody, RoleState};
use crate::version::{EntryPayload, Group, LogPosition, Votes, index_after};
use rand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use types::{MemberId, Revision, Term};

/// Limit on the exponent by which timeouts grow with failed elections: the longest one
/// is then 3.2 s by default, and a group must elect a leader within 5 s after a stall.
const MAX_BACKOFF_EXPONENT: u32 = 2;

/// A pre-candidate's state.
#[derive(Debug, Clone)]
pub(super) struct PreCandidateState {
    /// The members that would vote for this one in the next term.
    supporters: Votes,
    /// The votes of the current term, if this member is a candidate in it. They still
    /// elect it: voters with slow disks answer later than an election timeout.
    votes: Votes,
}

impl Consensus {
    /// Sets the election deadline with random jitter, which avoids repeated split
    /// votes.
    pub(super) fn reset_election_deadline(&mut self) {
        self.deadline_extended = false;
        let min = self.settings.election_timeout_min;
        let max = self.settings.election_timeout_max.max(min);
        let timeout = self.rng.random_range(min..=max);
        self.deadline = self.now + timeout * self.backoff();
    }

    /// The factor of timeouts after failed elections. If a vote takes longer to reach the
    /// disk than an election timeout, members would start elections while they wait for
    /// the votes of another one.
    fn backoff(&self) -> u32 {
        let terms = self.term.0 - self.last_led_term.0;
        let failed = u32::try_from(terms).unwrap_or(u32::MAX).saturating_sub(1);
        1 << failed.min(MAX_BACKOFF_EXPONENT)
    }

    pub(super) fn enter_term(&mut self, term: Term) {
        self.term = term;
        self.vote = None;
        self.disk.vote_changed();
        self.become_follower();
    }

    /// Becomes a follower without a known leader. A leader fails its pending
    /// requests.
    pub(super) fn become_follower(&mut self) {
        let follower = RoleState::Follower(FollowerState::default());
        if let RoleState::Leader(leader) = std::mem::replace(&mut self.role_state, follower) {
            self.fail_pending_requests(leader);
        }
        self.reset_election_deadline();
    }

    /// The group whose voters can elect this member; `None` if it must not lead. A
    /// member that an uncommitted change removes may lead, without a vote of its
    /// own: if only it holds the change, the others cannot win without its vote,
    /// and it must not vote for a log that is behind its own.
    pub(super) fn electing_group(&self) -> Option<&Group> {
        let group = self.log.group()?;
        let index = self.log.group_index();
        let before = self.log.group_at(Revision(index.0.saturating_sub(1)));
        let was_voter =
            index > self.commit && before.is_some_and(|group| group.is_voter(self.identity.id));
        (was_voter || group.is_voter(self.identity.id)).then_some(group)
    }

    /// Waits for another election timeout if this process did not run when the last one
    /// passed: messages of a leader may be queued behind this input, and pre-votes that
    /// were granted before may no longer hold. The timeout is extended only once, so that
    /// a process which always runs late still starts elections.
    pub(super) fn check_stalled(&mut self) {
        let stalled = self.now >= self.deadline + self.settings.heartbeat_interval;
        if !stalled || self.deadline_extended || matches!(self.role_state, RoleState::Leader(_)) {
            return;
        }
        if matches!(self.role_state, RoleState::PreCandidate(_)) {
            self.become_follower();
        }
        self.reset_election_deadline();
        self.deadline_extended = true;
    }

    /// Requests pre-votes before the term is raised, so that a member that returns
    /// from a partition does not depose a working leader.
    pub(super) fn begin_pre_vote(&mut self) {
        let votes = match &mut self.role_state {
            // Its requests for votes wait for the disk. A later term would wait longer,
            // and with a disk slower than an election timeout without end.
            RoleState::Candidate(_) if !self.disk.vote_synced() => {
                return self.reset_election_deadline();
            }
            RoleState::Candidate(votes) => std::mem::take(votes),
            RoleState::PreCandidate(state) => std::mem::take(&mut state.votes),
            RoleState::Follower(_) | RoleState::Leader(_) => Votes::new(),
        };
        self.become_follower();
        if self.electing_group().is_none() || self.disk.failed() {
            return;
        }
        self.role_state = RoleState::PreCandidate(PreCandidateState {
            supporters: Votes::from([(self.identity.id, BTreeSet::new())]),
            votes,
        });
        let last = self.log.durable_position();
        self.send_to_voters(&MessageBody::PreVote {
            last_log_position: last,
        });
        self.count_pre_votes();
    }

    fn send_to_voters(&mut self, body: &MessageBody) {
        let group = self.electing_group();
        let voters: Vec<_> = group.into_iter().flat_map(Group::electorate).collect();
        for voter in voters {
            if voter.0 != self.identity.id {
                self.send(voter, body.clone());
            }
        }
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        sender: (MemberId, SocketAddr),
        asked: Term,
        last: LogPosition,
    ) {
        let granted =
            asked >= self.term && last >= self.log.last_position() && !self.has_recent_leader();
        self.send(
            sender,
            MessageBody::PreVoteReply {
                request_term: asked,
                granted,
            },
        );
    }

    /// The members that granted the votes or pre-votes that this one asks for.
    pub(super) fn supporters(&self) -> BTreeSet<MemberId> {
        match &self.role_state {
            RoleState::PreCandidate(state) => state.supporters.keys().copied().collect(),
            RoleState::Candidate(votes) => votes.keys().copied().collect(),
            RoleState::Follower(_) | RoleState::Leader(_) => BTreeSet::new(),
        }
    }

    /// Whether a leader is known and sent a message within the shortest election
    /// timeout.
    fn has_recent_leader(&self) -> bool {
        match &self.role_state {
            RoleState::Leader(_) => true,
            RoleState::Follower(follower) => follower.last_heard.is_some_and(|last_heard| {
                self.now < last_heard + self.settings.election_timeout_min
            }),
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => false,
        }
    }

    pub(super) fn receive_pre_vote_reply(
        &mut self,
        from: MemberId,
        known_losses: BTreeSet<MemberId>,
        asked: Term,
        granted: bool,
    ) {
        let term = self.term;
        if let RoleState::PreCandidate(state) = &mut self.role_state
            && asked == term
            && granted
        {
            state.supporters.insert(from, known_losses);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        let RoleState::PreCandidate(state) = &self.role_state else {
            return;
        };
        if self.is_elected(&state.supporters) {
            self.begin_election();
        }
    }

    fn begin_election(&mut self) {
        self.term = Term(self.term.0 + 1);
        self.vote = Some(self.identity.id);
        self.disk.vote_changed();
        self.role_state = RoleState::Candidate(Votes::new());
        self.reset_election_deadline();
        let last = self.log.durable_position();
        self.send_to_voters(&MessageBody::Vote {
            last_log_position: last,
        });
    }

    pub(super) fn answer_vote(
        &mut self,
        sender: (MemberId, SocketAddr),
        current: bool,
        last: LogPosition,
    ) {
        let free = self.vote.is_none() || self.vote == Some(sender.0);
        let follows = matches!(self.role_state, RoleState::Follower(_));
        let granted = current && free && follows && last >= self.log.last_position();
        if granted && self.vote.is_none() {
            self.vote = Some(sender.0);
            self.disk.vote_changed();
            self.reset_election_deadline();
        }
        self.send(sender, MessageBody::VoteReply { granted });
    }

    pub(super) fn receive_vote_reply(
        &mut self,
        from: MemberId,
        known_losses: BTreeSet<MemberId>,
        granted: bool,
    ) {
        let (RoleState::Candidate(votes)
        | RoleState::PreCandidate(PreCandidateState { votes, .. })) = &mut self.role_state
        else {
            return;
        };
        if granted {
            votes.insert(from, known_losses);
            self.count_votes();
        }
    }

    /// Counts this candidate's own vote once it is on disk. The election timeout starts
    /// again, since the requests for votes are only sent now.
    pub(super) fn count_own_vote(&mut self) {
        if let RoleState::Candidate(votes) = &mut self.role_state
            && self.disk.vote_synced()
            && votes.insert(self.identity.id, BTreeSet::new()).is_none()
        {
            self.reset_election_deadline();
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let (RoleState::Candidate(votes)
        | RoleState::PreCandidate(PreCandidateState { votes, .. })) = &self.role_state
        else {
            return;
        };
        // Without its own vote on disk, a candidate whose process restarts
        // could vote for another one in a term that it has already won.
        let won = votes.contains_key(&self.identity.id) && self.is_elected(votes);
        if won {
            let first = index_after(self.log.last_position().index);
            self.role_state = RoleState::Leader(LeaderState::new(first));
            self.last_led_term = self.term;
            self.append_as_leader(EntryPayload::Noop);
            self.begin_heartbeat_round();
        }
    }
}
