//! State with the lifetime of the agent.

mod admission;
mod budget;
mod health;
mod settings;

pub use admission::Admission;
pub use budget::RetryBudget;
pub use settings::{QueueOrder, Settings};
