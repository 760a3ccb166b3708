//! What lives as long as a leadership or a process that announces itself.

mod registry;
mod settings;

pub use registry::Registry;
pub use settings::Settings;
