//! What lasts as long as the process: tasks, settings, metrics.

mod agent;
mod audience;
mod balancer;
mod balancer_table;
mod egress;
mod metrics;
mod sync;

pub use agent::{Agent, AgentSettings, UpstreamUpdate};
pub use balancer::{Balancer, BalancerSettings};
pub use balancer_table::{BalancerTable, Handover};
pub use egress::{Egress, Outgoing};
pub use sync::{ControlSync, ControlSyncSettings, ControlUpdate};
