//! What lasts as long as the process: tasks, settings, the handle.

mod group;
mod http;
mod metrics;
mod nodes;
mod replica;
mod run;
mod settings;
mod transport;

pub use replica::Replica;
pub use run::{observe, start};
pub use settings::Settings;
