//! The data path for datagrams of a protocol without connection ids.
//!
//! A [`Balancer`] takes callers' datagrams and hands them to agents; an
//! [`Agent`] gives them to its upstream and sends the upstream's own to the
//! callers. Each is one task that owns its sockets and its decisions (crate
//! `flow`); a [`ControlSync`] task keeps it up to date by way of the control hosts.
//! The protocol that the callers speak is a [`Codec`].
//!
//! ```text
//! caller --> balancer --Message--> agent --> upstream
//!    ^                               |
//!    +------------- agent <----------+
//! ```

pub mod connection;
pub mod error;
pub mod process;

pub use connection::{AgentReport, Codec, Message, ServiceTag};
pub use error::{Error, Result};
pub use process::{
    Agent, AgentSettings, Balancer, BalancerSettings, BalancerTable, ControlSync,
    ControlSyncSettings, ControlUpdate, Egress, Handover, Outgoing, UpstreamUpdate,
};
