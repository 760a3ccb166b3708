//! Types that live as long as a flow.

mod flow;
mod key;
mod record;
mod segment;
mod transfer;

pub(crate) use flow::{Flow, Stage};
pub use key::FlowTuple;
pub use record::{FlowRecord, RecordedStage};
pub use segment::Segment;
pub(crate) use transfer::{Transfer, WINDOW_BYTES};
