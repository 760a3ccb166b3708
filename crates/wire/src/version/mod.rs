//! Messages that bring a version of the configuration to a node.

mod sync;

pub use sync::{ServiceSubset, SyncReply, SyncRequest, Update};
