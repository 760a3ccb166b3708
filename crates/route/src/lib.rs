//! Decides where each datagram goes.
//!
//! A [`RoutingTable`] is built from the states of the services. It needs no
//! sockets, clock or randomness: a balancer calls [`RoutingTable::decide`], and
//! an agent that does not hold a flow calls [`RoutingTable::pass_on`]. Two tables
//! built from the same states are equal, in every process and on every platform.
//!
//! - [`version`] holds what changes with a version: the table and the owners of
//!   the buckets.
//! - [`connection`] holds what belongs to a flow: its key and the decision.
//!
//! ```
//! use route::{Decision, DropReason, RoutingTable, flow_key};
//! use types::{FlowPhase, ServiceId};
//!
//! let table = RoutingTable::default();
//! let flow = flow_key(ServiceId(1), b"destination id");
//! assert_eq!(
//!     table.decide(ServiceId(1), flow, FlowPhase::New, None),
//!     Decision::Drop(DropReason::UnknownService),
//! );
//! ```

pub mod connection;
pub mod version;

pub use connection::{Arrival, Decision, DropReason, Hop, address_flow_key, flow_key};
pub use version::{BucketOwners, RoutingTable};
