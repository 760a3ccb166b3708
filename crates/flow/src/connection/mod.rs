//! What lasts for a flow.

mod key;
mod segment;

pub use key::Key;
pub use segment::Segment;
