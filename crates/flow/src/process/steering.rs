//! What a balancer remembers of flows, and how it finds the holder of one.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
use types::{DataCentre, RoutingSet, ServiceName};

use super::{Allowance, Claim, Origin, Pool};
use crate::{Key, Segment};

/// Times and bounds of a [`Steering`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SteeringSettings {
    /// Hints kept at most. Beyond that new flows are steered without one.
    pub hints: usize,
    /// A hint that was not used for this long is forgotten.
    pub idle: Duration,
    /// Time for agents to claim a flow: twice the way to the farthest agent of
    /// a region, and time to answer.
    pub search: Duration,
    /// Agents that are asked first, because they are the likeliest holders.
    /// Only if none of them claims the flow are others asked, each time as
    /// many as before times `wider`: to ask all for each flow fills a thin link
    /// when there are many agents.
    pub first: usize,
    /// See `first`.
    pub wider: usize,
    /// Agents that may be asked in a second by searches that widen. Searches
    /// beyond that end with the likeliest agents: after a loss of all processes
    /// there is one for each open flow, and their questions would fill the link.
    pub questions: u32,
    /// Searches under way at most.
    pub searches: usize,
    /// Datagrams of one flow that wait for its holder: a window of the sender.
    pub parked: usize,
    /// Agents that may hold a flow and are tried within `tries_per`. A flow
    /// that reaches three wrong upstreams in that time counts as broken.
    pub tries: usize,
    /// See `tries`.
    pub tries_per: Duration,
    /// Pause after a search that found nothing, before the next one for the
    /// same flow. A caller sends again after 200 ms, then ever more rarely.
    pub pause: Duration,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        SteeringSettings {
            hints: 200_000,
            idle: Duration::from_mins(1),
            search: Duration::from_millis(30),
            first: 3,
            wider: 3,
            questions: 20_000,
            searches: 512,
            parked: 16,
            tries: 2,
            tries_per: Duration::from_millis(2500),
            pause: Duration::from_millis(300),
        }
    }
}

/// What to do with a datagram of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Steer {
    /// Send it to an agent.
    To {
        /// The agent.
        agent: SocketAddrV4,
        /// How the agent is to take it.
        origin: Origin,
        /// The service whose agent it is.
        service: ServiceName,
    },
    /// Ask these agents for the flow; the datagram waits.
    Ask(Vec<(SocketAddrV4, ServiceName)>),
    /// The datagram waits for a search that is under way.
    Parked,
    /// Break off the flow towards the caller.
    Reset,
    /// Drop it.
    Drop(Dropped),
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    /// No routing set is known yet.
    NoRoutes,
    /// The address has no rule, and the flow is not known here.
    NoRule,
    /// No agent of the service takes new flows.
    NoAgent,
    /// Too many searches or datagrams wait.
    Busy,
    /// No agent has claimed the flow.
    NotFound,
}

impl Dropped {
    /// The name in metrics and log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Dropped::NoRoutes => "no_routes",
            Dropped::NoRule => "no_rule",
            Dropped::NoAgent => "no_agent",
            Dropped::Busy => "busy",
            Dropped::NotFound => "not_found",
        }
    }
}

/// A parked datagram that can go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The agent to send it to.
    pub agent: SocketAddrV4,
    /// How the agent is to take it.
    pub origin: Origin,
    /// The service whose agent it is.
    pub service: ServiceName,
    /// The datagram.
    pub payload: Bytes,
}

/// Agents to ask for the flow of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// A datagram of the flow.
    pub payload: Bytes,
    /// The agents.
    pub others: Vec<(SocketAddrV4, ServiceName)>,
}

/// What follows from the searches that ended.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Ended {
    /// Datagrams that go on.
    pub released: Vec<Release>,
    /// Searches that are widened.
    pub asked: Vec<Question>,
    /// A datagram of each flow that certainly no agent holds: it is to be
    /// broken off, so that its caller need not wait.
    pub lost: Vec<Bytes>,
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

#[derive(Debug)]
struct Search {
    key: Key,
    until: Instant,
    /// Agents that are asked next, if nobody claims the flow; the likeliest first.
    others: Vec<(SocketAddrV4, ServiceName)>,
    /// Agents that were asked last.
    asked: usize,
    /// It may ask all agents, step by step.
    is_wide: bool,
    waiting_for: BTreeMap<SocketAddrV4, ServiceName>,
    perhaps: BTreeMap<SocketAddrV4, ServiceName>,
    parked: Vec<Bytes>,
    /// All processes were listed when it began.
    whole: bool,
    /// The agents of other services are asked too, before the flow is broken
    /// off: its address may have led to them when it was opened.
    confirming: bool,
}

impl Search {
    /// Whether all agents that were asked have said that they do not hold the flow.
    fn is_denied(&self) -> bool {
        self.others.is_empty() && self.waiting_for.is_empty() && self.perhaps.is_empty()
    }

    /// Whether most agents that were asked have restarted: others will know no
    /// more than these, the likeliest.
    fn is_vain(&self) -> bool {
        self.waiting_for.is_empty() && self.perhaps.len() * 2 > self.asked
    }
}

#[derive(Debug)]
struct Tries {
    agents: BTreeSet<SocketAddrV4>,
    since: Instant,
    /// A search found nothing; there is none until then.
    pause_until: Instant,
}

/// The decisions of a balancer. See the [crate] documentation.
#[derive(Debug)]
pub struct Steering {
    settings: SteeringSettings,
    near: DataCentre,
    routes: Option<RoutingSet>,
    pools: BTreeMap<ServiceName, Pool>,
    hints: BTreeMap<Key, Hint>,
    searches: BTreeMap<Key, Search>,
    /// Agents that were tried for a flow and may not hold it.
    tried: BTreeMap<Key, Tries>,
    /// Questions of searches that widen.
    questions: Allowance,
    /// All processes are listed until then, if the list was ever complete.
    whole_until: Option<Instant>,
}

impl Steering {
    /// A balancer in the data centre `near` that knows nothing yet.
    #[must_use]
    pub fn new(settings: SteeringSettings, near: DataCentre) -> Self {
        Steering {
            questions: Allowance::new(settings.questions),
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
    pub fn set_whole(&mut self, until: Instant) {
        self.whole_until = Some(until);
    }

    fn is_whole(&self, now: Instant) -> bool {
        self.whole_until.is_some_and(|until| now < until)
    }

    /// The agents of a service.
    pub fn pool(&mut self, service: &ServiceName) -> &mut Pool {
        self.pools.entry(service.clone()).or_default()
    }

    /// The agents of all services.
    pub fn pools_mut(&mut self) -> impl Iterator<Item = &mut Pool> {
        self.pools.values_mut()
    }

    /// Whether new flows can be placed: an agent that takes them has reported
    /// lately. A balancer that is cut off hears none, and must be left by the
    /// fabric, which may still reach it.
    #[must_use]
    pub fn can_place(&self, now: Instant) -> bool {
        self.routes.is_some() && self.pools.values().any(|pool| pool.is_usable(now))
    }

    /// Decides about a datagram of a caller.
    pub fn steer(&mut self, seg: &Segment, payload: &Bytes, now: Instant) -> Steer {
        let key = seg.key_from_caller();
        let Some(routes) = &self.routes else {
            return Steer::Drop(Dropped::NoRoutes);
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
            if agent.is_some_and(|a| a.accepting && Pool::is_fresh(a, now)) {
                hint.last = now;
                return Steer::To {
                    agent: hint.agent,
                    origin: Origin::Placed,
                    service: hint.service.clone(),
                };
            }
        }
        let Some(service) = rule.service(key.hash()).cloned() else {
            return Steer::Drop(Dropped::NoAgent);
        };
        self.place(key, seg, service, now)
    }

    fn without_rule(&mut self, key: &Key, seg: &Segment) -> Steer {
        // A flow that is not known here may belong to a set that this balancer
        // has yet to learn: only flows that were steered here are broken off.
        let known = self.hints.remove(key).is_some();
        if !seg.resets && (known || seg.is_opening()) {
            Steer::Reset
        } else {
            Steer::Drop(Dropped::NoRule)
        }
    }

    fn place(&mut self, key: Key, seg: &Segment, service: ServiceName, now: Instant) -> Steer {
        let former = self.hints.get(&key).filter(|h| h.opening == Some(seg.seq));
        let except: Vec<SocketAddrV4> = former.map(|hint| hint.agent).into_iter().collect();
        let Some(pool) = self.pools.get_mut(&service) else {
            return Steer::Drop(Dropped::NoAgent);
        };
        let hash = key.hash();
        let placed = pool.place(&self.near, hash, &except, now);
        let Some(agent) = placed.or_else(|| pool.place(&self.near, hash, &[], now)) else {
            return Steer::Drop(Dropped::NoAgent);
        };
        let hint = Hint {
            agent,
            service: service.clone(),
            opening: Some(seg.seq),
            last: now,
        };
        self.remember(key, hint);
        Steer::To {
            agent,
            origin: Origin::Placed,
            service,
        }
    }

    fn remember(&mut self, key: Key, hint: Hint) {
        if self.hints.len() < self.settings.hints || self.hints.contains_key(&key) {
            self.hints.insert(key, hint);
        }
    }

    fn continue_flow(&mut self, key: Key, payload: &Bytes, now: Instant) -> Steer {
        if let Some(hint) = self.hints.get_mut(&key) {
            hint.last = now;
            return Steer::To {
                agent: hint.agent,
                origin: Origin::Held,
                service: hint.service.clone(),
            };
        }
        self.search(key, payload.clone(), now)
    }

    /// Looks for the holder of a flow, or lets a datagram wait for a search.
    fn search(&mut self, key: Key, payload: Bytes, now: Instant) -> Steer {
        if let Some(search) = self.searches.get_mut(&key) {
            if search.parked.len() >= self.settings.parked {
                return Steer::Drop(Dropped::Busy);
            }
            search.parked.push(payload);
            return Steer::Parked;
        }
        if self.tried.get(&key).is_some_and(|t| now < t.pause_until) {
            return Steer::Drop(Dropped::NotFound);
        }
        if self.searches.len() >= self.settings.searches {
            return Steer::Drop(Dropped::Busy);
        }
        let mut agents = self.agents_for(&key);
        if agents.is_empty() {
            return Steer::Drop(Dropped::NoAgent);
        }
        let others = agents.split_off(agents.len().min(self.settings.first));
        let search = Search {
            key,
            until: now + self.settings.search,
            others,
            asked: agents.len(),
            is_wide: false,
            waiting_for: agents.iter().cloned().collect(),
            perhaps: BTreeMap::new(),
            parked: vec![payload],
            whole: self.is_whole(now),
            confirming: false,
        };
        self.searches.insert(key, search);
        Steer::Ask(agents)
    }

    /// The services that the address of a flow leads to.
    fn services_of(&self, key: Key) -> Vec<&ServiceName> {
        let routes = self.routes.as_ref();
        let rule = routes.and_then(|routes| routes.rules.get(&SocketAddr::V4(key.service)));
        let parts = rule.into_iter().flat_map(|rule| rule.parts.keys());
        parts.collect()
    }

    /// The agents of the services that the address leads to, the likeliest
    /// holders first.
    fn agents_for(&self, key: &Key) -> Vec<(SocketAddrV4, ServiceName)> {
        let hash = key.hash();
        self.services_of(*key)
            .into_iter()
            .filter_map(|service| Some((service, self.pools.get(service)?)))
            .flat_map(|(service, pool)| {
                let agents = pool.likely(&self.near, hash).into_iter();
                agents.map(|agent| (agent, service.clone()))
            })
            .collect()
    }

    /// Notes that an agent took a flow, and returns the datagrams that waited.
    pub fn held(
        &mut self,
        key: Key,
        agent: SocketAddrV4,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<Release> {
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
            .map(|payload| Release {
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
    pub fn told(
        &mut self,
        keys: Vec<Key>,
        agent: SocketAddrV4,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<Release> {
        let mut released = Vec::new();
        for key in keys {
            if !self.hints.contains_key(&key) {
                released.extend(self.held(key, agent, service, now));
            }
        }
        released
    }

    /// Notes an agent's answer to a question for a flow.
    pub fn claimed(
        &mut self,
        key: Key,
        agent: SocketAddrV4,
        claim: Claim,
        now: Instant,
    ) -> Vec<Release> {
        let Some(search) = self.searches.get_mut(&key) else {
            self.claimed_late(key, agent, claim, now);
            return Vec::new();
        };
        let Some(service) = search.waiting_for.remove(&agent) else {
            return Vec::new();
        };
        match claim {
            Claim::Holds => return self.held(key, agent, &service, now),
            Claim::Perhaps => drop(search.perhaps.insert(agent, service)),
            Claim::No => {}
        }
        if search.waiting_for.is_empty() {
            search.until = now;
        }
        Vec::new()
    }

    /// Notes an answer that came after its search: the way may take longer than
    /// a search waits.
    fn claimed_late(&mut self, key: Key, agent: SocketAddrV4, claim: Claim, now: Instant) {
        if claim != Claim::Holds || self.hints.contains_key(&key) {
            return;
        }
        let mut pools = self.pools.iter();
        let service = pools.find(|(_, pool)| pool.get(agent).is_some());
        if let Some(service) = service.map(|(service, _)| service.clone()) {
            self.held(key, agent, &service, now);
        }
    }

    /// Notes that an agent does not hold a flow that was sent to it, and
    /// searches for the holder with the datagram that came back.
    pub fn not_held(
        &mut self,
        key: Key,
        agent: SocketAddrV4,
        payload: Bytes,
        now: Instant,
    ) -> Steer {
        if self.hints.get(&key).is_some_and(|hint| hint.agent == agent) {
            self.hints.remove(&key);
        }
        self.search(key, payload, now)
    }

    /// Ends the searches that are due. One that has not asked all agents asks
    /// the next. A flow that all have denied, while all are known, is lost;
    /// otherwise one agent that may hold the flow gets
    /// its first datagram, and the caller sends the rest again.
    pub fn end_searches(&mut self, now: Instant) -> Ended {
        let settings = self.settings;
        let due: Vec<Key> = self
            .searches
            .iter()
            .filter(|(_, search)| now >= search.until)
            .map(|(key, _)| *key)
            .collect();
        let mut ended = Ended::default();
        for key in due {
            let Some(mut search) = self.searches.remove(&key) else {
                continue;
            };
            if search.is_vain() && self.may_try(&key, now) {
                ended.released.extend(self.try_one(key, &search, now));
                continue;
            }
            let others = self.next_to_ask(&mut search, now);
            if let (false, Some(payload)) = (others.is_empty(), search.parked.first().cloned()) {
                search.waiting_for.extend(others.iter().cloned());
                search.until = now + settings.search;
                self.searches.insert(key, search);
                ended.asked.push(Question { payload, others });
                continue;
            }
            if search.whole && search.is_denied() && self.is_whole(now) {
                ended.lost.extend(search.parked.into_iter().next());
                continue;
            }
            let released = self.try_one(key, &search, now);
            if released.is_none() {
                self.tries(key, now).pause_until = now + settings.pause;
            }
            ended.released.extend(released);
        }
        ended
    }

    /// The agents that a search asks next; none once it has asked all.
    fn next_to_ask(
        &mut self,
        search: &mut Search,
        now: Instant,
    ) -> Vec<(SocketAddrV4, ServiceName)> {
        if !search.others.is_empty() {
            if !search.is_wide {
                // Half a search costs as much and finds less.
                let all = self.pools.values().map(|pool| pool.addresses().count());
                search.is_wide = self.questions.take(all.sum(), now);
            }
            if !search.is_wide {
                return Vec::new();
            }
            search.asked = (search.asked * self.settings.wider).min(search.others.len());
            return search.others.drain(..search.asked).collect();
        }
        let lost = search.whole && search.is_denied() && self.is_whole(now);
        if !lost || search.confirming {
            return Vec::new();
        }
        search.confirming = true;
        let asked = self.services_of(search.key);
        let pools = self.pools.iter().filter(|(name, _)| !asked.contains(name));
        let agents = pools.flat_map(|(service, pool)| {
            let addresses = pool.addresses();
            addresses.map(|address| (address, service.clone()))
        });
        agents.collect()
    }

    fn tries(&mut self, key: Key, now: Instant) -> &mut Tries {
        self.tried.entry(key).or_insert(Tries {
            agents: BTreeSet::new(),
            since: now,
            pause_until: now,
        })
    }

    /// Whether another agent may be tried for a flow.
    fn may_try(&self, key: &Key, now: Instant) -> bool {
        self.tried.get(key).is_none_or(|tries| {
            tries.agents.len() < self.settings.tries || now >= tries.since + self.settings.tries_per
        })
    }

    fn try_one(&mut self, key: Key, search: &Search, now: Instant) -> Option<Release> {
        let settings = self.settings;
        // An agent of another service may hold a flow, but is not tried for it.
        let likely = self.agents_for(&key);
        let tries = self.tries(key, now);
        if now >= tries.since + settings.tries_per {
            tries.since = now;
            // Those that were tried come last: start over once all had a turn.
            if search.perhaps.keys().all(|a| tries.agents.contains(a)) {
                tries.agents.clear();
            }
        } else if tries.agents.len() >= settings.tries {
            return None;
        }
        let mut fresh = likely.into_iter().filter(|(agent, _)| {
            search.perhaps.contains_key(agent) && !tries.agents.contains(agent)
        });
        let (agent, service) = fresh.next()?;
        tries.agents.insert(agent);
        Some(Release {
            agent,
            origin: Origin::Tried,
            service,
            payload: search.parked.first().cloned()?,
        })
    }

    /// When the next search ends.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.searches.values().map(|search| search.until).min()
    }

    /// Forgets hints and tries that were not used for long.
    pub fn expire(&mut self, now: Instant) {
        let settings = self.settings;
        self.hints.retain(|_, hint| now < hint.last + settings.idle);
        self.tried
            .retain(|_, tries| now < tries.since + 4 * settings.tries_per);
    }

    /// Number of hints.
    #[must_use]
    pub fn hints(&self) -> usize {
        self.hints.len()
    }
}
