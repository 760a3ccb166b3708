//! What changes with a version of the configuration or of the membership.

mod key;
mod member;
mod number;
mod routes;
mod service;

pub use key::{CidKey, KeyGeneration, KeySet};
pub use member::{
    BalancerAnnouncement, ClassLoad, ClassLoads, ServiceState, UpstreamAnnouncement,
    UpstreamMember, UpstreamState,
};
pub use number::{Revision, Term, Version};
pub use routes::{RouteWeight, RoutingDelta, RoutingRule, RoutingSet, RoutingSetNumber};
pub use service::{PathPrefix, Service, ServiceId, Share, Target};
