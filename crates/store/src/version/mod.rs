//! The records of the log and their replay.

mod record;
mod replay;

pub(crate) use record::{RecordItem, RecordReader, SnapshotCoverage, encode_record};
pub(crate) use replay::Replay;
