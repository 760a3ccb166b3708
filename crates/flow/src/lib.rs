//! Decisions about flows of a datagram protocol that carries no connection id.
//!
//! Nothing that the system writes into a datagram comes back from a caller, so
//! a balancer cannot read a flow's upstream out of a datagram, and what it
//! remembers is lost with its process. The authority on a flow is therefore
//! the agent beside its upstream, which sees both directions:
//!
//! - [`FlowTable`] is what an agent knows of the flows of its upstream. A datagram
//!   of a flow that it does not hold never reaches the upstream unasked.
//! - [`Steering`] is what a balancer remembers. Its entries are hints: a wrong
//!   one costs a retransmission, never a delivery to another upstream.
//! - [`AgentPool`] chooses the agent of a new flow by data centre and free slots.
//!
//! The crate has no sockets, clock, randomness or encoding: the caller passes
//! the present instant and a [`Segment`] that a codec has read.
//!
//! ```
//! use flow::{FlowTable, FlowTableSettings, Origin, Segment, Upstream, CallerAction};
//! use std::time::Instant;
//! use types::Slots;
//!
//! let now = Instant::now();
//! let mut holder = FlowTable::new(FlowTableSettings::default(), now);
//! holder.set_upstream(Some(UpstreamStatus::ready(7, Slots(2))), now);
//! let opening = Segment {
//!     source: "100.64.0.7:40001".parse().unwrap(),
//!     destination: "198.18.0.1:443".parse().unwrap(),
//!     opens: true,
//!     ..Segment::default()
//! };
//! assert_eq!(holder.caller_datagram(&opening, Origin::Placed, now), CallerAction::Deliver);
//!
//! // A datagram of a flow that was never opened here is not delivered.
//! let other = Segment {
//!     source: "100.64.0.8:40001".parse().unwrap(),
//!     opens: false,
//!     ..opening
//! };
//! assert_eq!(holder.caller_datagram(&other, Origin::Placed, now), CallerAction::NotHeld);
//! ```

pub mod connection;
pub mod process;

pub use connection::{FlowTuple, Segment};
pub use process::{
    AgentPool, AgentStatus, CallerAction, Claim, DropReason, FlowQuery, FlowTable,
    FlowTableSettings, Load, Origin, RateLimiter, ReleasedDatagram, SearchResults, Steering,
    SteeringDecision, SteeringSettings, UpstreamAction, UpstreamStatus,
};
