//! Types that live as long as the process.

mod agent_pool;
mod flow_table;
mod link_admission;
mod opening_queue;
mod rate_limiter;
mod request_queue;
mod service_pace;
mod steering;

pub use agent_pool::{AgentPool, AgentStatus};
pub use flow_table::{
    CallerAction, Claim, FlowTable, FlowTableSettings, Load, Origin, UpstreamAction, UpstreamStatus,
};
pub use link_admission::LinkAdmission;
pub use opening_queue::{OpeningQueue, OpeningQueueSettings};
pub use rate_limiter::RateLimiter;
pub use request_queue::RequestQueue;
pub use service_pace::ServicePace;
pub use steering::{
    DropReason, FlowQuery, ReleasedDatagram, SearchResults, Steering, SteeringDecision,
    SteeringSettings,
};
