//! The records of the log and their replay.

mod record;
mod replay;

pub(crate) use record::{LogRecordItem, RecordReader, encode_record};
pub(crate) use replay::Replay;
