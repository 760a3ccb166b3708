//! The sync exchange between a node and the control group.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use types::{
    BalancerAnnouncement, ClassLoads, DataCentre, HostName, KeySet, Role, ServiceId, ServiceName,
    ServiceState, UpstreamAnnouncement, UpstreamId, Version,
};

/// Services that a node wants to know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceSubset {
    /// Every service.
    All,
    /// The named services.
    Named(BTreeSet<ServiceName>),
}

impl ServiceSubset {
    /// Whether the subset contains a service.
    #[must_use]
    pub fn contains(&self, name: &ServiceName) -> bool {
        match self {
            ServiceSubset::All => true,
            ServiceSubset::Named(names) => names.contains(name),
        }
    }
}

/// Asks for everything newer than what a node has, and renews its lease.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Name of the node's host.
    pub host: HostName,
    /// Role of the node.
    pub role: Role,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Version that the node has in force; none after a start.
    pub applied_version: Option<Version>,
    /// Services that the node wants to know.
    pub subset: ServiceSubset,
    /// Longest time to hold the request when there is nothing new.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_wait: Duration,
    /// The upstream of an agent.
    pub upstream: Option<UpstreamAnnouncement>,
    /// The sockets of a balancer.
    pub balancer: Option<BalancerAnnouncement>,
}

/// Reply to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The node is up to date, as a majority has confirmed.
    Current {
        /// Present loads of the upstreams in the subset.
        loads: BTreeMap<UpstreamId, ClassLoads>,
        /// Whether the leader has published a membership. Before that, other
        /// nodes may have another membership in force.
        membership_published: bool,
    },
    /// Something newer, as a majority has confirmed.
    Update(Box<Update>),
    /// The host is not the leader.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
    },
    /// The host is the leader but could not confirm it with a majority.
    Unconfirmed,
}

/// One step of a node to a newer version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The version that is in force once the update is applied.
    pub version: Version,
    /// Whether `services` is everything, so that others are to be forgotten.
    pub is_snapshot: bool,
    /// Keys of connection ids; none before the first key is configured.
    pub keys: Option<KeySet>,
    /// New and changed services.
    pub services: Vec<ServiceState>,
    /// Services that were deleted.
    pub removed_services: Vec<ServiceId>,
    /// Every balancer with a lease.
    pub balancers: BTreeMap<HostName, BalancerAnnouncement>,
    /// Hosts whose upstream an operator drains.
    pub draining_hosts: BTreeSet<HostName>,
    /// Present loads of the upstreams in the subset.
    pub loads: BTreeMap<UpstreamId, ClassLoads>,
}
