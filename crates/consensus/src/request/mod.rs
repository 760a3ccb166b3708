//! Types that live for one proposal, group change or read.

mod change;
mod completion;
mod read;

pub use change::GroupChange;
pub use completion::{Completion, Rejection, RequestToken};
pub(crate) use read::PendingReads;
