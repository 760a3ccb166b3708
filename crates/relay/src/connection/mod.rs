//! State with the lifetime of a flow: the callers' protocol, and messages about
//! flows.

mod codec;
mod message;

pub use codec::Codec;
pub use message::{AgentReport, Message, Performance, ServiceTag};
