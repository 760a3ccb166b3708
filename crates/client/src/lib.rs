//! Client of the control group.
//!
//! Balancers and agents run a [`SyncTask`], which keeps a node on the newest
//! version that a majority of the control group has confirmed and renews the
//! node's lease. Operators' tools use [`OperatorClient`], which finds the leader and
//! keeps apart what was certainly not done and what may have been done.
//!
//! All of it goes through [`HttpClient`], one request and one reply, both
//! `MessagePack`.

pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use error::{Category, Error, Result};
pub use process::{HttpClient, HttpTraffic};
pub use request::{GroupChangeOutcome, OperatorClient, Redirect};
pub use version::{NodeAnnouncement, SyncEvent, SyncSettings, SyncTask};
