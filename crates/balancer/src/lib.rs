//! The balancer: forwards datagrams between the fabric and the agents.
//!
//! A balancer never decrypts and holds no state for a flow. One task, the
//! data path, owns the sockets, the [`route::Table`] and the keys of connection
//! ids; a [`client::SyncTask`] brings it new versions by message.
//!
//! - [`process`] holds the settings, the tasks and the sockets;
//! - [`connection`] reads one datagram and asks the table where it goes.

pub mod connection;
pub mod error;
pub mod process;

pub use connection::{Classifier, DropCause, Verdict};
pub use error::{Error, Result};
pub use process::{Ingress, Settings, run};
