//! The agent: the process beside each upstream.
//!
//! An agent ends the callers' QUIC connections and HTTP/3, lets
//! [`admit::Admission`] decide about each request, and speaks HTTP/1.1 to its
//! upstream or, for a request that is handed off, to the agent of a peer. It
//! announces the upstream to the control group and drains it.
//!
//! - [`process`]: settings and the tasks that live as long as the agent. The
//!   datagram task owns the data socket, the admission task owns the admission,
//!   the node task applies versions;
//! - [`version`]: what a version tells the tasks;
//! - [`connection`]: the QUIC connection of a caller and its ids;
//! - [`request`]: one request on its way to an upstream and back.

pub mod connection;
pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use error::{Error, Result};
pub use process::{ServiceCertificate, Settings, run};
