//! Routing table of services and upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use types::{FlowKey, FlowPhase, ServiceId, ServiceState, Share, UpstreamId, UpstreamMember};

use crate::{
    connection::{Arrival, Decision, DropReason, Hop},
    version::bucket_owners::{BucketOwners, ShareList},
};

/// Routes the datagrams of each service to its upstreams.
///
/// Tables are equal if the last state of each service is equal, whatever
/// updates came before.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RoutingTable {
    /// Boxed, because a lookup reads the keys of many tree nodes: small nodes
    /// stay in the CPU cache.
    services: BTreeMap<ServiceId, Box<ServiceEntry>>,
    /// Service of each address. A set of pairs, so that the result does not
    /// depend on the order in which an address moves between services.
    addresses: BTreeSet<(SocketAddr, ServiceId)>,
    /// Service of each upstream, read only to determine the reason of a drop.
    upstreams: BTreeSet<(UpstreamId, ServiceId)>,
}

/// A service in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ServiceEntry {
    address: SocketAddr,
    /// First the upstreams in `current_owners`, in its order, then the others
    /// in ascending order of their ids. An index into the shares of
    /// `current_owners` is also an index into this list, which saves a lookup
    /// in memory that is rarely in the CPU cache.
    members: Box<[Hop]>,
    /// Owners by the current shares.
    current_owners: BucketOwners,
    /// Owners by the former shares; `None` if the shares are the same.
    former_owners: Option<BucketOwners>,
}

impl RoutingTable {
    /// Replaces the states of the `changed` services and removes the `removed`
    /// ones.
    ///
    /// Owners are computed again only for services whose shares have changed.
    pub fn apply(
        &mut self,
        changed: impl IntoIterator<Item = ServiceState>,
        removed: impl IntoIterator<Item = ServiceId>,
    ) {
        for id in removed {
            self.remove(id);
        }
        for state in changed {
            let id = state.service.id;
            let old = self.remove(id);
            self.insert(id, ServiceEntry::new(&state, old));
        }
    }

    fn remove(&mut self, id: ServiceId) -> Option<Box<ServiceEntry>> {
        let entry = self.services.remove(&id)?;
        self.addresses.remove(&(entry.address, id));
        for hop in &entry.members {
            self.upstreams.remove(&(hop.upstream, id));
        }
        Some(entry)
    }

    fn insert(&mut self, id: ServiceId, entry: ServiceEntry) {
        self.addresses.insert((entry.address, id));
        self.upstreams
            .extend(entry.members.iter().map(|hop| (hop.upstream, id)));
        self.services.insert(id, Box::new(entry));
    }

    /// Service that callers reach at `address`.
    ///
    /// While a version moves an address between two services, the newer service
    /// (with the higher id) has it.
    #[must_use]
    pub fn service_by_address(&self, address: SocketAddr) -> Option<ServiceId> {
        let range = (address, ServiceId(0))..=(address, ServiceId(u32::MAX));
        self.addresses.range(range).next_back().map(|(_, id)| *id)
    }

    /// Decides where a balancer forwards a datagram of `service`.
    ///
    /// `upstream` is the one in the connection id, if any. It keeps its flows
    /// whatever its state and share. Without it, the datagram goes to the
    /// current owner of the bucket of `flow`, in either phase: an agent that
    /// does not hold the flow then calls [`RoutingTable::pass_on`].
    #[must_use]
    pub fn decide(
        &self,
        service: ServiceId,
        flow: FlowKey,
        _phase: FlowPhase,
        upstream: Option<UpstreamId>,
    ) -> Decision {
        let Some(entry) = self.services.get(&service) else {
            return Decision::Drop(DropReason::UnknownService);
        };
        let hop = match upstream {
            Some(id) => entry.hop(id).ok_or_else(|| self.drop_reason(id)),
            None => entry
                .current_owner_hop(service, flow)
                .ok_or(DropReason::NoUpstream),
        };
        hop.map_or_else(Decision::Drop, Decision::Forward)
    }

    /// Decides where the agent of `own` passes on a datagram of a flow that it
    /// does not hold.
    ///
    /// - A datagram that was already passed on once is dropped, so that two
    ///   agents with different versions cannot send it back and forth.
    /// - A datagram that may open a flow goes to the current owner if `own` has
    ///   no share.
    /// - A datagram that continues a flow goes to the former owner if `own` is
    ///   the current owner, and to the current owner otherwise: either the
    ///   balancer has an older version and the current owner opened the flow,
    ///   or this table has the older version and its current owner is the
    ///   former owner in the newer one.
    #[must_use]
    pub fn pass_on(
        &self,
        service: ServiceId,
        flow: FlowKey,
        own: UpstreamId,
        phase: FlowPhase,
        arrival: Arrival,
    ) -> Decision {
        let Some(entry) = self.services.get(&service) else {
            return Decision::Drop(DropReason::UnknownService);
        };
        if arrival == Arrival::PassedOn {
            return Decision::Drop(DropReason::PassedOnTwice);
        }
        let current = entry.current_owner_hop(service, flow);
        let is_owner = current.is_some_and(|hop| hop.upstream == own);
        let hop = match phase {
            FlowPhase::New if entry.current_owners.has_share(own) => None,
            FlowPhase::Established if is_owner => entry.former_owner_hop(service, flow),
            _ if current.is_none() => return Decision::Drop(DropReason::NoUpstream),
            _ => current,
        };
        hop.filter(|hop| hop.upstream != own)
            .map_or(Decision::Drop(DropReason::NotHeld), Decision::PassOn)
    }

    /// Why a datagram for `upstream`, which is not in the requested service, is
    /// dropped.
    fn drop_reason(&self, upstream: UpstreamId) -> DropReason {
        let range = (upstream, ServiceId(0))..=(upstream, ServiceId(u32::MAX));
        if self.upstreams.range(range).next().is_some() {
            DropReason::OtherService
        } else {
            DropReason::UnknownUpstream
        }
    }
}

impl ServiceEntry {
    /// Creates the entry of `state`. Owners in `old` are reused where the share
    /// lists are equal.
    fn new(state: &ServiceState, old: Option<Box<ServiceEntry>>) -> Self {
        let share_list = |share: fn(&UpstreamMember) -> Share| -> ShareList {
            let shares = state.members.iter().map(|(id, m)| (*id, share(m)));
            shares.filter(|(_, share)| share.0 > 0).collect()
        };
        let (current, former) = (share_list(|m| m.share), share_list(|m| m.previous_share));
        let old: Vec<BucketOwners> = old
            .into_iter()
            .flat_map(|old| [Some(old.current_owners), old.former_owners])
            .flatten()
            .collect();
        let owners_for = |shares: ShareList| {
            let unchanged = old.iter().find(|owners| owners.shares() == &*shares);
            unchanged
                .cloned()
                .unwrap_or_else(|| BucketOwners::from_list(shares))
        };
        let (with_share, without_share): (Vec<Hop>, Vec<Hop>) = state
            .members
            .iter()
            .map(|(id, member)| Hop {
                upstream: *id,
                address: member.data_address,
            })
            .partition(|hop| state.members[&hop.upstream].share.0 > 0);
        ServiceEntry {
            address: state.service.address,
            members: with_share.into_iter().chain(without_share).collect(),
            former_owners: (current != former).then(|| owners_for(former)),
            current_owners: owners_for(current),
        }
    }

    fn hop(&self, id: UpstreamId) -> Option<Hop> {
        let (with_share, without_share) = self.members.split_at(self.current_owners.shares().len());
        [with_share, without_share].into_iter().find_map(|part| {
            let at = part.binary_search_by_key(&id, |hop| hop.upstream);
            at.ok().map(|at| part[at])
        })
    }

    fn current_owner_hop(&self, service: ServiceId, flow: FlowKey) -> Option<Hop> {
        Some(self.members[self.current_owners.position(service, flow)?])
    }

    fn former_owner_hop(&self, service: ServiceId, flow: FlowKey) -> Option<Hop> {
        let former = self.former_owners.as_ref().unwrap_or(&self.current_owners);
        self.hop(former.owner(service, flow)?)
    }
}
