//! State with the lifetime of a leadership or of an announced process.

mod balancers;
mod registry;
mod service_record;
mod settings;
mod upstream;

pub use registry::Registry;
pub use settings::Settings;
