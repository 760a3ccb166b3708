//! Agreement on the first group: single-decree consensus (Paxos) among the seeds.

use std::{
    collections::BTreeSet,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use directory::{Ballot, FirstGroup, FormationMessage};
use serde::{Deserialize, Serialize};

/// Delay after a start before a seed proposes, so that all hosts can be discovered.
/// Hosts that appear later are added to the group.
const FIRST_ATTEMPT_DELAY: Duration = Duration::from_millis(1200);

/// Delay between the attempts of one seed and the next, in the order of their
/// addresses. An attempt takes two round trips and two synced writes.
const SEED_STAGGER: Duration = Duration::from_millis(400);

/// Delay before the second attempt of a seed; doubles with each attempt.
const RETRY_DELAY: Duration = Duration::from_millis(800);

/// Delay after a start before a group with placeholders is proposed. Within it, control
/// hosts that start together with the seeds are heard.
const PLACEHOLDER_DELAY: Duration = Duration::from_secs(3);

/// Interval at which a seed that has heard too few hosts looks again.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// How often [`RETRY_DELAY`] doubles: up to 6.4 s, above the duration of an attempt on
/// a slow disk.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// What an acceptor must not forget. It is on disk before an answer that depends on it
/// is sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The acceptors: the seeds at the first start.
    pub seeds: BTreeSet<Ipv4Addr>,
    /// Nothing below this ballot is accepted.
    pub promised: Ballot,
    /// The group that was accepted last.
    pub accepted: Option<(Ballot, FirstGroup)>,
    /// The group that a majority has accepted, if known.
    pub chosen: Option<FirstGroup>,
}

impl AcceptorState {
    /// The state of a seed at the deployment's first start.
    #[must_use]
    pub fn new(seeds: BTreeSet<Ipv4Addr>) -> Self {
        AcceptorState {
            seeds,
            promised: Ballot::NONE,
            accepted: None,
            chosen: None,
        }
    }
}

/// Actions to carry out. The acceptor state is saved before anything is sent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FormationOutput {
    /// Whether the acceptor state has changed.
    pub state_changed: bool,
    /// Messages to other seeds. Any of them may be lost.
    pub messages: Vec<(Ipv4Addr, FormationMessage)>,
    /// Seeds that asked and are sent the chosen group.
    pub inform: Vec<Ipv4Addr>,
}

/// The latest attempt of this seed, until it is decided or rejected.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Attempt {
    Preparing {
        ballot: Ballot,
        /// Proposed if no acceptor of the majority has accepted a group.
        own: FirstGroup,
        promises: BTreeSet<Ipv4Addr>,
        accepted: Option<(Ballot, FirstGroup)>,
    },
    Accepting {
        ballot: Ballot,
        group: FirstGroup,
        acceptors: BTreeSet<Ipv4Addr>,
    },
}

impl Attempt {
    fn ballot(&self) -> Ballot {
        match self {
            Attempt::Preparing { ballot, .. } | Attempt::Accepting { ballot, .. } => *ballot,
        }
    }

    fn answered(&self) -> &BTreeSet<Ipv4Addr> {
        match self {
            Attempt::Preparing { promises, .. } => promises,
            Attempt::Accepting { acceptors, .. } => acceptors,
        }
    }

    fn request(&self) -> FormationMessage {
        match self {
            Attempt::Preparing { ballot, .. } => FormationMessage::Prepare(*ballot),
            Attempt::Accepting { ballot, group, .. } => FormationMessage::Accept {
                ballot: *ballot,
                group: group.clone(),
            },
        }
    }
}

/// A seed, as acceptor and proposer of the first group. It knows neither network nor
/// clock: [`FormationSchedule`] decides when to propose.
///
/// At most one group is ever chosen, because a proposer learns what a majority of the
/// acceptors has accepted below its ballot before it proposes, and because an acceptor
/// that has lost its state never answers again.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Formation {
    local: Ipv4Addr,
    acceptor: AcceptorState,
    attempt: Option<Attempt>,
    /// Highest round that another seed has reported.
    seen_round: u64,
}

impl Formation {
    /// The seed at `local`, with its saved state.
    #[must_use]
    pub fn new(local: Ipv4Addr, acceptor: AcceptorState) -> Self {
        Formation {
            local,
            acceptor,
            attempt: None,
            seen_round: 0,
        }
    }

    /// The state to save.
    #[must_use]
    pub fn acceptor(&self) -> &AcceptorState {
        &self.acceptor
    }

    /// The group that was chosen, if this seed knows it.
    #[must_use]
    pub fn chosen(&self) -> Option<&FirstGroup> {
        self.acceptor.chosen.as_ref()
    }

    /// The ballot of the attempt in progress.
    #[must_use]
    pub fn attempt(&self) -> Option<Ballot> {
        self.attempt.as_ref().map(Attempt::ballot)
    }

    /// Number of seeds that have answered the last request of the attempt in progress.
    #[must_use]
    pub fn answer_count(&self) -> usize {
        let attempt = self.attempt.as_ref();
        attempt.map_or(0, |attempt| attempt.answered().len())
    }

    /// Position of this seed in the order of addresses.
    #[must_use]
    pub fn rank(&self) -> usize {
        let seeds = self.acceptor.seeds.iter();
        seeds.take_while(|ip| **ip != self.local).count()
    }

    fn is_majority(&self, seeds: &BTreeSet<Ipv4Addr>) -> bool {
        2 * seeds.len() > self.acceptor.seeds.len()
    }

    /// Starts an attempt, in place of an earlier one. `own` is proposed unless another
    /// group may have been chosen.
    pub fn propose(&mut self, own: FirstGroup) -> FormationOutput {
        let mut out = FormationOutput::default();
        if self.chosen().is_some() {
            return out;
        }
        // The round is above every one that this seed has used, also before a restart:
        // it promises its own ballots.
        let ballot = Ballot {
            round: self.acceptor.promised.round.max(self.seen_round) + 1,
            proposer: self.local,
        };
        self.acceptor.promised = ballot;
        out.state_changed = true;
        self.attempt = Some(Attempt::Preparing {
            ballot,
            own,
            promises: BTreeSet::from([self.local]),
            accepted: self.acceptor.accepted.clone(),
        });
        self.send_request(&mut out);
        self.advance(&mut out);
        out
    }

    /// Sends the request of the attempt in progress to the seeds that have not
    /// answered it.
    #[must_use]
    pub fn resend(&self) -> FormationOutput {
        let mut out = FormationOutput::default();
        self.send_request(&mut out);
        out
    }

    fn send_request(&self, out: &mut FormationOutput) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let seeds = self.acceptor.seeds.difference(attempt.answered());
        out.messages
            .extend(seeds.map(|seed| (*seed, attempt.request())));
    }

    /// Processes a message of another seed.
    pub fn receive(&mut self, from: Ipv4Addr, message: FormationMessage) -> FormationOutput {
        let mut out = FormationOutput::default();
        if from == self.local || !self.acceptor.seeds.contains(&from) {
            return out;
        }
        match message {
            FormationMessage::Prepare(_) | FormationMessage::Accept { .. }
                if self.chosen().is_some() =>
            {
                out.inform.push(from);
            }
            FormationMessage::Prepare(ballot) => self.answer_prepare(from, ballot, &mut out),
            FormationMessage::Accept { ballot, group } => {
                self.answer_accept(from, ballot, group, &mut out);
            }
            FormationMessage::Promise { ballot, accepted } => {
                self.receive_promise(from, ballot, accepted);
                self.advance(&mut out);
            }
            FormationMessage::Accepted(ballot) => {
                if let Some(Attempt::Accepting {
                    ballot: own,
                    acceptors,
                    ..
                }) = &mut self.attempt
                    && *own == ballot
                {
                    acceptors.insert(from);
                }
                self.advance(&mut out);
            }
            FormationMessage::Rejected { ballot, promised } => {
                if self.attempt() == Some(ballot) {
                    self.seen_round = self.seen_round.max(promised.round);
                    self.attempt = None;
                }
            }
        }
        out
    }

    fn answer_prepare(&mut self, from: Ipv4Addr, ballot: Ballot, out: &mut FormationOutput) {
        let promised = self.acceptor.promised;
        if ballot < promised {
            let answer = FormationMessage::Rejected { ballot, promised };
            out.messages.push((from, answer));
            return;
        }
        out.state_changed = ballot > promised;
        self.acceptor.promised = ballot;
        let accepted = self.acceptor.accepted.clone();
        let answer = FormationMessage::Promise { ballot, accepted };
        out.messages.push((from, answer));
    }

    fn answer_accept(
        &mut self,
        from: Ipv4Addr,
        ballot: Ballot,
        group: FirstGroup,
        out: &mut FormationOutput,
    ) {
        let promised = self.acceptor.promised;
        if ballot < promised {
            let answer = FormationMessage::Rejected { ballot, promised };
            out.messages.push((from, answer));
            return;
        }
        let accepted = Some((ballot, group));
        out.state_changed = ballot > promised || self.acceptor.accepted != accepted;
        self.acceptor.promised = ballot;
        self.acceptor.accepted = accepted;
        out.messages
            .push((from, FormationMessage::Accepted(ballot)));
    }

    fn receive_promise(
        &mut self,
        from: Ipv4Addr,
        ballot: Ballot,
        reported: Option<(Ballot, FirstGroup)>,
    ) {
        if let Some(Attempt::Preparing {
            ballot: own,
            promises,
            accepted,
            ..
        }) = &mut self.attempt
            && *own == ballot
        {
            promises.insert(from);
            let ballot_of = |accepted: &Option<(Ballot, FirstGroup)>| {
                accepted.as_ref().map(|(ballot, _)| *ballot)
            };
            if ballot_of(&reported) > ballot_of(accepted) {
                *accepted = reported;
            }
        }
    }

    /// Continues the attempt once a majority has answered.
    fn advance(&mut self, out: &mut FormationOutput) {
        if let Some(Attempt::Preparing {
            ballot,
            own,
            promises,
            accepted,
        }) = &self.attempt
            && self.is_majority(promises)
        {
            let ballot = *ballot;
            if self.acceptor.promised > ballot {
                // This seed has promised another proposer not to accept it.
                self.attempt = None;
                return;
            }
            let accepted = accepted.as_ref().map(|(_, group)| group);
            let group = accepted.unwrap_or(own).clone();
            self.acceptor.accepted = Some((ballot, group.clone()));
            out.state_changed = true;
            self.attempt = Some(Attempt::Accepting {
                ballot,
                group,
                acceptors: BTreeSet::from([self.local]),
            });
            self.send_request(out);
        }
        if let Some(Attempt::Accepting {
            group, acceptors, ..
        }) = &self.attempt
            && self.is_majority(acceptors)
        {
            let group = group.clone();
            let learned = self.learn(&group);
            out.state_changed |= learned.state_changed;
        }
    }

    /// Records the chosen group.
    pub fn learn(&mut self, group: &FirstGroup) -> FormationOutput {
        let mut out = FormationOutput::default();
        if self.acceptor.chosen.is_none() {
            self.acceptor.chosen = Some(group.clone());
            self.attempt = None;
            out.state_changed = true;
        }
        out
    }
}

/// Decides when a seed makes its attempts: in the order of the addresses of the seeds,
/// and less and less often, so that one of them succeeds.
#[derive(Debug, Clone, Copy)]
pub struct FormationSchedule {
    stagger: Duration,
    attempts: u32,
    next_at: Instant,
    placeholders_at: Instant,
}

impl FormationSchedule {
    /// The schedule of the seed with this rank that has started at `now`.
    #[must_use]
    pub fn new(rank: usize, now: Instant) -> Self {
        let stagger = SEED_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        FormationSchedule {
            stagger,
            attempts: 0,
            next_at: now + FIRST_ATTEMPT_DELAY + stagger,
            placeholders_at: now + PLACEHOLDER_DELAY,
        }
    }

    /// When the next attempt is due.
    #[must_use]
    pub fn next_at(&self) -> Instant {
        self.next_at
    }

    /// Number of attempts that were made.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether a group with placeholders may be proposed.
    #[must_use]
    pub fn allows_placeholders(&self, now: Instant) -> bool {
        now >= self.placeholders_at
    }

    /// Records that too few hosts were heard for an attempt.
    pub fn wait_for_hosts(&mut self, now: Instant) {
        self.next_at = now + LOOK_INTERVAL;
    }

    /// Records an attempt.
    pub fn attempted(&mut self, now: Instant) {
        let doublings = self.attempts.min(MAX_RETRY_DOUBLINGS);
        self.attempts = self.attempts.saturating_add(1);
        self.next_at = now + RETRY_DELAY * 2u32.pow(doublings) + self.stagger;
    }

    /// Leaves another seed, whose attempt this one supports, the time to complete it.
    pub fn defer(&mut self, now: Instant) {
        self.next_at = self.next_at.max(now + SEED_STAGGER + self.stagger);
    }
}
