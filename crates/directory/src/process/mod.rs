//! Types that live as long as the process.

mod coverage;
mod directory;
mod node;
mod view;

pub use coverage::Coverage;
pub use directory::{Directory, NODE_LEASE};
pub use node::{Node, NodeRole};
pub use view::{View, ViewChanges};
