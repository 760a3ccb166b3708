//! The agents of a service, and the choice of one for a new flow.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use types::{DataCentre, Slots, UpstreamId};

use super::Load;

/// What is known of an agent that may take new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
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
    pub reported: Instant,
    /// Flows placed there since its last report.
    pub placed: u32,
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

/// The agents of a service.
#[derive(Debug, Default)]
pub struct Pool {
    agents: BTreeMap<SocketAddrV4, Candidate>,
}

impl Pool {
    /// Adds an agent or replaces what is known of it.
    pub fn insert(&mut self, address: SocketAddrV4, candidate: Candidate) {
        self.agents.insert(address, candidate);
    }

    /// Removes an agent that is gone.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.agents.remove(&address);
    }

    /// What is known of an agent.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&Candidate> {
        self.agents.get(&address)
    }

    /// What is known of an agent, to change it.
    pub fn get_mut(&mut self, address: SocketAddrV4) -> Option<&mut Candidate> {
        self.agents.get_mut(&address)
    }

    /// Keeps the agents that `keep` accepts.
    pub fn retain(&mut self, mut keep: impl FnMut(SocketAddrV4, &Candidate) -> bool) {
        self.agents.retain(|address, agent| keep(*address, agent));
    }

    /// All agents.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.agents.keys().copied()
    }

    /// Whether an agent that takes new flows has reported lately.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        let usable = |agent: &Candidate| agent.accepting && Self::is_fresh(agent, now);
        self.agents.values().any(usable)
    }

    /// Whether a candidate reported lately.
    #[must_use]
    pub fn is_fresh(candidate: &Candidate, now: Instant) -> bool {
        now < candidate.reported + FRESH
    }

    /// Chooses an agent that takes new flows and is not in `except`, the
    /// cheapest by load and way, and counts the flow as placed there.
    pub fn place(
        &mut self,
        near: &DataCentre,
        hash: u64,
        except: &[SocketAddrV4],
        now: Instant,
    ) -> Option<SocketAddrV4> {
        let address = self
            .agents
            .iter()
            .filter(|(address, candidate)| candidate.accepting && !except.contains(address))
            .min_by(|a, b| {
                let overdue = |c: &Candidate| !Self::is_fresh(c, now);
                let cost = |c: &Candidate| cost(c, near);
                let tie = |address: &SocketAddrV4| mix(hash, *address);
                overdue(a.1)
                    .cmp(&overdue(b.1))
                    .then(cost(a.1).total_cmp(&cost(b.1)))
                    .then(tie(a.0).cmp(&tie(b.0)))
            })
            .map(|(address, _)| *address)?;
        if let Some(candidate) = self.agents.get_mut(&address) {
            candidate.placed += 1;
        }
        Some(address)
    }

    /// Whether some agent but `except` has a free slot by its last report.
    #[must_use]
    pub fn has_free(&self, except: &[SocketAddrV4], now: Instant) -> bool {
        self.agents.iter().any(|(address, c)| {
            let free = c.load.busy + c.placed < c.slots.0;
            free && c.accepting && Self::is_fresh(c, now) && !except.contains(address)
        })
    }
}

fn cost(candidate: &Candidate, near: &DataCentre) -> f64 {
    let slots = f64::from(candidate.slots.0.max(1));
    let requests = f64::from(candidate.load.busy + candidate.placed);
    let flows = f64::from(candidate.load.flows) * OPEN_FLOW;
    let way = if candidate.data_centre == *near {
        0.0
    } else {
        FAR
    };
    (requests + flows) / slots + way
}

/// Orders equal candidates differently for each flow.
fn mix(hash: u64, address: SocketAddrV4) -> u64 {
    let salt = (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port());
    (hash ^ salt).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
