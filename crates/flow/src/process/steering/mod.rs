//! Hints of a balancer about flows, and its search for the holder of a flow.

mod outcome;
mod query_batches;
mod search;
mod trial;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
pub use outcome::{
    DropReason, FlowQuery, ReleasedDatagram, ResetReason, SearchResults, SteeringDecision,
};
pub use query_batches::{BatchTarget, DueBatch, MAX_BATCH, QueryBatches};
use search::{Search, TryRecord, UnresolvedFlow};
use trial::Trial;
pub use trial::TrialRequest;
use types::{DataCentre, RequestTargets, RoutingSet, ServiceName};

use super::{AgentPool, Origin, Placement, RateLimiter};
use crate::{FlowTuple, Segment};

/// Timeouts and limits of a [`Steering`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SteeringSettings {
    /// Maximum number of hints. Above it, new flows are placed without
    /// recording a hint.
    pub max_hints: usize,
    /// A hint that was not used for this long is removed.
    pub hint_idle_timeout: Duration,
    /// Time for agents to claim a flow: the round trip to the farthest agent of
    /// a region and the time to answer.
    pub search_timeout: Duration,
    /// Number of agents in the first round of queries, those that most probably
    /// hold the flow. Each further round queries `fanout_factor` times as many
    /// as the one before, and only if no agent has claimed the flow: querying
    /// all agents for each flow saturates a slow link when there are many of
    /// them.
    pub initial_fanout: usize,
    /// Growth of the number of queried agents from one round to the next.
    pub fanout_factor: usize,
    /// Maximum rate of queries in the rounds after the first. A search above it
    /// ends after its first round: when all processes have failed there is a
    /// search for each open flow, and the queries of all of them would saturate
    /// the link.
    pub max_queries_per_second: u32,
    /// Maximum number of concurrent searches.
    pub max_searches: usize,
    /// Maximum number of datagrams of one flow that wait for its holder: one
    /// send window.
    pub max_queued_per_flow: usize,
    /// Maximum number of agents that get a datagram of a flow from this balancer
    /// within `tries_window` without having claimed it. A flow that reaches three
    /// wrong upstreams in that time counts as broken. Arbiters limit the trials of
    /// all balancers together.
    pub max_tries: usize,
    /// Period to which `max_tries` applies.
    pub tries_window: Duration,
    /// Pause between an unsuccessful search and the next one for the same flow.
    /// A caller retransmits after 200 ms, then with growing intervals.
    pub search_backoff: Duration,
    /// Maximum number of flows without a holder that are kept until the directory
    /// is complete, each with one datagram of at most 1.3 KB.
    pub max_unresolved: usize,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        SteeringSettings {
            max_hints: 200_000,
            hint_idle_timeout: Duration::from_mins(1),
            search_timeout: Duration::from_millis(30),
            initial_fanout: 3,
            fanout_factor: 3,
            max_queries_per_second: 20_000,
            max_searches: 512,
            max_queued_per_flow: 16,
            max_tries: 2,
            tries_window: Duration::from_millis(2500),
            search_backoff: Duration::from_millis(300),
            max_unresolved: 512,
        }
    }
}

#[derive(Debug)]
struct Hint {
    agent: SocketAddrV4,
    service: ServiceName,
    /// Sequence number of the opening datagram that was placed; `None` once an
    /// agent has claimed the flow.
    opening_seq: Option<u32>,
    last_used_at: Instant,
}

/// The decisions of a balancer. See the [crate] documentation.
#[derive(Debug)]
pub struct Steering {
    settings: SteeringSettings,
    data_centre: DataCentre,
    routes: Option<RoutingSet>,
    pools: BTreeMap<ServiceName, AgentPool>,
    /// Data centres whose agents get no new flows.
    evacuated: BTreeSet<DataCentre>,
    hints: BTreeMap<FlowTuple, Hint>,
    searches: BTreeMap<FlowTuple, Search>,
    /// Agents that got a datagram of a flow without having claimed it.
    tries: BTreeMap<FlowTuple, TryRecord>,
    /// Trials that no arbiter has granted yet.
    trials: BTreeMap<FlowTuple, Trial>,
    /// A datagram of each flow that no known agent holds, while the directory may
    /// lack the one that does. They are searched for again once it is complete: a
    /// caller retransmits rarely by then, and otherwise waits for its timeout.
    unresolved: BTreeMap<FlowTuple, UnresolvedFlow>,
    /// Limits the bytes of the queries of the search rounds after the first.
    query_limiter: RateLimiter,
    /// Agents that answer queries for many flows.
    batching_agents: BTreeSet<SocketAddrV4>,
    /// When the link has sent the queries so far.
    queries_sent_by: Option<Instant>,
    /// Until this instant, the directory lists all processes; `None` if it
    /// never did.
    directory_complete_until: Option<Instant>,
    /// The last placement of a new flow, until it is taken.
    last_placement: Option<Placement>,
}

impl Steering {
    /// A balancer in `data_centre` without routes, agents or hints.
    #[must_use]
    pub fn new(settings: SteeringSettings, data_centre: DataCentre) -> Self {
        Steering {
            query_limiter: RateLimiter::new(
                settings
                    .max_queries_per_second
                    .saturating_mul(search::SINGLE_QUERY_BYTES),
            ),
            batching_agents: BTreeSet::new(),
            queries_sent_by: None,
            settings,
            data_centre,
            routes: None,
            pools: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            hints: BTreeMap::new(),
            searches: BTreeMap::new(),
            tries: BTreeMap::new(),
            trials: BTreeMap::new(),
            unresolved: BTreeMap::new(),
            directory_complete_until: None,
            last_placement: None,
        }
    }

    /// The current routing set, if one is known.
    #[must_use]
    pub fn routes(&self) -> Option<&RoutingSet> {
        self.routes.as_ref()
    }

    /// Targets of the requests to an address, by the current routing set.
    #[must_use]
    pub fn targets(&self, service: SocketAddrV4) -> RequestTargets {
        let rule = self.routes.as_ref();
        let rule = rule.and_then(|routes| routes.rules.get(&SocketAddr::V4(service)));
        rule.map_or_else(RequestTargets::default, |rule| rule.targets)
    }

    /// Mutable routing set; created empty if none is known.
    pub fn routes_mut(&mut self) -> &mut RoutingSet {
        self.routes.get_or_insert_default()
    }

    /// Sets the instant until which the directory lists all processes, so that
    /// each agent is known here.
    pub fn set_directory_complete_until(&mut self, until: Instant) {
        self.directory_complete_until = Some(until);
    }

    fn is_directory_complete(&self, now: Instant) -> bool {
        self.directory_complete_until
            .is_some_and(|until| now < until)
    }

    /// The agents of a service.
    pub fn pool(&mut self, service: &ServiceName) -> &mut AgentPool {
        let evacuated = &self.evacuated;
        self.pools.entry(service.clone()).or_insert_with(|| {
            let mut pool = AgentPool::default();
            pool.set_evacuated(evacuated);
            pool
        })
    }

    /// Sets the data centres whose agents get no new flows. Open flows stay there.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentre>) {
        for pool in self.pools.values_mut() {
            pool.set_evacuated(&evacuated);
        }
        self.evacuated = evacuated;
    }

    /// The agents of all services.
    pub fn pools_mut(&mut self) -> impl Iterator<Item = &mut AgentPool> {
        self.pools.values_mut()
    }

    /// Whether new flows can be placed: an agent that accepts them has an
    /// up-to-date report. A partitioned balancer gets no reports; it must stop
    /// being ready, because the fabric may still reach it.
    #[must_use]
    pub fn can_place(&self, now: Instant) -> bool {
        self.routes.is_some()
            && self
                .pools
                .values()
                .any(|pool| pool.has_available_agent(now))
    }

    /// Whether the flow of an opening datagram was placed from here before, so that the
    /// datagram is a copy.
    #[must_use]
    pub fn was_placed(&self, seg: &Segment) -> bool {
        let hint = self.hints.get(&seg.key_from_caller());
        hint.is_some_and(|hint| hint.opening_seq == Some(seg.seq))
    }

    /// Decides what to do with a datagram of a caller.
    pub fn steer(&mut self, seg: &Segment, payload: &Bytes, now: Instant) -> SteeringDecision {
        let key = seg.key_from_caller();
        let Some(routes) = &self.routes else {
            return SteeringDecision::Drop(DropReason::NoRoutes);
        };
        let Some(rule) = routes.rules.get(&SocketAddr::V4(key.service)) else {
            return self.handle_missing_rule(&key, seg);
        };
        if !seg.is_opening() {
            return self.continue_flow(key, payload, now);
        }
        if let Some(hint) = self.hints.get_mut(&key)
            && hint.opening_seq == Some(seg.seq)
        {
            let pool = self.pools.get(&hint.service);
            if pool.is_some_and(|pool| pool.is_available(hint.agent, now)) {
                hint.last_used_at = now;
                return SteeringDecision::Forward {
                    agent: hint.agent,
                    origin: Origin::Placed,
                    service: hint.service.clone(),
                };
            }
        }
        let Some(service) = rule.select_service(key.stable_hash()).cloned() else {
            return SteeringDecision::Drop(DropReason::NoAgent);
        };
        self.place(key, seg, service, now)
    }

    fn handle_missing_rule(&mut self, key: &FlowTuple, seg: &Segment) -> SteeringDecision {
        // A flow without a hint may belong to a routing set that this balancer
        // has yet to receive, so only flows that were forwarded from here are
        // reset.
        let has_hint = self.hints.remove(key).is_some();
        if !seg.resets && (has_hint || seg.is_opening()) {
            SteeringDecision::Reset(ResetReason::NoRule)
        } else {
            SteeringDecision::Drop(DropReason::NoRule)
        }
    }

    fn place(
        &mut self,
        key: FlowTuple,
        seg: &Segment,
        service: ServiceName,
        now: Instant,
    ) -> SteeringDecision {
        let former = self
            .hints
            .get(&key)
            .filter(|h| h.opening_seq == Some(seg.seq));
        let except: Vec<SocketAddrV4> = former.map(|hint| hint.agent).into_iter().collect();
        let Some(pool) = self.pools.get_mut(&service) else {
            return SteeringDecision::Drop(DropReason::NoAgent);
        };
        let hash = key.stable_hash();
        let placed = pool.place(&self.data_centre, hash, &except, now);
        let Some(agent) = placed.or_else(|| pool.place(&self.data_centre, hash, &[], now)) else {
            return if pool.is_emptied_by_evacuation() {
                SteeringDecision::Reset(ResetReason::Evacuated)
            } else {
                SteeringDecision::Drop(DropReason::NoAgent)
            };
        };
        self.last_placement = pool.take_placement();
        let hint = Hint {
            agent,
            service: service.clone(),
            opening_seq: Some(seg.seq),
            last_used_at: now,
        };
        self.insert_hint(key, hint);
        SteeringDecision::Forward {
            agent,
            origin: Origin::Placed,
            service,
        }
    }

    /// The last placement of a new flow, if it was not taken before.
    pub fn take_placement(&mut self) -> Option<Placement> {
        self.last_placement.take()
    }

    fn insert_hint(&mut self, key: FlowTuple, hint: Hint) {
        if self.hints.len() < self.settings.max_hints || self.hints.contains_key(&key) {
            self.hints.insert(key, hint);
        }
    }

    fn continue_flow(&mut self, key: FlowTuple, payload: &Bytes, now: Instant) -> SteeringDecision {
        if let Some(hint) = self.hints.get_mut(&key) {
            hint.last_used_at = now;
            return SteeringDecision::Forward {
                agent: hint.agent,
                origin: Origin::Held,
                service: hint.service.clone(),
            };
        }
        self.search_or_queue(key, payload.clone(), now)
    }

    /// Services that the address of a flow routes to.
    fn services_of(&self, key: FlowTuple) -> Vec<&ServiceName> {
        let routes = self.routes.as_ref();
        let rule = routes.and_then(|routes| routes.rules.get(&SocketAddr::V4(key.service)));
        let parts = rule.into_iter().flat_map(|rule| rule.weights.keys());
        parts.collect()
    }

    /// Agents of the services that the address of a flow routes to, those that
    /// most probably hold the flow first.
    fn agents_for(&self, key: &FlowTuple) -> Vec<(SocketAddrV4, ServiceName)> {
        let hash = key.stable_hash();
        self.services_of(*key)
            .into_iter()
            .filter_map(|service| Some((service, self.pools.get(service)?)))
            .flat_map(|(service, pool)| {
                let agents = pool.by_preference(&self.data_centre, hash).into_iter();
                agents.map(|agent| (agent, service.clone()))
            })
            .collect()
    }

    /// Records the holder of a flow and returns the datagrams that waited for
    /// it.
    pub fn record_holder(
        &mut self,
        key: FlowTuple,
        agent: SocketAddrV4,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<ReleasedDatagram> {
        let hint = Hint {
            agent,
            service: service.clone(),
            opening_seq: None,
            last_used_at: now,
        };
        let opening_seq = self.hints.get(&key).and_then(|hint| hint.opening_seq);
        self.insert_hint(
            key,
            Hint {
                opening_seq,
                ..hint
            },
        );
        self.tries.remove(&key);
        self.unresolved.remove(&key);
        let trial = self.trials.remove(&key).map(|trial| trial.payload);
        let queued = self.searches.remove(&key).map(|search| search.queued);
        trial
            .into_iter()
            .chain(queued.into_iter().flatten())
            .map(|payload| ReleasedDatagram {
                agent,
                origin: Origin::Held,
                service: service.clone(),
                payload,
            })
            .collect()
    }

    /// Records flows that an agent reports without having been asked, and
    /// returns the datagrams that waited for them. An existing hint is newer
    /// and stays.
    pub fn record_reported_flows(
        &mut self,
        keys: Vec<FlowTuple>,
        agent: SocketAddrV4,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<ReleasedDatagram> {
        let mut released = Vec::new();
        for key in keys {
            if !self.hints.contains_key(&key) {
                released.extend(self.record_holder(key, agent, service, now));
            }
        }
        released
    }

    /// Removes hints and try records that were not used for long.
    pub fn expire(&mut self, now: Instant) {
        let settings = self.settings;
        self.hints
            .retain(|_, hint| now < hint.last_used_at + settings.hint_idle_timeout);
        self.tries
            .retain(|_, tries| now < tries.window_start + 4 * settings.tries_window);
        self.unresolved
            .retain(|_, flow| now < flow.last_seen_at + settings.hint_idle_timeout);
        let pools = &self.pools;
        self.batching_agents
            .retain(|agent| pools.values().any(|pool| pool.get(*agent).is_some()));
    }

    /// Number of flows with a hint.
    #[must_use]
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }
}
