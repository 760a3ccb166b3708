//! State with the lifetime of a process.

mod budget;
mod hedging;
mod latency;
mod settings;

pub use budget::BudgetWindow;
pub use hedging::Hedging;
pub use latency::LatencyWindow;
pub use settings::Settings;
