//! Types that live as long as the process.

mod coverage;
mod directory;
mod node;
mod record_fetch;
mod record_store;
mod roster;
mod view;

pub use coverage::{Coverage, GroupView};
pub use directory::{Directory, NODE_LEASE};
pub use node::{Node, NodeRole};
pub use record_fetch::RecordFetch;
pub use record_store::{RecordShard, RecordStore, RecordStoreSettings};
pub use roster::Roster;
pub use view::{View, ViewChanges};
