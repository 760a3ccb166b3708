//! Messages that live for one request or one operator change.

mod operator;
mod reserve;

pub use operator::{ChangeReply, Hello, HelloReply};
pub use reserve::{ClaimHeader, ReserveReply, ReserveRequest};
