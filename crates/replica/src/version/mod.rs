//! What lasts for a version of the configuration or of the group.

mod history;
mod steward;

pub use history::RouteHistory;
pub use steward::{Heard, Steward, StewardSettings};
