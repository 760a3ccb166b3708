//! Messages by which a node synchronizes with the control group.

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

/// Services to which a node subscribes.
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

/// Requests everything newer than the version of a node, and renews its lease.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Name of the node's host.
    pub host: HostName,
    /// Role of the node.
    pub role: Role,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Version in force at the node; `None` after a start.
    pub applied_version: Option<Version>,
    /// Services to which the node subscribes.
    pub subset: ServiceSubset,
    /// Longest time that the reply may be delayed while there is nothing new.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_wait: Duration,
    /// Announcement of an agent's upstream.
    pub upstream: Option<UpstreamAnnouncement>,
    /// Announcement of a balancer.
    pub balancer: Option<BalancerAnnouncement>,
}

/// Reply to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The node is up to date, confirmed by a majority.
    Current {
        /// Current loads of the upstreams in the subset.
        loads: BTreeMap<UpstreamId, ClassLoads>,
        /// Whether the leader has published a membership. Before that, other
        /// nodes may have another membership in force.
        membership_published: bool,
    },
    /// A newer version, confirmed by a majority.
    Update(Box<Update>),
    /// The host is not the leader.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The host is the leader but could not confirm it with a majority.
    Unconfirmed,
}

/// Update of a node to a newer version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The version that is in force once the update is applied.
    pub version: Version,
    /// Whether `services` is complete, so that the node drops all others.
    pub is_snapshot: bool,
    /// Keys of connection ids; `None` before the first key is configured.
    pub keys: Option<KeySet>,
    /// New and changed services.
    pub services: Vec<ServiceState>,
    /// Services that were deleted.
    pub removed_services: Vec<ServiceId>,
    /// Every balancer with a lease.
    pub balancers: BTreeMap<HostName, BalancerAnnouncement>,
    /// Hosts whose upstream is drained by an operator.
    pub draining_hosts: BTreeSet<HostName>,
    /// Current loads of the upstreams in the subset.
    pub loads: BTreeMap<UpstreamId, ClassLoads>,
}
