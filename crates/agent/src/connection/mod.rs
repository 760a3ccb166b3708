//! The QUIC connection of a caller.

mod accept;
mod cid;
mod serve;

pub use accept::AcceptTask;
pub use cid::{CidGenerator, CidSource};
pub use serve::serve;
