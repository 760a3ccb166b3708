//! Types that live as long as the process.

mod agent_pool;
mod cold_limit;
mod flow_table;
mod opening_queue;
mod rate_limiter;
mod service_pace;
mod steering;

pub use agent_pool::{AgentPool, AgentStatus};
pub use cold_limit::{ColdBound, ColdLimit};
pub use flow_table::{
    CallerAction, Claim, FlowTable, FlowTableSettings, Load, Origin, UpstreamAction, UpstreamStatus,
};
pub use opening_queue::{OpeningQueue, OpeningQueueSettings};
pub use rate_limiter::RateLimiter;
pub use service_pace::ServicePace;
pub use steering::{
    DropReason, FlowQuery, ReleasedDatagram, ResetReason, SearchResults, Steering,
    SteeringDecision, SteeringSettings,
};
