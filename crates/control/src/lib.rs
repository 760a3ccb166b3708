//! The control host: a member of the control group.
//!
//! One task, the group task, owns the decisions: [`consensus::Consensus`], the
//! [`config::ConfigState`] that the log drives and, at the leader, the
//! [`member::Registry`]. It talks by message with the disk, with one task for
//! each other member, and with the HTTP server.
//!
//! - [`process`]: settings and tasks;
//! - [`version`]: what a node is sent for the version it has;
//! - [`request`]: requests that wait for the group.

pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use error::{Error, Result};
pub use process::{Settings, run, run_with_disk};
