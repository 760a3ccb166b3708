//! What lasts as long as the process: tasks, settings, metrics.

mod agent;
mod balancer;
mod metrics;
mod sync;

pub use agent::{Agent, AgentSettings, Announced};
pub use balancer::{Balancer, BalancerSettings};
pub use sync::{Sync, SyncSettings, Update};
