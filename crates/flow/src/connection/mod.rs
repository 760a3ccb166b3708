//! Types that live as long as a flow.

mod flow;
mod key;
mod segment;
mod transfer;

pub(crate) use flow::{Flow, Stage};
pub use key::FlowTuple;
pub use segment::Segment;
pub(crate) use transfer::{Transfer, WINDOW_BYTES};
