//! The agents of a service and the choice of one for a new flow.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use twox_hash::XxHash64;
use types::{DataCentre, Slots, UpstreamId};

use super::{AdmittedShare, Load, ServiceTime, cost_index::CostIndex};

/// Last known state of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentStatus {
    /// Incarnation of the agent.
    pub id: UpstreamId,
    /// Data centre of the agent.
    pub data_centre: DataCentre,
    /// Number of requests that its upstream serves concurrently.
    pub slots: Slots,
    /// Whether it accepts new flows.
    pub accepting: bool,
    /// Load in its last report.
    pub load: Load,
    /// Service time of its upstream; `None` if the agent has not reported one.
    pub service_time: Option<ServiceTime>,
    /// Share of new flows that its upstream gets.
    pub share: AdmittedShare,
    /// When the last report arrived.
    pub reported_at: Instant,
    /// Flows placed on the agent since its last report.
    pub placed_since_report: u32,
}

impl AgentStatus {
    /// Requests in its last report and flows placed since. A report may hold any
    /// number.
    pub(super) fn requests(&self) -> u32 {
        self.load
            .busy_requests
            .saturating_add(self.placed_since_report)
    }
}

/// Age at which a report is out of date. Agents report at least twice in this
/// time. An agent whose report is older is chosen only when no other is left.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1100);

/// Cost of the path to another data centre, in percent of the mean service time: a
/// flow goes there only when it saves more queueing time than the longer path costs.
const REMOTE_COST_PERCENT: u32 = 50;

/// The same while no service time is known: the cost that was set for requests per slot.
const REMOTE_COST_PERCENT_OF_SLOTS: u32 = 40;

/// Agents whose costs differ by at most this many percent of the mean service time
/// count as equal. It is less than one slot of the smallest upstreams, so that none of
/// them is filled while another is idle.
const COST_TOLERANCE_PERCENT: u32 = 45;

/// Agents of one data centre that a placement looks at: more than a service of today's
/// deployments has there, so that the hash of a flow chooses among all equal agents.
const MAX_CANDIDATES: usize = 128;

/// Expectation about a flow that was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Expected time to the answer, with the path.
    pub expected: Duration,
    /// Whether the agent is in the data centre of the balancer.
    pub is_local: bool,
}

/// The agents of a service.
#[derive(Debug, Default)]
pub struct AgentPool {
    agents: BTreeMap<SocketAddrV4, AgentStatus>,
    /// Data centres whose agents get no new flows, whatever they report.
    evacuated: BTreeSet<DataCentre>,
    /// The agents that accept flows, by cost.
    index: CostIndex,
    /// Agents that accept flows and are not in the index, because their reports were out
    /// of date at a placement.
    out_of_date: BTreeSet<SocketAddrV4>,
    /// Agents in evacuated data centres.
    evacuated_agents: BTreeSet<SocketAddrV4>,
    /// Agents whose state has changed since the index was updated.
    unindexed: BTreeSet<SocketAddrV4>,
    /// The last placement by cost, until it is taken.
    last_placement: Option<Placement>,
}

impl AgentPool {
    /// Adds an agent or replaces its state.
    pub fn insert(&mut self, address: SocketAddrV4, candidate: AgentStatus) {
        self.agents.insert(address, candidate);
        self.unindexed.insert(address);
    }

    /// Applies a report of an agent. What is known of its performance stays, unless the
    /// agent has restarted.
    pub fn apply_report(&mut self, address: SocketAddrV4, reported: AgentStatus) {
        let known = self.agents.get(&address);
        let known = known.filter(|known| known.id == reported.id);
        let (service_time, share) =
            known.map_or_else(Default::default, |known| (known.service_time, known.share));
        let status = AgentStatus {
            service_time,
            share,
            ..reported
        };
        self.insert(address, status);
    }

    /// Applies the performance of the upstream of the agent with this incarnation.
    /// Returns whether the agent is known.
    pub fn apply_performance(
        &mut self,
        address: SocketAddrV4,
        id: UpstreamId,
        service_time: Option<ServiceTime>,
        share: AdmittedShare,
    ) -> bool {
        let agent = self.agents.get_mut(&address);
        let Some(agent) = agent.filter(|agent| agent.id == id) else {
            return false;
        };
        agent.service_time = service_time;
        agent.share = share;
        self.unindexed.insert(address);
        true
    }

    /// Removes an agent.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.agents.remove(&address);
        self.unindexed.insert(address);
    }

    /// State of an agent.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&AgentStatus> {
        self.agents.get(&address)
    }

    /// Mutable state of an agent.
    pub fn get_mut(&mut self, address: SocketAddrV4) -> Option<&mut AgentStatus> {
        self.unindexed.insert(address);
        self.agents.get_mut(&address)
    }

    /// Keeps the agents for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(SocketAddrV4, &AgentStatus) -> bool) {
        let unindexed = &mut self.unindexed;
        self.agents.retain(|address, agent| {
            let kept = keep(*address, agent);
            if !kept {
                unindexed.insert(*address);
            }
            kept
        });
    }

    /// Addresses of all agents.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.agents.keys().copied()
    }

    /// Sets the data centres whose agents get no new flows.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<DataCentre>) {
        self.evacuated.clone_from(evacuated);
        self.unindexed.extend(self.agents.keys());
    }

    fn is_evacuated(&self, agent: &AgentStatus) -> bool {
        self.evacuated.contains(&agent.data_centre)
    }

    /// Whether the agent can be given new flows, apart from the age of its report.
    fn accepts_flows(&self, agent: &AgentStatus) -> bool {
        agent.accepting && !self.is_evacuated(agent)
    }

    /// Whether new flows can be placed on the agent with this address, and its report
    /// is up to date.
    #[must_use]
    pub fn is_available(&self, address: SocketAddrV4, now: Instant) -> bool {
        let agent = self.agents.get(&address);
        agent.is_some_and(|agent| self.accepts_flows(agent) && Self::has_recent_report(agent, now))
    }

    /// Whether an agent that accepts new flows, or that would without an evacuation,
    /// has an up-to-date report. Evacuated agents count: a balancer that only they
    /// report to still forwards their open flows and refuses new ones.
    #[must_use]
    pub fn has_available_agent(&self, now: Instant) -> bool {
        self.agents.values().any(|agent| {
            let counts = agent.accepting || self.is_evacuated(agent);
            counts && Self::has_recent_report(agent, now)
        })
    }

    /// Whether an evacuation leaves no agent for new flows, so that waiting for one is
    /// useless.
    pub fn is_emptied_by_evacuation(&mut self) -> bool {
        self.update_index();
        !self.evacuated_agents.is_empty() && self.index.is_empty() && self.out_of_date.is_empty()
    }

    /// Whether the last report of `candidate` is up to date.
    #[must_use]
    pub fn has_recent_report(candidate: &AgentStatus, now: Instant) -> bool {
        now < candidate.reported_at + MAX_REPORT_AGE
    }

    /// The last placement by cost, if it was not taken before.
    pub fn take_placement(&mut self) -> Option<Placement> {
        self.last_placement.take()
    }

    /// Chooses an agent that accepts new flows and is not in `except`, and
    /// counts the flow in `placed_since_report`. Among the agents whose cost is
    /// within the tolerance of the lowest, it prefers those in the data
    /// centre `local`, then the highest rendezvous hash.
    pub fn place(
        &mut self,
        local: &DataCentre,
        hash: u64,
        except: &[SocketAddrV4],
        now: Instant,
    ) -> Option<SocketAddrV4> {
        self.update_index();
        let candidates = self.candidates(local, except, now);
        let address = match candidates.iter().map(|candidate| candidate.cost).min() {
            Some(least) => {
                let most = least.saturating_add(self.cost_tolerance());
                let best = candidates
                    .into_iter()
                    .filter(|candidate| candidate.cost <= most)
                    .max_by_key(|c| (c.is_local, preference(hash, c.address)))?;
                self.last_placement = Some(Placement {
                    expected: best.cost,
                    is_local: best.is_local,
                });
                Some(best.address)
            }
            None => self.last_resort(except, now),
        }?;
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.placed_since_report = agent.placed_since_report.saturating_add(1);
            self.index.update(address, agent);
        }
        Some(address)
    }

    /// Agents of least cost in each data centre.
    fn candidates(
        &mut self,
        local: &DataCentre,
        except: &[SocketAddrV4],
        now: Instant,
    ) -> Vec<Candidate> {
        let tolerance = self.cost_tolerance();
        let path_percent = if self.index.has_service_times() {
            REMOTE_COST_PERCENT
        } else {
            REMOTE_COST_PERCENT_OF_SLOTS
        };
        let path = self.index.mean_service_time() * path_percent / 100;
        let mut candidates = Vec::new();
        let mut out_of_date = Vec::new();
        for (data_centre, agents) in self.index.data_centres() {
            let is_local = data_centre == local;
            let path = if is_local { Duration::ZERO } else { path };
            let is_eligible = |(_, address): &(Duration, SocketAddrV4)| {
                let agent = self.agents.get(address);
                let recent = agent.is_some_and(|agent| Self::has_recent_report(agent, now));
                if !recent {
                    out_of_date.push(*address);
                }
                recent && !except.contains(address)
            };
            let mut most = None;
            let cheapest = agents
                .filter(is_eligible)
                .take_while(|(cost, _)| {
                    *cost <= *most.get_or_insert_with(|| cost.saturating_add(tolerance))
                })
                .take(MAX_CANDIDATES);
            candidates.extend(cheapest.map(|(cost, address)| Candidate {
                address,
                cost: cost.saturating_add(path),
                is_local,
            }));
        }
        // They return with their next report.
        for address in out_of_date {
            self.index.remove(address);
            self.out_of_date.insert(address);
        }
        candidates
    }

    /// An agent whose upstream is left out or, if there is none, whose report is out of
    /// date, when no other is left.
    fn last_resort(&self, except: &[SocketAddrV4], now: Instant) -> Option<SocketAddrV4> {
        let is_recent = |address: &SocketAddrV4| {
            let agent = self.agents.get(address);
            agent.is_some_and(|agent| Self::has_recent_report(agent, now))
        };
        let unhealthy = || self.index.unhealthy().take(MAX_CANDIDATES);
        let left_out = unhealthy().filter(is_recent);
        let out_of_date = unhealthy().filter(|address| !is_recent(address));
        let out_of_date = out_of_date.chain(self.out_of_date.iter().copied());
        self.least_requests(left_out, except)
            .or_else(|| self.least_requests(out_of_date, except))
    }

    /// The agent with the fewest requests for its slots among the first ones.
    fn least_requests(
        &self,
        addresses: impl Iterator<Item = SocketAddrV4>,
        except: &[SocketAddrV4],
    ) -> Option<SocketAddrV4> {
        let addresses = addresses
            .filter(|address| !except.contains(address))
            .take(MAX_CANDIDATES);
        addresses.min_by_key(|address| {
            let agent = self.agents.get(address);
            agent.map(|agent| agent.requests() / agent.slots.0.max(1))
        })
    }

    fn cost_tolerance(&self) -> Duration {
        self.index.mean_service_time() * COST_TOLERANCE_PERCENT / 100
    }

    fn update_index(&mut self) {
        for address in std::mem::take(&mut self.unindexed) {
            self.out_of_date.remove(&address);
            let agent = self.agents.get(&address);
            if agent.is_some_and(|agent| self.is_evacuated(agent)) {
                self.evacuated_agents.insert(address);
            } else {
                self.evacuated_agents.remove(&address);
            }
            match agent {
                Some(agent) if self.accepts_flows(agent) => self.index.update(address, agent),
                _ => self.index.remove(address),
            }
        }
    }

    /// Agents in descending probability of holding a flow with this hash that a
    /// balancer in `local` placed.
    pub fn by_preference(&self, local: &DataCentre, hash: u64) -> Vec<SocketAddrV4> {
        let mut agents: Vec<_> = self.agents.iter().collect();
        agents.sort_by_key(|(address, candidate)| {
            let is_remote = candidate.data_centre != *local;
            (is_remote, std::cmp::Reverse(preference(hash, **address)))
        });
        agents.into_iter().map(|(address, _)| *address).collect()
    }

    /// Whether an agent that is not in `except` has a free slot by its last
    /// report.
    pub fn has_free_slot(&mut self, except: &[SocketAddrV4], now: Instant) -> bool {
        self.update_index();
        let mut free = self.index.free();
        let latest = free.find(|address| !except.contains(address));
        let latest = latest.and_then(|address| self.agents.get(&address));
        latest.is_some_and(|agent| Self::has_recent_report(agent, now))
    }
}

/// An agent that a placement looks at.
struct Candidate {
    address: SocketAddrV4,
    /// Expected time to the answer, with the path.
    cost: Duration,
    is_local: bool,
}

/// Rendezvous hash of a flow and an agent. It depends on nothing that changes,
/// so that a balancer that has lost its hints finds the agents that probably
/// hold a flow.
pub(super) fn preference(hash: u64, address: SocketAddrV4) -> u64 {
    let salt = (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port());
    XxHash64::oneshot(hash, &salt.to_be_bytes())
}
