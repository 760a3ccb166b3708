//! What lasts as long as a process.

mod coverage;
mod node;
mod store;
mod view;

pub use coverage::Coverage;
pub use node::{Node, Part};
pub use store::{Directory, LEASE};
pub use view::{Changes, View};
