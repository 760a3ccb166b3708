//! The table of services and upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use types::{FlowKey, FlowPhase, Member, ServiceId, ServiceState, Share, UpstreamId};

use crate::{
    connection::{Arrival, Decision, DropReason, Hop},
    version::bucket_owners::{BucketOwners, ShareList},
};

/// Where the datagrams of each service go.
///
/// Equal after any history of updates that ends in the same states.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RoutingTable {
    /// Boxed, because a search reads the keys of many nodes: small nodes stay
    /// in the cache.
    services: BTreeMap<ServiceId, Box<Entry>>,
    /// Service of each address. A set of pairs, so that the result does not
    /// depend on the order in which an address goes from one service to
    /// another.
    addresses: BTreeSet<(SocketAddr, ServiceId)>,
    /// Service of each upstream, read only to name the reason of a drop.
    upstreams: BTreeSet<(UpstreamId, ServiceId)>,
}

/// A service in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    address: SocketAddr,
    /// The upstreams of `present`, in its order, then the others in ascending
    /// order of their ids. A position in the one is a position in the other,
    /// which saves a search and a read of memory that is seldom in the cache.
    members: Box<[Hop]>,
    /// BucketOwners by the present shares.
    present: BucketOwners,
    /// BucketOwners by the former shares; `None` when they are the present ones.
    former: Option<BucketOwners>,
}

impl RoutingTable {
    /// Replaces the states of the `changed` services and forgets the `removed`
    /// ones.
    ///
    /// Placement is computed again only for services whose shares changed.
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
            self.insert(id, Entry::new(&state, old));
        }
    }

    fn remove(&mut self, id: ServiceId) -> Option<Box<Entry>> {
        let entry = self.services.remove(&id)?;
        self.addresses.remove(&(entry.address, id));
        for hop in &entry.members {
            self.upstreams.remove(&(hop.upstream, id));
        }
        Some(entry)
    }

    fn insert(&mut self, id: ServiceId, entry: Entry) {
        self.addresses.insert((entry.address, id));
        self.upstreams
            .extend(entry.members.iter().map(|hop| (hop.upstream, id)));
        self.services.insert(id, Box::new(entry));
    }

    /// Service that callers reach at `address`.
    ///
    /// While a version moves an address from one service to another, the newer
    /// service (the one with the higher id) has it.
    #[must_use]
    pub fn service_by_address(&self, address: SocketAddr) -> Option<ServiceId> {
        let range = (address, ServiceId(0))..=(address, ServiceId(u32::MAX));
        self.addresses.range(range).next_back().map(|(_, id)| *id)
    }

    /// Where a balancer forwards a datagram of `service`.
    ///
    /// `upstream` is the one that the connection id names, if any. It keeps its
    /// flows whatever its state and share. Without it the datagram goes to the
    /// present owner of the bucket of `flow`, in either phase: an agent that
    /// does not hold the flow then asks [`RoutingTable::pass_on`].
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
            Some(id) => entry.hop(id).ok_or_else(|| self.reason(id)),
            None => entry
                .present_hop(service, flow)
                .ok_or(DropReason::NoUpstream),
        };
        hop.map_or_else(Decision::Drop, Decision::Forward)
    }

    /// Where the agent of `own` passes a datagram of a flow that it does not
    /// hold.
    ///
    /// - A datagram that was passed on once is dropped, so that two agents with
    ///   different versions cannot send it back and forth.
    /// - One that may open a flow goes to the present owner if `own` has no
    ///   share.
    /// - One that continues a flow goes to the former owner if `own` is the
    ///   present one. Else it goes to the present owner: either the balancer
    ///   has an older version, and the present owner opened the flow, or this
    ///   table has the older one, and its present owner is the former owner in
    ///   the newer.
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
        let present = entry.present_hop(service, flow);
        let owns = present.is_some_and(|hop| hop.upstream == own);
        let hop = match phase {
            FlowPhase::Opens if entry.present.has(own) => None,
            FlowPhase::Continues if owns => entry.former_hop(service, flow),
            _ if present.is_none() => return Decision::Drop(DropReason::NoUpstream),
            _ => present,
        };
        hop.filter(|hop| hop.upstream != own)
            .map_or(Decision::Drop(DropReason::NotHeld), Decision::PassOn)
    }

    /// Why `upstream`, which is not of the service asked for, gets nothing.
    fn reason(&self, upstream: UpstreamId) -> DropReason {
        let range = (upstream, ServiceId(0))..=(upstream, ServiceId(u32::MAX));
        if self.upstreams.range(range).next().is_some() {
            DropReason::OtherService
        } else {
            DropReason::UnknownUpstream
        }
    }
}

impl Entry {
    /// Builds the entry of `state`, with the owners of `old` where the share
    /// lists are the same.
    fn new(state: &ServiceState, old: Option<Box<Entry>>) -> Self {
        let list = |share: fn(&Member) -> Share| -> ShareList {
            let shares = state.members.iter().map(|(id, m)| (*id, share(m)));
            shares.filter(|(_, share)| share.0 > 0).collect()
        };
        let (present, former) = (list(|m| m.share), list(|m| m.former_share));
        let old: Vec<BucketOwners> = old
            .into_iter()
            .flat_map(|old| [Some(old.present), old.former])
            .flatten()
            .collect();
        let place = |shares: ShareList| {
            let same = old.iter().find(|owners| owners.shares() == &*shares);
            same.cloned()
                .unwrap_or_else(|| BucketOwners::from_list(shares))
        };
        let (first, rest): (Vec<Hop>, Vec<Hop>) = state
            .members
            .iter()
            .map(|(id, member)| Hop {
                upstream: *id,
                address: member.data,
            })
            .partition(|hop| state.members[&hop.upstream].share.0 > 0);
        Entry {
            address: state.service.address,
            members: first.into_iter().chain(rest).collect(),
            former: (present != former).then(|| place(former)),
            present: place(present),
        }
    }

    fn hop(&self, id: UpstreamId) -> Option<Hop> {
        let (first, rest) = self.members.split_at(self.present.shares().len());
        [first, rest].into_iter().find_map(|part| {
            let at = part.binary_search_by_key(&id, |hop| hop.upstream);
            at.ok().map(|at| part[at])
        })
    }

    fn present_hop(&self, service: ServiceId, flow: FlowKey) -> Option<Hop> {
        Some(self.members[self.present.position(service, flow)?])
    }

    fn former_hop(&self, service: ServiceId, flow: FlowKey) -> Option<Hop> {
        let former = self.former.as_ref().unwrap_or(&self.present);
        self.hop(former.owner(service, flow)?)
    }
}
