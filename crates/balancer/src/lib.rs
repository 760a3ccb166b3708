//! The balancer, which forwards datagrams between the fabric and the agents.
//!
//! A balancer does not decrypt packets and holds no per-flow state. One task,
//! the [`Datapath`], owns the sockets and the [`Classifier`], which holds the
//! [`route::RoutingTable`] and the keys of connection ids; a [`client::SyncTask`]
//! sends it new versions over a channel.
//!
//! - [`process`]: settings, tasks and sockets;
//! - [`version`]: the classifier of one configuration version, which is
//!   replaced as a whole;
//! - [`connection`]: classification of a single datagram.

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
