//! Client of the control group.
//!
//! Balancers and agents run a [`SyncTask`], which keeps a node on the newest
//! version that a majority of the control group has confirmed and renews the
//! node's lease. Operators' tools use [`Operator`], which finds the leader and
//! keeps apart what was certainly not done and what may have been done.
//!
//! All of it goes through [`Http`], one request and one reply, both
//! `MessagePack`.

pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use error::{Category, Error, Result};
pub use process::{Http, Traffic};
pub use request::{GroupOutcome, Operator, Redirect};
pub use version::{NodeReport, Step, SyncSettings, SyncTask};
