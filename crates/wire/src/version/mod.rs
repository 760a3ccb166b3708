//! Messages that distribute versions of the configuration to nodes.

mod sync;

pub use sync::{ServiceSubset, SyncReply, SyncRequest, Update};
