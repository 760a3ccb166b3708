//! The agent: a reverse proxy that runs next to each upstream.
//!
//! An agent terminates the callers' QUIC connections and HTTP/3, asks
//! [`admit::Admission`] for a decision about each request, and forwards the
//! request over HTTP/1.1 to its upstream or, if it is handed off, to the agent
//! of a peer. It announces the upstream to the control group and drains it.
//!
//! - [`process`]: settings and the tasks that live as long as the agent. The
//!   datagram task owns the data socket, the admission task owns the admission,
//!   the node task applies versions;
//! - [`version`]: the parts of a version that the tasks use;
//! - [`connection`]: QUIC connections of callers and their ids;
//! - [`request`]: forwarding of one request to an upstream.

pub mod connection;
pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use error::{Error, Result};
pub use process::{ServiceCertificate, Settings, run};
