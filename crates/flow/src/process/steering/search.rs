//! Search for the agent that holds a flow.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use bytes::Bytes;
use types::ServiceName;

use super::{
    DropReason, FlowQuery, MAX_BATCH, ReleasedDatagram, SearchResults, Steering, SteeringDecision,
    query_batches::BATCH_WINDOW,
};
use crate::{Claim, FlowTuple, Origin};

/// Bytes of a query for one flow with its IPv4 and UDP headers.
pub(super) const SINGLE_QUERY_BYTES: u32 = 72;

/// The rate of the link divided by the limit of queries.
const LINK_PER_QUERY_LIMIT: u64 = 10;

/// Bytes of a query for many flows, without the flows.
const BATCH_BYTES: usize = 64;

/// Bytes of a flow in a query for many.
const BATCHED_FLOW_BYTES: usize = 11;

/// Number of flows for which a search of all agents waits if there are as many: with
/// fewer, the headers of the queries take most of the bytes.
const MIN_GROUP: usize = 16;

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
        let is_next = !self.batching_agents.is_empty() && self.is_directory_complete(now);
        if is_next && self.unresolved.contains_key(&key) {
            // It waits for a search of all agents, which needs no other datagram.
            return SteeringDecision::Drop(DropReason::Busy);
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
            deadline: self.query_deadline(agents.len(), now),
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
        let search_backoff = self.settings.search_backoff;
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
                search.deadline = self.query_deadline(next_agents.len(), now);
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
                self.tries_for(key, now).backoff_until = now + search_backoff;
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
        let mut group = VecDeque::new();
        while self.searches.len() < self.settings.max_searches {
            if group.is_empty() {
                group = self.next_group(now);
            }
            let Some(key) = group.pop_front() else {
                break;
            };
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
                deadline: self.query_deadline(agents.len(), now),
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

    /// The unresolved flows that are searched for next at all agents together, as far as
    /// the limit allows.
    fn next_group(&mut self, now: Instant) -> VecDeque<FlowTuple> {
        let most = if self.batching_agents.is_empty() {
            1
        } else {
            MAX_BATCH
        };
        // While searches run, others may join the group.
        let mut unresolved = self.unresolved.values();
        if most > 1
            && !self.searches.is_empty()
            && self.unresolved.len() < MIN_GROUP
            && unresolved.all(|flow| now < flow.last_seen_at + BATCH_WINDOW)
        {
            return VecDeque::new();
        }
        let room = self.settings.max_searches - self.searches.len();
        let keys = self.unresolved.keys().take(most.min(room));
        let keys: Vec<FlowTuple> = keys.copied().collect();
        for count in [keys.len(), keys.len().min(MIN_GROUP)] {
            let group = &keys[..count];
            let bytes = self.query_bytes(group);
            if self.query_limiter.try_acquire(bytes, now) {
                return group.iter().copied().collect();
            }
        }
        VecDeque::new()
    }

    /// Whether a search that the agents of the first round have denied continues with
    /// those for other flows: queries for many flows cost a fraction of the bytes.
    fn joins_group(&self, search: &Search, now: Instant) -> bool {
        let has_others = !self.searches.is_empty() || !self.unresolved.is_empty();
        has_others
            && !self.batching_agents.is_empty()
            && self.unresolved.len() < self.settings.max_unresolved
            && search.pending_agents.is_empty()
            && search.uncertain_agents.is_empty()
            && self.is_directory_complete(now)
    }

    /// Bytes of the queries for these flows to all agents.
    fn query_bytes(&self, keys: &[FlowTuple]) -> usize {
        let agents: usize = self.pools.values().map(|p| p.addresses().count()).sum();
        let batching = self.batching_agents.len().min(agents);
        let single = keys.len() * SINGLE_QUERY_BYTES as usize;
        let addresses: BTreeSet<_> = keys.iter().map(|key| key.service).collect();
        let batched = BATCH_BYTES * addresses.len() + BATCHED_FLOW_BYTES * keys.len();
        (agents - batching) * single + batching * batched.min(single)
    }

    /// Deadline of a search that queries this many agents now, after the queries before
    /// it. The link takes longer than the timeout to send the queries of some searches.
    fn query_deadline(&mut self, agents: usize, now: Instant) -> Instant {
        let mut bytes = agents * SINGLE_QUERY_BYTES as usize;
        let mut sent_by = self.queries_sent_by.map_or(now, |at| at.max(now));
        if !self.batching_agents.is_empty() && sent_by > now {
            // Most flows go with others, and some wait for them.
            bytes = agents * BATCHED_FLOW_BYTES;
            sent_by = sent_by.max(now + BATCH_WINDOW);
        }
        let limit = u64::from(self.settings.max_queries_per_second.max(1));
        let link_rate = limit * u64::from(SINGLE_QUERY_BYTES) * LINK_PER_QUERY_LIMIT;
        let micros = bytes as u64 * 1_000_000 / link_rate;
        sent_by += Duration::from_micros(micros);
        self.queries_sent_by = Some(sent_by);
        sent_by + self.settings.search_timeout
    }

    /// Sets whether an agent answers queries for many flows.
    pub fn set_batching(&mut self, agent: SocketAddrV4, is_batching: bool) {
        if is_batching {
            self.batching_agents.insert(agent);
        } else {
            self.batching_agents.remove(&agent);
        }
    }

    /// Whether an agent answers queries for many flows.
    #[must_use]
    pub fn is_batching(&self, agent: SocketAddrV4) -> bool {
        self.batching_agents.contains(&agent)
    }

    /// Agents of the next round; empty when the search has queried all of them.
    fn next_agents(
        &mut self,
        search: &mut Search,
        now: Instant,
    ) -> Vec<(SocketAddrV4, ServiceName)> {
        if !search.remaining_agents.is_empty() {
            if !search.may_widen && !self.joins_group(search, now) {
                // Reserve the queries for all agents: a partial search costs as
                // much and finds less.
                let bytes = self.query_bytes(&[search.key]);
                search.may_widen = self.query_limiter.try_acquire(bytes, now);
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
