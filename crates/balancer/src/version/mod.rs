//! What one version of the configuration and the membership says.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use route::RoutingTable;
use types::{ServiceId, ServiceState};
use wire::{CidCodec, Update};

/// Decides on datagrams with one version of services, upstreams and keys.
#[derive(Debug, Default)]
pub struct Classifier {
    pub(crate) table: RoutingTable,
    /// Keys of connection ids; none before the first version with keys.
    pub(crate) keys: Option<CidCodec>,
    services: BTreeMap<ServiceId, ServiceAddresses>,
    /// Data address of each agent and its service; the pairs of `services`.
    agents: BTreeSet<(SocketAddr, ServiceId)>,
}

/// Addresses of a service.
#[derive(Debug)]
struct ServiceAddresses {
    service: SocketAddr,
    agents: BTreeSet<SocketAddr>,
}

impl Classifier {
    /// Goes to the version of `update`.
    pub fn apply(&mut self, update: Update) {
        let mut removed = update.removed;
        if update.snapshot {
            // The entries that stay keep their placement, so that a snapshot
            // with few changes costs no more than an update with them.
            let named: BTreeSet<_> = update.services.iter().map(|s| s.service.id).collect();
            let known = self.services.keys().copied();
            removed.extend(known.filter(|id| !named.contains(id)));
        }
        for id in &removed {
            self.forget(*id);
        }
        for state in &update.services {
            self.forget(state.service.id);
            self.note(state);
        }
        self.table.apply(update.services, removed);
        self.keys = update.keys.as_ref().map(CidCodec::new);
    }

    /// Address of each service.
    pub fn service_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.services.values().map(|addresses| addresses.service)
    }

    /// Whether `address` is the data address of an agent.
    #[must_use]
    pub fn is_agent(&self, address: SocketAddr) -> bool {
        let range = (address, ServiceId(0))..=(address, ServiceId(u32::MAX));
        self.agents.range(range).next().is_some()
    }

    /// Whether `address` is the data address of an agent of `service`.
    #[must_use]
    pub fn is_agent_of(&self, address: SocketAddr, service: ServiceId) -> bool {
        self.agents.contains(&(address, service))
    }

    fn forget(&mut self, id: ServiceId) {
        if let Some(addresses) = self.services.remove(&id) {
            for agent in addresses.agents {
                self.agents.remove(&(agent, id));
            }
        }
    }

    fn note(&mut self, state: &ServiceState) {
        let id = state.service.id;
        let agents: BTreeSet<_> = state
            .members
            .values()
            .map(|member| member.data_address)
            .collect();
        self.agents.extend(agents.iter().map(|&agent| (agent, id)));
        let service = state.service.address;
        self.services
            .insert(id, ServiceAddresses { service, agents });
    }
}
