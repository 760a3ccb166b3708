//! The data path for datagrams of a protocol without connection ids.
//!
//! A [`Balancer`] receives callers' datagrams and sends them to agents. An
//! [`Agent`] delivers them to its upstream and sends the upstream's datagrams
//! to the callers. Each is one task that owns its sockets and its flow state
//! (crate `flow`). A [`ControlSync`] task supplies it with the list of nodes and
//! the routing set of the control hosts. A [`Codec`] reads and writes the
//! callers' protocol.
//!
//! ```text
//! caller --> balancer --Message--> agent --> upstream
//!    ^                               |
//!    +------------- agent <----------+
//! ```

pub mod connection;
pub mod error;
pub mod process;

pub use connection::{
    AgentReport, Callers, Codec, Message, Performance, QueriedFlow, QueriedFlows, ServiceTag,
};
pub use error::{Error, Result};
pub use process::{
    Agent, AgentSettings, Balancer, BalancerSettings, BalancerTable, ControlSync,
    ControlSyncSettings, ControlUpdate, EgressQueue, Handover, OutgoingDatagram, Traffic,
    UpstreamChange, UpstreamUpdate,
};
