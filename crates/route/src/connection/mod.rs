//! Types of a flow: its key and the decision about its datagrams.

mod decision;
mod key;

pub use decision::{Arrival, Decision, DropReason, Hop};
pub(crate) use key::hash;
pub use key::{address_flow_key, flow_key};
