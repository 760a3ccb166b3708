//! Benchmarks of limpetplank. Each benchmark measures its baselines in the same
//! run.

pub mod admission;
pub mod soak;
