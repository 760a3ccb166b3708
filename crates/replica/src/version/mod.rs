//! Types that live for a version of the configuration or of the group.

mod history;
mod membership;

pub use history::RouteHistory;
pub use membership::{ControlHostContact, MembershipPolicy, MembershipSettings};
