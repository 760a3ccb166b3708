//! How a balancer finds the holder of a flow.

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
    until: Instant,
    /// Agents that are asked next, if nobody claims the flow; the likeliest first.
    others: Vec<(SocketAddrV4, ServiceName)>,
    /// Agents that were asked last.
    asked: usize,
    /// It may ask all agents, step by step.
    is_wide: bool,
    waiting_for: BTreeMap<SocketAddrV4, ServiceName>,
    perhaps: BTreeMap<SocketAddrV4, ServiceName>,
    pub(super) parked: Vec<Bytes>,
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
pub(super) struct Tries {
    agents: BTreeSet<SocketAddrV4>,
    pub(super) since: Instant,
    /// A search found nothing; there is none until then.
    pause_until: Instant,
}
impl Steering {
    /// Looks for the holder of a flow, or lets a datagram wait for a search.
    pub(super) fn search(
        &mut self,
        key: FlowTuple,
        payload: Bytes,
        now: Instant,
    ) -> SteeringDecision {
        if let Some(search) = self.searches.get_mut(&key) {
            if search.parked.len() >= self.settings.max_queued_per_flow {
                return SteeringDecision::Drop(DropReason::Busy);
            }
            search.parked.push(payload);
            return SteeringDecision::Queued;
        }
        if self.tried.get(&key).is_some_and(|t| now < t.pause_until) {
            return SteeringDecision::Drop(DropReason::NotFound);
        }
        if self.searches.len() >= self.settings.max_searches {
            return SteeringDecision::Drop(DropReason::Busy);
        }
        let mut agents = self.agents_for(&key);
        if agents.is_empty() {
            return SteeringDecision::Drop(DropReason::NoAgent);
        }
        let others = agents.split_off(agents.len().min(self.settings.initial_fanout));
        let search = Search {
            key,
            until: now + self.settings.search_timeout,
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
        SteeringDecision::Query(agents)
    }

    /// Notes an agent's answer to a question for a flow.
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
        let Some(service) = search.waiting_for.remove(&agent) else {
            return Vec::new();
        };
        match claim {
            Claim::Holds => return self.record_holder(key, agent, &service, now),
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

    /// Notes that an agent does not hold a flow that was sent to it, and
    /// searches for the holder with the datagram that came back.
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
        self.search(key, payload, now)
    }

    /// Ends the searches that are due. One that has not asked all agents asks
    /// the next. A flow that all have denied, while all are known, is lost;
    /// otherwise one agent that may hold the flow gets
    /// its first datagram, and the caller sends the rest again.
    pub fn end_searches(&mut self, now: Instant) -> SearchResults {
        let settings = self.settings;
        let due: Vec<FlowTuple> = self
            .searches
            .iter()
            .filter(|(_, search)| now >= search.until)
            .map(|(key, _)| *key)
            .collect();
        let mut ended = SearchResults::default();
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
                search.until = now + settings.search_timeout;
                self.searches.insert(key, search);
                ended.queries.push(FlowQuery {
                    payload,
                    agents: others,
                });
                continue;
            }
            if search.whole && search.is_denied() && self.is_whole(now) {
                ended.lost_flows.extend(search.parked.into_iter().next());
                continue;
            }
            let released = self.try_one(key, &search, now);
            if released.is_none() {
                self.tries(key, now).pause_until = now + settings.search_backoff;
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
                search.is_wide = self.questions.try_acquire(all.sum(), now);
            }
            if !search.is_wide {
                return Vec::new();
            }
            search.asked = (search.asked * self.settings.fanout_factor).min(search.others.len());
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

    fn tries(&mut self, key: FlowTuple, now: Instant) -> &mut Tries {
        self.tried.entry(key).or_insert(Tries {
            agents: BTreeSet::new(),
            since: now,
            pause_until: now,
        })
    }

    /// Whether another agent may be tried for a flow.
    fn may_try(&self, key: &FlowTuple, now: Instant) -> bool {
        self.tried.get(key).is_none_or(|tries| {
            tries.agents.len() < self.settings.max_tries
                || now >= tries.since + self.settings.tries_window
        })
    }

    fn try_one(
        &mut self,
        key: FlowTuple,
        search: &Search,
        now: Instant,
    ) -> Option<ReleasedDatagram> {
        let settings = self.settings;
        // An agent of another service may hold a flow, but is not tried for it.
        let likely = self.agents_for(&key);
        let tries = self.tries(key, now);
        if now >= tries.since + settings.tries_window {
            tries.since = now;
            // Those that were tried come last: start over once all had a turn.
            if search.perhaps.keys().all(|a| tries.agents.contains(a)) {
                tries.agents.clear();
            }
        } else if tries.agents.len() >= settings.max_tries {
            return None;
        }
        let mut fresh = likely.into_iter().filter(|(agent, _)| {
            search.perhaps.contains_key(agent) && !tries.agents.contains(agent)
        });
        let (agent, service) = fresh.next()?;
        tries.agents.insert(agent);
        Some(ReleasedDatagram {
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
}
