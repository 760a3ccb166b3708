//! Types that live for a version of the configuration or of the group.

mod history;
mod membership;
mod placement;

pub use history::RouteHistory;
pub use membership::{ControlHostContact, MembershipPolicy, MembershipSettings};
pub use placement::{Placement, services_without_upstreams};
