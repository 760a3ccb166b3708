//! What changes with a version of the log: records and their replay.

mod record;
mod replay;

pub(crate) use record::{Item, Reader, encode};
pub(crate) use replay::Replay;
