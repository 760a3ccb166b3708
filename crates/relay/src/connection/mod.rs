//! State with the lifetime of a flow: the callers' protocol, and messages about
//! flows.

mod claims;
mod codec;
mod message;

pub use claims::{Callers, QueriedFlow, QueriedFlows};
pub use codec::Codec;
pub use message::{AgentReport, Message, Performance, ServiceTag};
