//! The records of a home, and its settings.

mod home;
mod settings;

pub use home::Home;
pub use settings::Settings;
