//! The agents that a control host has listed.

use std::{collections::BTreeSet, net::SocketAddrV4};

use serde::{Deserialize, Serialize};

/// The addresses of the agents that a control host has listed to nodes and that are
/// not known to be gone. Flows may be held by these only, so a control host that has
/// restarted knows from its roster whom it has yet to hear.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Roster {
    agents: BTreeSet<SocketAddrV4>,
}

impl Roster {
    /// Adds an agent. Returns whether it was missing.
    pub fn insert(&mut self, agent: SocketAddrV4) -> bool {
        self.agents.insert(agent)
    }

    /// Removes an agent that is gone. Returns whether it was listed.
    pub fn remove(&mut self, agent: SocketAddrV4) -> bool {
        self.agents.remove(&agent)
    }

    /// The agents, in the order of their addresses.
    pub fn agents(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.agents.iter().copied()
    }
}

impl FromIterator<SocketAddrV4> for Roster {
    fn from_iter<I: IntoIterator<Item = SocketAddrV4>>(agents: I) -> Self {
        Roster {
            agents: agents.into_iter().collect(),
        }
    }
}
