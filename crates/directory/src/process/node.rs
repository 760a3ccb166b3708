//! A process of the deployment, as the directory lists it.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use types::{DataCentre, MemberId, ServiceName};

/// Role of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeRole {
    /// A control host with a disk: a member of the control group once it has joined.
    Control {
        /// Id of the member in the group.
        member: MemberId,
        /// Whether the member has joined its group.
        formed: bool,
        /// Whether it hears the leader, so that its configuration is the
        /// latest.
        current: bool,
    },
    /// A control host without a disk: it serves the directory to nodes, and the
    /// addresses of the other control hosts to operators.
    Observer,
    /// Forwards callers' datagrams to agents.
    Balancer,
    /// Runs beside an upstream of this service.
    Agent(ServiceName),
}

/// A process of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Address for other processes; unique among all processes.
    pub address: SocketAddrV4,
    /// Differs for each run of the process; never 0.
    pub incarnation: u64,
    /// Increases with each change of this record within an incarnation.
    pub seq: u64,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Role of the process.
    pub role: NodeRole,
    /// The process stops soon and accepts no new work.
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

    /// Whether control hosts relay the hellos that they receive to this node.
    #[must_use]
    pub fn gossips(&self) -> bool {
        matches!(self.role, NodeRole::Control { .. } | NodeRole::Observer)
    }

    /// Whether it is a control host with a disk.
    #[must_use]
    pub fn is_control(&self) -> bool {
        matches!(self.role, NodeRole::Control { .. })
    }

    /// Whether it holds a configuration: a control host with an empty disk has
    /// none until it has joined its group.
    #[must_use]
    pub fn is_formed(&self) -> bool {
        matches!(self.role, NodeRole::Control { formed: true, .. })
    }

    /// Whether it holds the latest configuration and is not leaving.
    #[must_use]
    pub fn is_current(&self) -> bool {
        matches!(self.role, NodeRole::Control { current: true, .. }) && !self.leaving
    }

    /// IP address of the host.
    #[must_use]
    pub fn ip(&self) -> Ipv4Addr {
        *self.address.ip()
    }
}
