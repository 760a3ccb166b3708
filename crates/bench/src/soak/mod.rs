//! Runs a site of real processes under load, with planned events and faults.
//!
//! - [`Site`] starts, signals and restarts the processes;
//! - [`Load`] sends requests and reads feeds, [`Operations`] makes configuration
//!   changes;
//! - [`FaultInjector`] draws the events from the seed and runs them;
//! - they send [`Observation`]s to the [`Tally`], which evaluates whether the
//!   guarantees of the system held.

mod faults;
mod load;
mod operations;
mod site;
mod tally;

pub use faults::FaultInjector;
pub use load::Load;
pub use operations::{ChangeOutcomes, Operations};
pub use site::{Site, SiteProcess};
pub use tally::{Figures, Observation, Tally};
