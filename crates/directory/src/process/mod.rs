//! What lasts as long as a process.

mod coverage;
mod node;
mod store;
mod view;

pub use coverage::Coverage;
pub use node::{Node, NodeRole};
pub use store::{Directory, NODE_LEASE};
pub use view::{View, ViewChanges};
