//! The agents of a service and the choice of one for a new flow.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use twox_hash::XxHash64;
use types::{DataCentre, Slots, UpstreamId};

use super::{AdmittedShare, Load, ServiceTime};

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
    fn requests(&self) -> u32 {
        self.load
            .busy_requests
            .saturating_add(self.placed_since_report)
    }
}

/// Age at which a report is out of date. Agents report at least twice in this
/// time. An agent whose report is older is chosen only when no other is left.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1100);

/// Cost of an agent in another data centre, as a fraction of its upstream's
/// slots: a flow goes there only when it saves more queueing time than the
/// longer path costs.
const REMOTE_COST: f64 = 0.4;

/// Cost of an open flow, as a fraction of a request: an open flow brings about
/// one more request in a second.
const OPEN_FLOW_COST: f64 = 0.03;

/// Agents whose costs differ by at most this fraction of an upstream's slots
/// count as equal. It is less than one slot of the smallest upstreams, so that
/// none of them is filled while another is idle.
const COST_TOLERANCE: f64 = 0.45;

/// The agents of a service.
#[derive(Debug, Default)]
pub struct AgentPool {
    agents: BTreeMap<SocketAddrV4, AgentStatus>,
    /// Data centres whose agents get no new flows, whatever they report.
    evacuated: BTreeSet<DataCentre>,
}

impl AgentPool {
    /// Adds an agent or replaces its state.
    pub fn insert(&mut self, address: SocketAddrV4, candidate: AgentStatus) {
        self.agents.insert(address, candidate);
    }

    /// Removes an agent.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.agents.remove(&address);
    }

    /// State of an agent.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&AgentStatus> {
        self.agents.get(&address)
    }

    /// Mutable state of an agent.
    pub fn get_mut(&mut self, address: SocketAddrV4) -> Option<&mut AgentStatus> {
        self.agents.get_mut(&address)
    }

    /// Keeps the agents for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(SocketAddrV4, &AgentStatus) -> bool) {
        self.agents.retain(|address, agent| keep(*address, agent));
    }

    /// Addresses of all agents.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.agents.keys().copied()
    }

    /// Sets the data centres whose agents get no new flows.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<DataCentre>) {
        self.evacuated.clone_from(evacuated);
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
    #[must_use]
    pub fn is_emptied_by_evacuation(&self) -> bool {
        let mut agents = self.agents.values();
        agents.any(|agent| self.is_evacuated(agent))
            && !self.agents.values().any(|agent| self.accepts_flows(agent))
    }

    /// Whether the last report of `candidate` is up to date.
    #[must_use]
    pub fn has_recent_report(candidate: &AgentStatus, now: Instant) -> bool {
        now < candidate.reported_at + MAX_REPORT_AGE
    }

    /// Chooses an agent that accepts new flows and is not in `except`, and
    /// counts the flow in `placed_since_report`. Among the agents whose cost is
    /// within `COST_TOLERANCE` of the lowest, it prefers those in the data
    /// centre `local`, then the highest rendezvous hash.
    pub fn place(
        &mut self,
        local: &DataCentre,
        hash: u64,
        except: &[SocketAddrV4],
        now: Instant,
    ) -> Option<SocketAddrV4> {
        let is_eligible = |address: &SocketAddrV4, c: &AgentStatus| {
            self.accepts_flows(c) && !except.contains(address) && Self::has_recent_report(c, now)
        };
        let any_eligible = self.agents.iter().any(|(a, c)| is_eligible(a, c));
        let candidates: Vec<(SocketAddrV4, f64)> = self
            .agents
            .iter()
            .filter(|(a, c)| {
                is_eligible(a, c) || (!any_eligible && self.accepts_flows(c) && !except.contains(a))
            })
            .map(|(address, c)| (*address, cost(c, local)))
            .collect();
        let least = candidates
            .iter()
            .map(|(_, cost)| *cost)
            .min_by(f64::total_cmp)?;
        let address = candidates
            .into_iter()
            .filter(|(_, cost)| *cost <= least + COST_TOLERANCE)
            .map(|(address, _)| address)
            .max_by_key(|address| {
                let agent = self.agents.get(address);
                let is_local = agent.is_some_and(|agent| agent.data_centre == *local);
                (is_local, preference(hash, *address))
            })?;
        if let Some(candidate) = self.agents.get_mut(&address) {
            candidate.placed_since_report = candidate.placed_since_report.saturating_add(1);
        }
        Some(address)
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
    #[must_use]
    pub fn has_free_slot(&self, except: &[SocketAddrV4], now: Instant) -> bool {
        self.agents.iter().any(|(address, c)| {
            let has_slot = c.requests() < c.slots.0;
            has_slot
                && self.accepts_flows(c)
                && Self::has_recent_report(c, now)
                && !except.contains(address)
        })
    }
}

fn cost(candidate: &AgentStatus, local: &DataCentre) -> f64 {
    let slots = f64::from(candidate.slots.0.max(1));
    let requests = f64::from(candidate.requests());
    let open_flows = f64::from(candidate.load.open_flows) * OPEN_FLOW_COST;
    let distance_cost = if candidate.data_centre == *local {
        0.0
    } else {
        REMOTE_COST
    };
    (requests + open_flows) / slots + distance_cost
}

/// Rendezvous hash of a flow and an agent. It depends on nothing that changes,
/// so that a balancer that has lost its hints finds the agents that probably
/// hold a flow.
pub(super) fn preference(hash: u64, address: SocketAddrV4) -> u64 {
    let salt = (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port());
    XxHash64::oneshot(hash, &salt.to_be_bytes())
}
