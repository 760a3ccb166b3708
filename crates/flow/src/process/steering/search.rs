//! Search for the agent that holds a flow.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::Instant,
};

use bytes::Bytes;
use types::ServiceName;

use super::{DropReason, FlowQuery, ReleasedDatagram, SearchResults, Steering, SteeringDecision};
use crate::{Claim, FlowTuple, Origin};

#[derive(Debug)]
pub(super) struct Search {
    key: FlowTuple,
    deadline: Instant,
    /// Agents that are not queried yet, those that most probably hold the flow
    /// first.
    remaining_agents: Vec<(SocketAddrV4, ServiceName)>,
    /// Number of agents in the last round.
    queried: usize,
    /// The query limit was granted for all rounds of this search.
    may_widen: bool,
    pending_agents: BTreeMap<SocketAddrV4, ServiceName>,
    uncertain_agents: BTreeMap<SocketAddrV4, ServiceName>,
    pub(super) queued: Vec<Bytes>,
    /// The directory listed all processes when the search began.
    directory_was_complete: bool,
    /// Agents of other services are queried too, before the flow is reset: its
    /// address may have routed to them when the flow was opened.
    queries_other_services: bool,
}

impl Search {
    /// Whether all agents have answered that they do not hold the flow.
    fn all_denied(&self) -> bool {
        self.remaining_agents.is_empty()
            && self.pending_agents.is_empty()
            && self.uncertain_agents.is_empty()
    }

    /// Whether most agents of the last round have restarted. The remaining
    /// agents are less probable holders, so that querying them would not help.
    fn is_inconclusive(&self) -> bool {
        self.pending_agents.is_empty() && self.uncertain_agents.len() * 2 > self.queried
    }
}

#[derive(Debug)]
pub(super) struct TryRecord {
    agents: BTreeSet<SocketAddrV4>,
    pub(super) window_start: Instant,
    /// After an unsuccessful search, the next one may start at this instant.
    backoff_until: Instant,
}

impl TryRecord {
    /// Records that the agent gets no datagram after all.
    pub(super) fn withdraw(&mut self, agent: SocketAddrV4, backoff_until: Instant) {
        self.agents.remove(&agent);
        self.backoff_until = backoff_until;
    }
}

/// A flow that no known agent holds.
#[derive(Debug)]
pub(super) struct UnresolvedFlow {
    payload: Bytes,
    pub(super) last_seen_at: Instant,
}

impl Steering {
    /// Starts a search for the holder of a flow, or queues the datagram if one
    /// is running.
    pub(super) fn search_or_queue(
        &mut self,
        key: FlowTuple,
        payload: Bytes,
        now: Instant,
    ) -> SteeringDecision {
        if let Some(search) = self.searches.get_mut(&key) {
            if search.queued.len() >= self.settings.max_queued_per_flow {
                return SteeringDecision::Drop(DropReason::Busy);
            }
            search.queued.push(payload);
            return SteeringDecision::Queued;
        }
        let backs_off = self.tries.get(&key).is_some_and(|t| now < t.backoff_until);
        if backs_off || self.trials.contains_key(&key) {
            return SteeringDecision::Drop(DropReason::NotFound);
        }
        if self.searches.len() >= self.settings.max_searches {
            return SteeringDecision::Drop(DropReason::Busy);
        }
        let mut agents = self.agents_for(&key);
        if agents.is_empty() {
            return SteeringDecision::Drop(DropReason::NoAgent);
        }
        let remaining_agents = agents.split_off(agents.len().min(self.settings.initial_fanout));
        let search = Search {
            key,
            deadline: now + self.settings.search_timeout,
            remaining_agents,
            queried: agents.len(),
            may_widen: false,
            pending_agents: agents.iter().cloned().collect(),
            uncertain_agents: BTreeMap::new(),
            queued: vec![payload],
            directory_was_complete: self.is_directory_complete(now),
            queries_other_services: false,
        };
        self.searches.insert(key, search);
        SteeringDecision::Query(agents)
    }

    /// Handles an agent's answer to a query.
    pub fn handle_claim(
        &mut self,
        key: FlowTuple,
        agent: SocketAddrV4,
        claim: Claim,
        now: Instant,
    ) -> Vec<ReleasedDatagram> {
        let Some(search) = self.searches.get_mut(&key) else {
            self.handle_late_claim(key, agent, claim, now);
            return Vec::new();
        };
        let Some(service) = search.pending_agents.remove(&agent) else {
            return Vec::new();
        };
        match claim {
            Claim::Holds => return self.record_holder(key, agent, &service, now),
            Claim::Perhaps => drop(search.uncertain_agents.insert(agent, service)),
            Claim::No => {}
        }
        if search.pending_agents.is_empty() {
            search.deadline = now;
        }
        Vec::new()
    }

    /// Records a claim that arrives after its search has ended: the round trip
    /// may take longer than `search_timeout`.
    fn handle_late_claim(
        &mut self,
        key: FlowTuple,
        agent: SocketAddrV4,
        claim: Claim,
        now: Instant,
    ) {
        if claim != Claim::Holds || self.hints.contains_key(&key) {
            return;
        }
        let mut pools = self.pools.iter();
        let service = pools.find(|(_, pool)| pool.get(agent).is_some());
        if let Some(service) = service.map(|(service, _)| service.clone()) {
            self.record_holder(key, agent, &service, now);
        }
    }

    /// Removes the hint for a flow that the agent does not hold, and searches
    /// for the holder with the returned datagram.
    pub fn handle_not_held(
        &mut self,
        key: FlowTuple,
        agent: SocketAddrV4,
        payload: Bytes,
        now: Instant,
    ) -> SteeringDecision {
        if self.hints.get(&key).is_some_and(|hint| hint.agent == agent) {
            self.hints.remove(&key);
        }
        self.search_or_queue(key, payload, now)
    }

    /// Ends the searches whose deadline has passed. A search with agents left
    /// queries the next ones. If all agents have denied the flow and the
    /// directory is complete, the flow is lost. Otherwise one agent that may
    /// hold the flow gets the first queued datagram, once an arbiter has granted
    /// it; the caller retransmits the others.
    pub fn end_searches(&mut self, now: Instant) -> SearchResults {
        let settings = self.settings;
        let due: Vec<FlowTuple> = self
            .searches
            .iter()
            .filter(|(_, search)| now >= search.deadline)
            .map(|(key, _)| *key)
            .collect();
        let mut ended = SearchResults {
            trial_requests: self.end_trials(now),
            ..SearchResults::default()
        };
        for key in due {
            let Some(mut search) = self.searches.remove(&key) else {
                continue;
            };
            if search.is_inconclusive() && self.may_try(&key, now) {
                self.try_next_agent(key, &search, now, &mut ended);
                continue;
            }
            let next_agents = self.next_agents(&mut search, now);
            if let (false, Some(payload)) = (next_agents.is_empty(), search.queued.first().cloned())
            {
                search.pending_agents.extend(next_agents.iter().cloned());
                search.deadline = now + settings.search_timeout;
                self.searches.insert(key, search);
                ended.queries.push(FlowQuery {
                    payload,
                    agents: next_agents,
                });
                continue;
            }
            if search.directory_was_complete
                && search.all_denied()
                && self.is_directory_complete(now)
            {
                ended.lost_flows.extend(search.queued.into_iter().next());
                continue;
            }
            if !self.try_next_agent(key, &search, now, &mut ended) {
                self.tries_for(key, now).backoff_until = now + settings.search_backoff;
                self.keep_unresolved(search, now);
            }
        }
        ended.queries.extend(self.resume_searches(now));
        ended
    }

    /// Keeps a flow whose search has found no agent that holds it or may hold it.
    fn keep_unresolved(&mut self, search: Search, now: Instant) {
        let is_denied = search.pending_agents.is_empty() && search.uncertain_agents.is_empty();
        let has_room = self.unresolved.len() < self.settings.max_unresolved;
        if !is_denied || !(has_room || self.unresolved.contains_key(&search.key)) {
            return;
        }
        if let Some(payload) = search.queued.into_iter().next() {
            let last_seen_at = now;
            let flow = UnresolvedFlow {
                payload,
                last_seen_at,
            };
            self.unresolved.insert(search.key, flow);
        }
    }

    /// Searches again for the unresolved flows once the directory is complete, and
    /// returns the queries. Each search asks all agents at once, as far as the limit
    /// of queries allows; the others follow at the next call.
    pub fn resume_searches(&mut self, now: Instant) -> Vec<FlowQuery> {
        let mut queries = Vec::new();
        if !self.is_directory_complete(now) {
            return queries;
        }
        while self.searches.len() < self.settings.max_searches {
            let Some((&key, _)) = self.unresolved.first_key_value() else {
                break;
            };
            let all_agents = self.pools.values().map(|pool| pool.addresses().count());
            if !self.query_limiter.try_acquire(all_agents.sum(), now) {
                break;
            }
            let agents = self.agents_for(&key);
            let flow = self.unresolved.remove(&key);
            let (Some(flow), false) = (flow, agents.is_empty() || self.hints.contains_key(&key))
            else {
                continue;
            };
            queries.push(FlowQuery {
                payload: flow.payload.clone(),
                agents: agents.clone(),
            });
            let search = Search {
                key,
                deadline: now + self.settings.search_timeout,
                remaining_agents: Vec::new(),
                queried: agents.len(),
                may_widen: true,
                pending_agents: agents.into_iter().collect(),
                uncertain_agents: BTreeMap::new(),
                queued: vec![flow.payload],
                directory_was_complete: true,
                queries_other_services: false,
            };
            self.searches.entry(key).or_insert(search);
        }
        queries
    }

    /// Agents of the next round; empty when the search has queried all of them.
    fn next_agents(
        &mut self,
        search: &mut Search,
        now: Instant,
    ) -> Vec<(SocketAddrV4, ServiceName)> {
        if !search.remaining_agents.is_empty() {
            if !search.may_widen {
                // Reserve the queries for all agents: a partial search costs as
                // much and finds less.
                let all = self.pools.values().map(|pool| pool.addresses().count());
                search.may_widen = self.query_limiter.try_acquire(all.sum(), now);
            }
            if !search.may_widen {
                return Vec::new();
            }
            search.queried =
                (search.queried * self.settings.fanout_factor).min(search.remaining_agents.len());
            return search.remaining_agents.drain(..search.queried).collect();
        }
        let lost =
            search.directory_was_complete && search.all_denied() && self.is_directory_complete(now);
        if !lost || search.queries_other_services {
            return Vec::new();
        }
        search.queries_other_services = true;
        let services = self.services_of(search.key);
        let pools = self
            .pools
            .iter()
            .filter(|(name, _)| !services.contains(name));
        let agents = pools.flat_map(|(service, pool)| {
            let addresses = pool.addresses();
            addresses.map(|address| (address, service.clone()))
        });
        agents.collect()
    }

    pub(super) fn tries_for(&mut self, key: FlowTuple, now: Instant) -> &mut TryRecord {
        self.tries.entry(key).or_insert(TryRecord {
            agents: BTreeSet::new(),
            window_start: now,
            backoff_until: now,
        })
    }

    /// Whether another agent may get a datagram of the flow without having
    /// claimed it.
    fn may_try(&self, key: &FlowTuple, now: Instant) -> bool {
        self.tries.get(key).is_none_or(|tries| {
            tries.agents.len() < self.settings.max_tries
                || now >= tries.window_start + self.settings.tries_window
        })
    }

    /// Starts a trial at the next agent that may hold the flow. If it is the only one
    /// that may, the datagram is released at once: no other upstream can hold the flow.
    /// Returns whether there is such an agent.
    fn try_next_agent(
        &mut self,
        key: FlowTuple,
        search: &Search,
        now: Instant,
        results: &mut SearchResults,
    ) -> bool {
        let Some((agent, service)) = self.next_untried_agent(key, search, now) else {
            return false;
        };
        let Some(payload) = search.queued.first().cloned() else {
            return false;
        };
        let is_only_candidate = search.directory_was_complete
            && search.remaining_agents.is_empty()
            && search.pending_agents.is_empty()
            && search.uncertain_agents.len() == 1
            && self.is_directory_complete(now);
        if is_only_candidate {
            results.released.push(ReleasedDatagram {
                agent,
                origin: Origin::Tried,
                service,
                payload,
            });
            return true;
        }
        let request = self.request_trial(key, (agent, service), payload, now);
        results.trial_requests.extend(request);
        request.is_some()
    }

    fn next_untried_agent(
        &mut self,
        key: FlowTuple,
        search: &Search,
        now: Instant,
    ) -> Option<(SocketAddrV4, ServiceName)> {
        let settings = self.settings;
        // Agents of other services are queried, but get no datagram without a
        // claim.
        let likely = self.agents_for(&key);
        let tries = self.tries_for(key, now);
        if now >= tries.window_start + settings.tries_window {
            tries.window_start = now;
            // Agents that were tried come last: start over when all of them
            // were tried.
            if search
                .uncertain_agents
                .keys()
                .all(|a| tries.agents.contains(a))
            {
                tries.agents.clear();
            }
        } else if tries.agents.len() >= settings.max_tries {
            return None;
        }
        let mut untried = likely.into_iter().filter(|(agent, _)| {
            search.uncertain_agents.contains_key(agent) && !tries.agents.contains(agent)
        });
        let (agent, service) = untried.next()?;
        tries.agents.insert(agent);
        Some((agent, service))
    }

    /// Deadline of the next search or trial that ends.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let searches = self.searches.values().map(|search| search.deadline);
        let trials = self.trials.values().map(|trial| trial.deadline);
        searches.chain(trials).min()
    }
}
