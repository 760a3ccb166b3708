//! Types of the configuration and the membership, which change with their version.

mod hedge;
mod key;
mod membership;
mod number;
mod policy;
mod routes;
mod service;
mod weights;

pub use hedge::HedgeBudget;
pub use key::{CidKey, KeyGeneration, KeySet};
pub use membership::{
    BalancerAnnouncement, ClassLoad, ClassLoads, ServiceState, UpstreamAnnouncement,
    UpstreamMember, UpstreamState,
};
pub use number::{Revision, Term, Version};
pub use policy::{PlacementPolicy, ServiceLimits};
pub use routes::{
    Priority, RequestTargets, RouteWeight, RoutingDelta, RoutingRule, RoutingSet, RoutingSetNumber,
};
pub use service::{PathPrefix, Service, ServiceId, Share, Target};
pub use weights::ServiceWeights;
