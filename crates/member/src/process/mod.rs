//! What lives as long as a leadership or a process that announces itself.

mod balancers;
mod group;
mod registry;
mod settings;
mod upstream;

pub use registry::Registry;
pub use settings::Settings;
