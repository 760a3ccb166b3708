//! The logs of processes, split into incarnations.

mod clock_correction;
mod collection;
mod failures;
mod incarnation;

pub use collection::LogCollection;
pub use incarnation::Incarnation;
