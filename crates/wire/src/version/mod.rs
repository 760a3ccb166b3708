//! Messages that bring a version of the configuration to a node.

mod sync;

pub use sync::{Subset, SyncReply, SyncRequest, Update};
