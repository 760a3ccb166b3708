//! The QUIC connection of a caller.

mod accept;
mod cid;
mod quic;
mod serve;

pub use accept::{AcceptTask, FirstPacket};
pub use cid::{CidGenerator, CidSource};
pub use quic::{BidiStream, Link, Opener, RecvStream, SendStream, StreamEnd, StreamEnds};
pub use serve::serve;
