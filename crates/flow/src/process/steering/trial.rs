//! Trials: a datagram of a flow that no agent claims is delivered to an agent that may
//! hold the flow, once an arbiter has granted it.

use std::{
    cmp::Reverse,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use bytes::Bytes;
use types::ServiceName;

use super::{ReleasedDatagram, SearchResults, Steering};
use crate::{FlowTuple, Origin, process::agent_pool::preference};

/// Number of arbiters of a flow. Each grants one trial.
const ARBITERS: usize = 2;

/// Time for an arbiter to answer, as a multiple of `search_timeout`: the round trip and
/// the time to answer on a busy host.
const ARBITER_TIMEOUT_FACTOR: u32 = 2;

/// A request to an arbiter for a trial of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialRequest {
    /// The flow.
    pub key: FlowTuple,
    /// Address of the arbiter.
    pub arbiter: SocketAddrV4,
}

/// A trial that no arbiter has granted yet.
#[derive(Debug)]
pub(super) struct Trial {
    agent: SocketAddrV4,
    service: ServiceName,
    pub(super) payload: Bytes,
    arbiter: SocketAddrV4,
    /// Arbiters that are not asked yet.
    remaining_arbiters: Vec<SocketAddrV4>,
    pub(super) deadline: Instant,
}

impl Steering {
    fn arbiter_timeout(&self) -> Duration {
        self.settings.search_timeout * ARBITER_TIMEOUT_FACTOR
    }

    /// The arbiters of a flow: the agents of its services with the highest rendezvous
    /// hash. Unlike the order of a search, it does not depend on the balancer's data
    /// centre.
    fn arbiters_of(&self, key: &FlowTuple) -> Vec<SocketAddrV4> {
        let hash = key.stable_hash();
        let mut agents: Vec<SocketAddrV4> = self
            .agents_for(key)
            .into_iter()
            .map(|(agent, _)| agent)
            .collect();
        agents.sort_by_key(|agent| Reverse(preference(hash, *agent)));
        agents.truncate(ARBITERS);
        agents
    }

    /// Asks the first arbiter of the flow for a trial at an agent.
    pub(super) fn request_trial(
        &mut self,
        key: FlowTuple,
        (agent, service): (SocketAddrV4, ServiceName),
        payload: Bytes,
        now: Instant,
    ) -> Option<TrialRequest> {
        let mut arbiters = self.arbiters_of(&key).into_iter();
        let arbiter = arbiters.next()?;
        let trial = Trial {
            agent,
            service,
            payload,
            arbiter,
            remaining_arbiters: arbiters.collect(),
            deadline: now + self.arbiter_timeout(),
        };
        self.trials.insert(key, trial);
        Some(TrialRequest { key, arbiter })
    }

    /// Handles an arbiter's answer. A datagram is released, the next arbiter is asked,
    /// or the trial ends.
    pub fn handle_trial_answer(
        &mut self,
        key: FlowTuple,
        arbiter: SocketAddrV4,
        granted: bool,
        now: Instant,
    ) -> SearchResults {
        let mut results = SearchResults::default();
        let trial = self.trials.get(&key);
        if trial.is_none_or(|trial| trial.arbiter != arbiter) {
            // A late grant is not used: the next search asks again.
            return results;
        }
        if !granted {
            results.trial_requests.extend(self.next_arbiter(key, now));
            return results;
        }
        results
            .released
            .extend(self.trials.remove(&key).map(|trial| ReleasedDatagram {
                agent: trial.agent,
                origin: Origin::Tried,
                service: trial.service,
                payload: trial.payload,
            }));
        results
    }

    /// Asks the next arbiter, or ends the trial.
    fn next_arbiter(&mut self, key: FlowTuple, now: Instant) -> Option<TrialRequest> {
        let deadline = now + self.arbiter_timeout();
        let trial = self.trials.get_mut(&key)?;
        if !trial.remaining_arbiters.is_empty() {
            trial.arbiter = trial.remaining_arbiters.remove(0);
            trial.deadline = deadline;
            let arbiter = trial.arbiter;
            return Some(TrialRequest { key, arbiter });
        }
        let trial = self.trials.remove(&key)?;
        let backoff = self.settings.search_backoff;
        self.tries_for(key, now)
            .withdraw(trial.agent, now + backoff);
        None
    }

    /// Asks the next arbiters of the trials whose arbiter has not answered.
    pub(super) fn end_trials(&mut self, now: Instant) -> Vec<TrialRequest> {
        let due = self.trials.iter().filter(|(_, t)| now >= t.deadline);
        let due: Vec<FlowTuple> = due.map(|(key, _)| *key).collect();
        let next = due.into_iter();
        next.filter_map(|key| self.next_arbiter(key, now)).collect()
    }
}
