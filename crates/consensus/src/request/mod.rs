//! What lasts for one proposal, group change or read.

mod change;
mod event;
mod read;

pub use change::GroupChange;
pub use event::{Completion, Rejection, RequestToken};
pub(crate) use read::Reads;
