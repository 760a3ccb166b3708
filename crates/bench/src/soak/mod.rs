//! A site of real processes under load, planned events and faults.
//!
//! - [`Site`] starts, signals and restarts the processes;
//! - [`Load`] sends requests and reads feeds, [`Operations`] makes changes;
//! - [`Faults`] draws the events from the seed;
//! - all of them send [`Note`]s to the [`Tally`], which judges the promises.

mod faults;
mod load;
mod operations;
mod site;
mod tally;

pub use faults::Faults;
pub use load::Load;
pub use operations::{Operations, Outcome};
pub use site::{Part, Site};
pub use tally::{Figures, Note, Tally};
