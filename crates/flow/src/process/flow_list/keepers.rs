//! Which nodes keep the list of flows of an agent that stops.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddrV4};

use twox_hash::XxHash64;
use types::DataCentre;

/// Agents and balancers that get the list of a stopping agent, of each role. Both
/// roles, because one of them may be restarted everywhere at once; two of each, because
/// one keeper may stop before the list is fetched.
const KEEPERS_PER_ROLE: usize = 2;

/// Agents and balancers that a started agent asks for its list, of each role. More than
/// keep it: nodes that have left or joined since shift the order.
const ASKED_PER_ROLE: usize = 8;

/// Role of a keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum KeeperRole {
    /// An agent, of any service.
    Agent,
    /// A balancer.
    Balancer,
}

/// A node that may keep lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeeperNode {
    /// Its role.
    pub role: KeeperRole,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// It is about to stop, so it gets lists only if no others are left.
    pub leaving: bool,
}

/// The nodes that may keep lists.
#[derive(Debug, Default)]
pub struct KeeperCandidates {
    nodes: BTreeMap<SocketAddrV4, KeeperNode>,
}

impl KeeperCandidates {
    /// Adds a node or replaces its state.
    pub fn insert(&mut self, address: SocketAddrV4, node: KeeperNode) {
        self.nodes.insert(address, node);
    }

    /// Removes a node.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.nodes.remove(&address);
    }

    /// Whether no node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The keepers of the list of `agent`, with their roles.
    #[must_use]
    pub fn keepers(
        &self,
        agent: SocketAddrV4,
        data_centre: &DataCentre,
    ) -> Vec<(SocketAddrV4, KeeperRole)> {
        self.first(agent, data_centre, KEEPERS_PER_ROLE, |node| node.leaving)
    }

    /// The nodes that a started agent asks for its list, with their roles.
    #[must_use]
    pub fn asked(
        &self,
        agent: SocketAddrV4,
        data_centre: &DataCentre,
    ) -> Vec<(SocketAddrV4, KeeperRole)> {
        self.first(agent, data_centre, ASKED_PER_ROLE, |_| false)
    }

    /// The first nodes of each role on other hosts, those for which `is_last_resort`
    /// holds after the others, those in the agent's data centre first, then by a
    /// rendezvous hash that spreads the lists.
    fn first(
        &self,
        agent: SocketAddrV4,
        data_centre: &DataCentre,
        count: usize,
        is_last_resort: impl Fn(&KeeperNode) -> bool,
    ) -> Vec<(SocketAddrV4, KeeperRole)> {
        let first_of = |role: KeeperRole| {
            let nodes = self
                .nodes
                .iter()
                .filter(|(address, node)| node.role == role && address.ip() != agent.ip());
            let mut nodes: Vec<_> = nodes
                .map(|(address, node)| {
                    let is_remote = node.data_centre != *data_centre;
                    let order = Reverse(rendezvous(agent, *address));
                    (is_last_resort(node), is_remote, order, *address)
                })
                .collect();
            nodes.sort_unstable();
            let nodes = nodes.into_iter().take(count);
            nodes.map(move |(.., address)| (address, role))
        };
        let agents = first_of(KeeperRole::Agent);
        agents.chain(first_of(KeeperRole::Balancer)).collect()
    }
}

fn rendezvous(agent: SocketAddrV4, node: SocketAddrV4) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&agent.ip().octets());
    bytes[4..6].copy_from_slice(&agent.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&node.ip().octets());
    bytes[10..].copy_from_slice(&node.port().to_be_bytes());
    XxHash64::oneshot(0, &bytes)
}
