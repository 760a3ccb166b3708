//! The agents of a service, and the choice of one for a new flow.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use twox_hash::XxHash64;
use types::{DataCentre, Slots, UpstreamId};

use super::Load;

/// What is known of an agent that may take new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentStatus {
    /// The run of the agent.
    pub id: UpstreamId,
    /// Where the agent is.
    pub data_centre: DataCentre,
    /// Requests that its upstream serves at a time.
    pub slots: Slots,
    /// Whether it takes new flows.
    pub accepting: bool,
    /// Its last report.
    pub load: Load,
    /// When it reported.
    pub reported_at: Instant,
    /// Flows placed there since its last report.
    pub placed_since_report: u32,
}

/// A report counts as fresh for this long; agents report at least twice in it.
/// An agent that is overdue is used only when no other is left.
const FRESH: Duration = Duration::from_millis(1100);

/// Cost of another data centre, as a part of an upstream's slots in use: a flow
/// goes there when it saves more waiting than the way costs.
const FAR: f64 = 0.4;

/// Cost of an open flow, as a part of a request: flows that stay open bring
/// further requests, about one in a second.
const OPEN_FLOW: f64 = 0.03;

/// Agents whose costs differ by less are alike, in parts of an upstream's slots.
/// It is below a slot of the smallest upstreams, so that none is filled while
/// another is idle.
const ALIKE: f64 = 0.45;

/// The agents of a service.
#[derive(Debug, Default)]
pub struct AgentPool {
    agents: BTreeMap<SocketAddrV4, AgentStatus>,
}

impl AgentPool {
    /// Adds an agent or replaces what is known of it.
    pub fn insert(&mut self, address: SocketAddrV4, candidate: AgentStatus) {
        self.agents.insert(address, candidate);
    }

    /// Removes an agent that is gone.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.agents.remove(&address);
    }

    /// What is known of an agent.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&AgentStatus> {
        self.agents.get(&address)
    }

    /// What is known of an agent, to change it.
    pub fn get_mut(&mut self, address: SocketAddrV4) -> Option<&mut AgentStatus> {
        self.agents.get_mut(&address)
    }

    /// Keeps the agents that `keep` accepts.
    pub fn retain(&mut self, mut keep: impl FnMut(SocketAddrV4, &AgentStatus) -> bool) {
        self.agents.retain(|address, agent| keep(*address, agent));
    }

    /// All agents.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.agents.keys().copied()
    }

    /// Whether an agent that takes new flows has reported lately.
    #[must_use]
    pub fn has_available_agent(&self, now: Instant) -> bool {
        let usable = |agent: &AgentStatus| agent.accepting && Self::has_recent_report(agent, now);
        self.agents.values().any(usable)
    }

    /// Whether a candidate reported lately.
    #[must_use]
    pub fn has_recent_report(candidate: &AgentStatus, now: Instant) -> bool {
        now < candidate.reported_at + FRESH
    }

    /// Chooses an agent that takes new flows and is not in `except`, and counts
    /// the flow as placed there. Among the agents that are about as cheap as the
    /// cheapest, by load and way, it is the one that the flow's hash prefers.
    pub fn place(
        &mut self,
        near: &DataCentre,
        hash: u64,
        except: &[SocketAddrV4],
        now: Instant,
    ) -> Option<SocketAddrV4> {
        let willing = |address: &SocketAddrV4, c: &AgentStatus| {
            c.accepting && !except.contains(address) && Self::has_recent_report(c, now)
        };
        let any_fresh = self.agents.iter().any(|(a, c)| willing(a, c));
        let open: Vec<(SocketAddrV4, f64)> = self
            .agents
            .iter()
            .filter(|(a, c)| willing(a, c) || (!any_fresh && c.accepting && !except.contains(a)))
            .map(|(address, c)| (*address, cost(c, near)))
            .collect();
        let least = open.iter().map(|(_, cost)| *cost).min_by(f64::total_cmp)?;
        let address = open
            .into_iter()
            .filter(|(_, cost)| *cost <= least + ALIKE)
            .map(|(address, _)| address)
            .max_by_key(|address| {
                let agent = self.agents.get(address);
                let is_near = agent.is_some_and(|agent| agent.data_centre == *near);
                (is_near, preference(hash, *address))
            })?;
        if let Some(candidate) = self.agents.get_mut(&address) {
            candidate.placed_since_report += 1;
        }
        Some(address)
    }

    /// Agents in the order in which they are likely to hold a flow of this hash
    /// that was placed by a balancer in `near`.
    pub fn by_preference(&self, near: &DataCentre, hash: u64) -> Vec<SocketAddrV4> {
        let mut agents: Vec<_> = self.agents.iter().collect();
        agents.sort_by_key(|(address, candidate)| {
            let far = candidate.data_centre != *near;
            (far, std::cmp::Reverse(preference(hash, **address)))
        });
        agents.into_iter().map(|(address, _)| *address).collect()
    }

    /// Whether some agent but `except` has a free slot by its last report.
    #[must_use]
    pub fn has_free_slot(&self, except: &[SocketAddrV4], now: Instant) -> bool {
        self.agents.iter().any(|(address, c)| {
            let free = c.load.busy_requests + c.placed_since_report < c.slots.0;
            free && c.accepting && Self::has_recent_report(c, now) && !except.contains(address)
        })
    }
}

fn cost(candidate: &AgentStatus, near: &DataCentre) -> f64 {
    let slots = f64::from(candidate.slots.0.max(1));
    let requests = f64::from(candidate.load.busy_requests + candidate.placed_since_report);
    let flows = f64::from(candidate.load.open_flows) * OPEN_FLOW;
    let way = if candidate.data_centre == *near {
        0.0
    } else {
        FAR
    };
    (requests + flows) / slots + way
}

/// How much a flow prefers an agent. It depends on nothing that changes, so a
/// balancer that has lost its hints knows where a flow is likely to be.
fn preference(hash: u64, address: SocketAddrV4) -> u64 {
    let salt = (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port());
    XxHash64::oneshot(hash, &salt.to_be_bytes())
}
