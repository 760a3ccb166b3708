//! What lasts as long as the process: tasks, settings, metrics.

mod agent;
mod audience;
mod balancer;
mod balancers;
mod egress;
mod metrics;
mod sync;

pub use agent::{Agent, AgentSettings, Announced};
pub use balancer::{Balancer, BalancerSettings};
pub use balancers::{Balancers, Handover};
pub use egress::{Egress, Outgoing};
pub use sync::{Sync, SyncSettings, Update};
