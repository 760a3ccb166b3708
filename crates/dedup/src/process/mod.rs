//! The home of keys, and its settings.

mod home;
mod settings;

pub use home::Home;
pub use settings::Settings;
