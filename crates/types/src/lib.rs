//! Value types that the processes of limpetplank share.
//!
//! The modules follow the life span of what they describe: [`process`] for
//! names and ids that are fixed for the life of a process, [`version`] for the
//! configuration and the membership, [`connection`] for a flow and [`request`]
//! for a single request or operator change.
//!
//! Every id, size and rate is a newtype with [`Display`](std::fmt::Display)
//! and [`FromStr`](std::str::FromStr):
//!
//! ```
//! use types::{Revision, ServiceName, UpstreamId};
//!
//! let name: ServiceName = "vouchers".parse()?;
//! assert_eq!(name.to_string(), "vouchers");
//! assert_eq!("17".parse::<Revision>()?, Revision(17));
//! assert_eq!(UpstreamId(255).to_string(), "00000000000000ff");
//! # Ok::<(), types::Error>(())
//! ```

#[macro_use]
mod macros;

pub mod connection;
pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use connection::{FlowKey, FlowPhase, UpstreamId};
pub use error::{Category, Error, Result};
pub use process::{ClassName, DataCentre, HostName, MemberId, OperatorName, Role, ServiceName};
pub use request::{
    Answer, BytesPerSecond, Change, ChangeId, ChangeRequest, Conflict, Connections, GroupRefusal,
    GroupRequest, Refusal, RequestId, RequestRate, ReservationId, RetryAfter, Slots, UnixMillis,
};
pub use version::{
    BalancerAnnouncement, CidKey, ClassLoad, ClassLoads, HedgeBudget, KeyGeneration, KeySet,
    PathPrefix, PlacementPolicy, Priority, RequestTargets, Revision, RouteWeight, RoutingDelta,
    RoutingRule, RoutingSet, RoutingSetNumber, Service, ServiceId, ServiceLimits, ServiceState,
    ServiceWeights, Share, Target, Term, UpstreamAnnouncement, UpstreamMember, UpstreamState,
    Version,
};
