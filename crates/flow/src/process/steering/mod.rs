//! What a balancer remembers of flows, and how it finds the holder of one.

mod outcome;
mod search;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
pub use outcome::{DropReason, FlowQuery, ReleasedDatagram, SearchResults, SteeringDecision};
use search::{Search, Tries};
use types::{DataCentre, RoutingSet, ServiceName};

use super::{AgentPool, Origin, RateLimiter};
use crate::{FlowTuple, Segment};

/// Times and bounds of a [`Steering`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SteeringSettings {
    /// Hints kept at most. Beyond that new flows are steered without one.
    pub max_hints: usize,
    /// A hint that was not used for this long is forgotten.
    pub hint_idle_timeout: Duration,
    /// Time for agents to claim a flow: twice the way to the farthest agent of
    /// a region, and time to answer.
    pub search_timeout: Duration,
    /// Agents that are asked first, because they are the likeliest holders.
    /// Only if none of them claims the flow are others asked, each time as
    /// many as before times `wider`: to ask all for each flow fills a thin link
    /// when there are many agents.
    pub initial_fanout: usize,
    /// See `first`.
    pub fanout_factor: usize,
    /// Agents that may be asked in a second by searches that widen. Searches
    /// beyond that end with the likeliest agents: after a loss of all processes
    /// there is one for each open flow, and their questions would fill the link.
    pub max_queries_per_second: u32,
    /// Searches under way at most.
    pub max_searches: usize,
    /// Datagrams of one flow that wait for its holder: a window of the sender.
    pub max_queued_per_flow: usize,
    /// Agents that may hold a flow and are tried within `tries_per`. A flow
    /// that reaches three wrong upstreams in that time counts as broken.
    pub max_tries: usize,
    /// See `tries`.
    pub tries_window: Duration,
    /// Pause after a search that found nothing, before the next one for the
    /// same flow. A caller sends again after 200 ms, then ever more rarely.
    pub search_backoff: Duration,
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
        }
    }
}

#[derive(Debug)]
struct Hint {
    agent: SocketAddrV4,
    service: ServiceName,
    /// Number of the opening datagram that was placed; `None` once an agent
    /// has claimed the flow.
    opening: Option<u32>,
    last: Instant,
}

/// The decisions of a balancer. See the [crate] documentation.
#[derive(Debug)]
pub struct Steering {
    settings: SteeringSettings,
    near: DataCentre,
    routes: Option<RoutingSet>,
    pools: BTreeMap<ServiceName, AgentPool>,
    hints: BTreeMap<FlowTuple, Hint>,
    searches: BTreeMap<FlowTuple, Search>,
    /// Agents that were tried for a flow and may not hold it.
    tried: BTreeMap<FlowTuple, Tries>,
    /// Questions of searches that widen.
    questions: RateLimiter,
    /// All processes are listed until then, if the list was ever complete.
    whole_until: Option<Instant>,
}

impl Steering {
    /// A balancer in the data centre `near` that knows nothing yet.
    #[must_use]
    pub fn new(settings: SteeringSettings, near: DataCentre) -> Self {
        Steering {
            questions: RateLimiter::new(settings.max_queries_per_second),
            settings,
            near,
            routes: None,
            pools: BTreeMap::new(),
            hints: BTreeMap::new(),
            searches: BTreeMap::new(),
            tried: BTreeMap::new(),
            whole_until: None,
        }
    }

    /// The routing set in force.
    #[must_use]
    pub fn routes(&self) -> Option<&RoutingSet> {
        self.routes.as_ref()
    }

    /// The routing set in force, to move it on.
    pub fn routes_mut(&mut self) -> &mut RoutingSet {
        self.routes.get_or_insert_default()
    }

    /// Notes that all processes are listed, so that no agent is unknown here.
    pub fn set_directory_complete_until(&mut self, until: Instant) {
        self.whole_until = Some(until);
    }

    fn is_whole(&self, now: Instant) -> bool {
        self.whole_until.is_some_and(|until| now < until)
    }

    /// The agents of a service.
    pub fn pool(&mut self, service: &ServiceName) -> &mut AgentPool {
        self.pools.entry(service.clone()).or_default()
    }

    /// The agents of all services.
    pub fn pools_mut(&mut self) -> impl Iterator<Item = &mut AgentPool> {
        self.pools.values_mut()
    }

    /// Whether new flows can be placed: an agent that takes them has reported
    /// lately. A balancer that is cut off hears none, and must be left by the
    /// fabric, which may still reach it.
    #[must_use]
    pub fn can_place(&self, now: Instant) -> bool {
        self.routes.is_some()
            && self
                .pools
                .values()
                .any(|pool| pool.has_available_agent(now))
    }

    /// Decides about a datagram of a caller.
    pub fn steer(&mut self, seg: &Segment, payload: &Bytes, now: Instant) -> SteeringDecision {
        let key = seg.key_from_caller();
        let Some(routes) = &self.routes else {
            return SteeringDecision::Drop(DropReason::NoRoutes);
        };
        let Some(rule) = routes.rules.get(&SocketAddr::V4(key.service)) else {
            return self.without_rule(&key, seg);
        };
        if !seg.is_opening() {
            return self.continue_flow(key, payload, now);
        }
        if let Some(hint) = self.hints.get_mut(&key)
            && hint.opening == Some(seg.seq)
        {
            let pool = self.pools.get(&hint.service);
            let agent = pool.and_then(|pool| pool.get(hint.agent));
            if agent.is_some_and(|a| a.accepting && AgentPool::has_recent_report(a, now)) {
                hint.last = now;
                return SteeringDecision::Forward {
                    agent: hint.agent,
                    origin: Origin::Placed,
                    service: hint.service.clone(),
                };
            }
        }
        let Some(service) = rule.service(key.stable_hash()).cloned() else {
            return SteeringDecision::Drop(DropReason::NoAgent);
        };
        self.place(key, seg, service, now)
    }

    fn without_rule(&mut self, key: &FlowTuple, seg: &Segment) -> SteeringDecision {
        // A flow that is not known here may belong to a set that this balancer
        // has yet to learn: only flows that were steered here are broken off.
        let known = self.hints.remove(key).is_some();
        if !seg.resets && (known || seg.is_opening()) {
            SteeringDecision::Reset
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
        let former = self.hints.get(&key).filter(|h| h.opening == Some(seg.seq));
        let except: Vec<SocketAddrV4> = former.map(|hint| hint.agent).into_iter().collect();
        let Some(pool) = self.pools.get_mut(&service) else {
            return SteeringDecision::Drop(DropReason::NoAgent);
        };
        let hash = key.stable_hash();
        let placed = pool.place(&self.near, hash, &except, now);
        let Some(agent) = placed.or_else(|| pool.place(&self.near, hash, &[], now)) else {
            return SteeringDecision::Drop(DropReason::NoAgent);
        };
        let hint = Hint {
            agent,
            service: service.clone(),
            opening: Some(seg.seq),
            last: now,
        };
        self.remember(key, hint);
        SteeringDecision::Forward {
            agent,
            origin: Origin::Placed,
            service,
        }
    }

    fn remember(&mut self, key: FlowTuple, hint: Hint) {
        if self.hints.len() < self.settings.max_hints || self.hints.contains_key(&key) {
            self.hints.insert(key, hint);
        }
    }

    fn continue_flow(&mut self, key: FlowTuple, payload: &Bytes, now: Instant) -> SteeringDecision {
        if let Some(hint) = self.hints.get_mut(&key) {
            hint.last = now;
            return SteeringDecision::Forward {
                agent: hint.agent,
                origin: Origin::Held,
                service: hint.service.clone(),
            };
        }
        self.search(key, payload.clone(), now)
    }

    /// The services that the address of a flow leads to.
    fn services_of(&self, key: FlowTuple) -> Vec<&ServiceName> {
        let routes = self.routes.as_ref();
        let rule = routes.and_then(|routes| routes.rules.get(&SocketAddr::V4(key.service)));
        let parts = rule.into_iter().flat_map(|rule| rule.parts.keys());
        parts.collect()
    }

    /// The agents of the services that the address leads to, the likeliest
    /// holders first.
    fn agents_for(&self, key: &FlowTuple) -> Vec<(SocketAddrV4, ServiceName)> {
        let hash = key.stable_hash();
        self.services_of(*key)
            .into_iter()
            .filter_map(|service| Some((service, self.pools.get(service)?)))
            .flat_map(|(service, pool)| {
                let agents = pool.by_preference(&self.near, hash).into_iter();
                agents.map(|agent| (agent, service.clone()))
            })
            .collect()
    }

    /// Notes that an agent took a flow, and returns the datagrams that waited.
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
            opening: None,
            last: now,
        };
        let opening = self.hints.get(&key).and_then(|hint| hint.opening);
        self.remember(key, Hint { opening, ..hint });
        self.tried.remove(&key);
        let parked = self.searches.remove(&key).map(|search| search.parked);
        parked
            .into_iter()
            .flatten()
            .map(|payload| ReleasedDatagram {
                agent,
                origin: Origin::Held,
                service: service.clone(),
                payload,
            })
            .collect()
    }

    /// Notes flows that an agent holds, as it tells without being asked, and
    /// returns the datagrams that waited for them. What is known already is
    /// newer.
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

    /// Forgets hints and tries that were not used for long.
    pub fn expire(&mut self, now: Instant) {
        let settings = self.settings;
        self.hints
            .retain(|_, hint| now < hint.last + settings.hint_idle_timeout);
        self.tried
            .retain(|_, tries| now < tries.since + 4 * settings.tries_window);
    }

    /// Number of hints.
    #[must_use]
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }
}
