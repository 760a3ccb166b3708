//! State with the lifetime of the process: tasks, settings and metrics.

mod agent;
mod balancer;
mod balancer_table;
mod egress_queue;
mod fair_queue;
mod metrics;
mod report_schedule;
mod sync;

pub use agent::{Agent, AgentSettings, UpstreamChange, UpstreamUpdate};
pub use balancer::{Balancer, BalancerSettings};
pub use balancer_table::{BalancerTable, Handover};
pub use egress_queue::{EgressQueue, OutgoingDatagram, Traffic};
pub use sync::{ControlSync, ControlSyncSettings, ControlUpdate};
