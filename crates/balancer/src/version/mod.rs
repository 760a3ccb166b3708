//! Classifier of one version of the configuration and the membership.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use route::RoutingTable;
use types::{ServiceId, ServiceState};
use wire::{CidCodec, Update};

/// Classifies datagrams by one version of services, upstreams and keys.
#[derive(Debug, Default)]
pub struct Classifier {
    pub(crate) table: RoutingTable,
    /// Decoder of connection ids; `None` before the first version with keys.
    pub(crate) keys: Option<CidCodec>,
    addresses_by_service: BTreeMap<ServiceId, ServiceAddresses>,
    /// Data address of each agent with its service; derived from
    /// `addresses_by_service`.
    agent_services: BTreeSet<(SocketAddr, ServiceId)>,
}

/// Address of a service and the data addresses of its agents.
#[derive(Debug)]
struct ServiceAddresses {
    service: SocketAddr,
    agents: BTreeSet<SocketAddr>,
}

impl Classifier {
    /// Replaces the version by that of `update`.
    pub fn apply(&mut self, update: Update) {
        let mut removed = update.removed_services;
        if update.is_snapshot {
            // Entries that remain keep their placement, so that a snapshot with
            // few changes costs no more than a delta with the same changes.
            let listed: BTreeSet<_> = update.services.iter().map(|s| s.service.id).collect();
            let known = self.addresses_by_service.keys().copied();
            removed.extend(known.filter(|id| !listed.contains(id)));
        }
        for id in &removed {
            self.remove_service(*id);
        }
        for state in &update.services {
            self.remove_service(state.service.id);
            self.insert_service(state);
        }
        self.table.apply(update.services, removed);
        self.keys = update.keys.as_ref().map(CidCodec::new);
    }

    /// Address of each service.
    pub fn service_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.addresses_by_service
            .values()
            .map(|addresses| addresses.service)
    }

    /// Whether `address` is the data address of an agent.
    #[must_use]
    pub fn is_agent(&self, address: SocketAddr) -> bool {
        let range = (address, ServiceId(0))..=(address, ServiceId(u32::MAX));
        self.agent_services.range(range).next().is_some()
    }

    /// Whether `address` is the data address of an agent of `service`.
    #[must_use]
    pub fn is_agent_of(&self, address: SocketAddr, service: ServiceId) -> bool {
        self.agent_services.contains(&(address, service))
    }

    fn remove_service(&mut self, id: ServiceId) {
        if let Some(addresses) = self.addresses_by_service.remove(&id) {
            for agent in addresses.agents {
                self.agent_services.remove(&(agent, id));
            }
        }
    }

    fn insert_service(&mut self, state: &ServiceState) {
        let id = state.service.id;
        let agents: BTreeSet<_> = state
            .members
            .values()
            .map(|member| member.data_address)
            .collect();
        self.agent_services
            .extend(agents.iter().map(|&agent| (agent, id)));
        let service = state.service.address;
        self.addresses_by_service
            .insert(id, ServiceAddresses { service, agents });
    }
}
