//! The control host: a member of the control group.
//!
//! A single task, the group task, owns all state and makes all decisions. It
//! holds the [`consensus::Consensus`] state machine, the [`config::State`]
//! that results from applying the log and, on the leader, the
//! [`member::Registry`]. It exchanges messages with the storage thread, with
//! the send tasks for the other members, and with the HTTP server.
//!
//! - [`process`]: settings and tasks;
//! - [`version`]: computes the reply to a node from the version that it has;
//! - [`request`]: requests that wait for a commit or a confirmed read.

pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use error::{Error, Result};
pub use process::{Settings, run, run_with_disk};
