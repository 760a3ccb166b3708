//! A control host for resource-constrained nodes.
//!
//! It is a member of the replicated log of crate `consensus`, whose state machine
//! is the configuration of crate `config`. It replaces lost members of the group
//! without an operator, and it serves node discovery (crate `directory`).
//!
//! | Task | Owns |
//! |---|---|
//! | group | the consensus, the configuration, the channel to the disk thread |
//! | nodes | the socket for node discovery, the directory |
//! | formation | the state by which the seeds agree on the first group |
//! | transport | the sockets for messages between members |
//!
//! The tasks communicate by messages. A front end for operators uses a
//! [`ReplicaHandle`], which works on any member and forwards requests to the
//! leader.
//!
//! Unlike in crate `control`, node discovery needs neither a leader nor a disk:
//! each member serves its directory and its last accepted configuration, also
//! while the group cannot elect a leader.

pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use error::{Error, Result};
pub use process::{ReplicaHandle, Settings, start, start_observer, start_on};
pub use request::{ChangeOutcome, ReadOutcome};
pub use version::{
    AcceptorState, ControlHostContact, FirstGroupPolicy, Formation, FormationOutput,
    FormationSchedule, HeardHosts, MembershipPolicy, MembershipSettings, Placement, RouteHistory,
    first_member_id, services_without_upstreams,
};
