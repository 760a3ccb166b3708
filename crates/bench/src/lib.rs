//! Benchmarks of limpetplank. Each runs its baselines in the same run.

pub mod admission;
pub mod soak;
