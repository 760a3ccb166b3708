//! Types that live for a version of the configuration or of the group.

mod first_group;
mod formation;
mod history;
mod membership;
mod placement;

pub use first_group::{FirstGroupPolicy, HeardHosts, first_member_id};
pub use formation::{AcceptorState, Formation, FormationOutput, FormationSchedule};
pub use history::RouteHistory;
pub use membership::{ControlHostContact, MembershipPolicy, MembershipSettings};
pub use placement::{Placement, services_without_upstreams};
