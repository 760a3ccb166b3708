//! State with the lifetime of the agent.

mod admission;
mod budget;
mod cold_start;
mod health;
mod settings;

pub use admission::Admission;
pub use budget::RetryBudget;
pub use cold_start::ColdSettings;
pub use settings::{QueueOrder, Settings};
