//! Runs the admission over a seeded list of arrivals.
//!
//! Events are handled in time order. Messages between agents take a one-way
//! delay, and counts that are published arrive late. Nothing else of hosts or
//! networks is modelled: no loss, no processing time.

mod case;
mod figures;
mod run;

pub use case::{Case, Kind, Scenario, Size, Variant};
pub use figures::Figures;
pub use run::run;
