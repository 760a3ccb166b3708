//! QUIC connections of callers.

mod accept;
mod cid;
mod quic;
mod serve;

pub use accept::{AcceptTask, HandshakeDecision};
pub use cid::{CidConfig, CidGenerator};
pub use quic::{
    BidiStream, H3Connection, RecvStream, SendStream, StreamCompletion, StreamCompletions,
    StreamOpener,
};
pub use serve::serve;
