//! The balancer: forwards datagrams between the fabric and the agents.
//!
//! A balancer never decrypts and holds no state for a flow. One task, the
//! [`Datapath`], owns the sockets and the [`Classifier`], which has the
//! [`route::RoutingTable`] and the keys of connection ids; a [`client::SyncTask`]
//! brings it new versions by message.
//!
//! - [`process`] holds the settings, the tasks and the sockets;
//! - [`version`] holds what a version says, applied as one switch;
//! - [`connection`] reads one datagram and asks the version where it goes.

pub mod connection;
pub mod error;
pub mod process;
pub mod version;

pub use connection::{DropCause, Verdict};
pub use error::{Error, Result};
pub use process::{
    Datapath, DirectIngress, FabricIngress, Ingress, Metrics, Settings, SyncChannels, bind, run,
};
pub use version::Classifier;
