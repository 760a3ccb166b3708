//! Elections.

use super::leader::Leader;
use super::{Consensus, Following, MessageBody, Part};
use crate::version::{EntryPayload, Group, LogPosition, next};
use rand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use types::{MemberId, Revision, Term};

impl Consensus {
    /// Draws the next election deadline. The jitter keeps members from asking
    /// for votes at the same time again and again.
    pub(super) fn arm_election(&mut self) {
        let (min, max) = (
            self.settings.election_timeout_min,
            self.settings.election_timeout_max,
        );
        let timeout = self.rng.random_range(min..=max.max(min));
        self.deadline = self.now + timeout;
    }

    pub(super) fn enter_term(&mut self, term: Term) {
        self.term = term;
        self.vote = None;
        self.disk.vote_changed();
        self.become_follower();
    }

    /// Waits for a leader; gives up what this member did in its part so far.
    pub(super) fn become_follower(&mut self) {
        let following = Part::Follower(Following::default());
        if let Part::Leader(leader) = std::mem::replace(&mut self.part, following) {
            self.give_up(leader);
        }
        self.arm_election();
    }

    /// The group that elects this member, if it may lead. A member that an
    /// uncommitted change removes may, without a vote of its own: if it alone
    /// holds the change, the others cannot win without its vote, and it must
    /// not vote for a log that is behind its own.
    fn electing_group(&self) -> Option<Group> {
        let group = self.log.group()?;
        let index = self.log.group_index();
        let before = self.log.group_at(Revision(index.0.saturating_sub(1)));
        let voted = index > self.commit && before.is_some_and(|group| group.is_voter(self.me.id));
        (voted || group.is_voter(self.me.id)).then(|| group.clone())
    }

    /// Asks whether an election can be won before it raises the term, so that
    /// a member that was cut off does not depose a working leader.
    pub(super) fn begin_pre_vote(&mut self) {
        self.become_follower();
        let Some(group) = self.electing_group().filter(|_| !self.disk.failed()) else {
            return;
        };
        self.part = Part::PreCandidate(BTreeSet::from([self.me.id]));
        let last = self.log.durable_position();
        self.ask_voters(
            &group,
            &MessageBody::PreVote {
                last_log_position: last,
            },
        );
        self.count_pre_votes();
    }

    fn ask_voters(&mut self, group: &Group, body: &MessageBody) {
        for (id, address) in &group.voters {
            if *id != self.me.id {
                self.send((*id, *address), body.clone());
            }
        }
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        sender: (MemberId, SocketAddr),
        asked: Term,
        last: LogPosition,
    ) {
        let granted = asked >= self.term && last >= self.log.last() && !self.hears_leader();
        self.send(
            sender,
            MessageBody::PreVoteReply {
                request_term: asked,
                granted,
            },
        );
    }

    /// Whether a leader was heard within the shortest election timeout.
    fn hears_leader(&self) -> bool {
        match &self.part {
            Part::Leader(_) => true,
            Part::Follower(following) => following
                .heard
                .is_some_and(|heard| self.now < heard + self.settings.election_timeout_min),
            Part::PreCandidate(_) | Part::Candidate(_) => false,
        }
    }

    pub(super) fn take_pre_vote(&mut self, from: MemberId, asked: Term, granted: bool) {
        let term = self.term;
        if let Part::PreCandidate(votes) = &mut self.part
            && asked == term
            && granted
        {
            votes.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        let Part::PreCandidate(votes) = &self.part else {
            return;
        };
        let group = self.electing_group();
        if let Some(group) = group.filter(|group| group.has_majority(|id| votes.contains(&id))) {
            self.begin_election(&group);
        }
    }

    fn begin_election(&mut self, group: &Group) {
        self.term = Term(self.term.0 + 1);
        self.vote = Some(self.me.id);
        self.disk.vote_changed();
        self.part = Part::Candidate(BTreeSet::new());
        self.arm_election();
        let last = self.log.durable_position();
        self.ask_voters(
            group,
            &MessageBody::Vote {
                last_log_position: last,
            },
        );
    }

    pub(super) fn answer_vote(
        &mut self,
        sender: (MemberId, SocketAddr),
        current: bool,
        last: LogPosition,
    ) {
        let free = self.vote.is_none() || self.vote == Some(sender.0);
        let follows = matches!(self.part, Part::Follower(_));
        let granted = current && free && follows && last >= self.log.last();
        if granted && self.vote.is_none() {
            self.vote = Some(sender.0);
            self.disk.vote_changed();
            self.arm_election();
        }
        self.send(sender, MessageBody::VoteReply { granted });
    }

    pub(super) fn take_vote(&mut self, from: MemberId, granted: bool) {
        if let Part::Candidate(votes) = &mut self.part
            && granted
        {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Counts this candidate's own vote once it is on disk.
    pub(super) fn count_own_vote(&mut self) {
        if let Part::Candidate(votes) = &mut self.part
            && self.disk.vote_synced()
            && votes.insert(self.me.id)
        {
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Part::Candidate(votes) = &self.part else {
            return;
        };
        // Without its own vote on disk, a candidate whose process restarts
        // could vote for another one in a term that it has already won.
        let won = votes.contains(&self.me.id)
            && self
                .electing_group()
                .is_some_and(|group| group.has_majority(|id| votes.contains(&id)));
        if won {
            let first = next(self.log.last().index);
            self.part = Part::Leader(Leader::new(first));
            self.append_own(EntryPayload::Noop);
            self.begin_round();
        }
    }
}
