//! A process of the deployment.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use types::{DataCentre, MemberId, ServiceName};

/// What a process does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeRole {
    /// A control host with a disk.
    Control {
        /// Its identity in the group.
        member: MemberId,
        /// Whether it knows its group.
        formed: bool,
        /// Whether it hears the leader, so that what it knows of the
        /// configuration is the latest.
        current: bool,
    },
    /// A control host without a disk: it tells nodes of one another, and
    /// operators where the others are.
    Observer,
    /// Takes callers' datagrams.
    Balancer,
    /// Stands beside an upstream of this service.
    Agent(ServiceName),
}

/// A process of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Where other processes reach it; no two processes share one.
    pub address: SocketAddrV4,
    /// Differs for each run of the process; never 0.
    pub incarnation: u64,
    /// Rises with each change of this record within a run.
    pub seq: u64,
    /// Where the host is.
    pub data_centre: DataCentre,
    /// What the process does.
    pub role: NodeRole,
    /// It ends soon and takes nothing new.
    pub leaving: bool,
}

impl Node {
    /// A balancer at an address, for examples and tests.
    ///
    /// # Panics
    ///
    /// Panics if `address` is not an IPv4 address and port.
    #[must_use]
    pub fn example(address: &str) -> Self {
        let data_centre = "dc".parse().expect("a valid name");
        Node {
            address: address.parse().expect("an IPv4 address and port"),
            incarnation: 1,
            seq: 0,
            data_centre,
            role: NodeRole::Balancer,
            leaving: false,
        }
    }

    /// Whether other control hosts are to be told what this one hears.
    #[must_use]
    pub fn gossips(&self) -> bool {
        matches!(self.role, NodeRole::Control { .. } | NodeRole::Observer)
    }

    /// Whether it holds the configuration.
    #[must_use]
    pub fn is_control(&self) -> bool {
        matches!(self.role, NodeRole::Control { .. })
    }

    /// Whether it holds a configuration: a control host on an empty disk holds
    /// none until it has joined its group.
    #[must_use]
    pub fn is_formed(&self) -> bool {
        matches!(self.role, NodeRole::Control { formed: true, .. })
    }

    /// Whether it holds the latest configuration.
    #[must_use]
    pub fn is_current(&self) -> bool {
        matches!(self.role, NodeRole::Control { current: true, .. }) && !self.leaving
    }

    /// The host of the process.
    #[must_use]
    pub fn ip(&self) -> Ipv4Addr {
        *self.address.ip()
    }
}
