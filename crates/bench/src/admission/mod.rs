//! Discrete-event simulation of the admission, with seeded arrivals.
//!
//! Events are handled in time order. Messages between agents take a one-way
//! delay, and published load counts arrive with a delay. Packet loss and
//! processing time are not simulated.

mod case;
mod figures;
mod run;

pub use case::{Case, PlacementPolicy, Scenario, ServiceSize, Variant};
pub use figures::Figures;
pub use run::run;
