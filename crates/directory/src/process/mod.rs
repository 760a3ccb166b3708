//! What lasts as long as a process.

mod node;
mod store;
mod view;

pub use node::{Node, Part};
pub use store::{Directory, LEASE};
pub use view::{Changes, View};
