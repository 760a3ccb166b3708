//! Client of the control group.
//!
//! Balancers and agents run a [`SyncTask`], which keeps a node on the newest
//! version that a majority of the control group has confirmed and renews the
//! node's lease. Operators' tools use [`OperatorClient`], which finds the leader and
//! distinguishes requests that certainly had no effect from those that may have
//! had one.
//!
//! Both send their requests through [`HttpClient`]. Requests and replies are
//! encoded as `MessagePack`.

pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use error::{Category, Error, Result};
pub use process::{HttpClient, HttpTraffic};
pub use request::{GroupChangeOutcome, OperatorClient, Redirect};
pub use version::{NodeAnnouncement, SyncEvent, SyncSettings, SyncTask};
