//! A control host for nodes that must stay small.
//!
//! It is a member of the replicated log of crate `consensus`, whose state is
//! the configuration of crate `config`; it keeps the group complete without an
//! operator; and it is the meeting place of the nodes (crate `directory`).
//!
//! | Task | Owns |
//! |---|---|
//! | group | the consensus, the configuration, the way to the disk |
//! | nodes | the socket of the nodes, the directory |
//! | transport | the sockets between members |
//!
//! The tasks talk by messages. A front end for operators uses a [`Replica`]:
//! it answers on any member, by way of the leader.
//!
//! Compared with crate `control`, the membership needs no leader and no disk:
//! each member serves its directory and the last configuration that it knows to
//! be accepted, also while the group cannot elect a leader.

pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use error::{Error, Result};
pub use process::{ReplicaHandle, Settings, start, start_observer};
pub use request::{ChangeOutcome, ReadOutcome};
pub use version::{ControlHostContact, MembershipPolicy, MembershipSettings, RouteHistory};
