//! Types that live as long as the process.

mod coverage;
mod directory;
mod node;
mod roster;
mod view;

pub use coverage::{Coverage, GroupView};
pub use directory::{Directory, NODE_LEASE};
pub use node::{Node, NodeRole};
pub use roster::Roster;
pub use view::{View, ViewChanges};
