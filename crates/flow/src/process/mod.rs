//! Types that live as long as the process.

mod agent_pool;
mod cost_index;
mod flow_checkpoint;
mod flow_list;
mod flow_table;
mod link_admission;
mod opening_queue;
mod rate_limiter;
mod request_queue;
mod service_pace;
mod service_time;
mod steering;
mod trial_arbiter;
mod upstream_health;

pub use agent_pool::{AgentPool, AgentStatus, Placement};
pub use cold::{ColdBound, ColdLimit};
pub use flow_checkpoint::{
    CheckpointPart, CheckpointedFlow, DuePart, FlowCheckpoint, FlowCheckpointSettings,
};
pub use flow_list::{
    FlowListId, FlowListPart, FlowListRecovery, FlowListRecoverySettings, FlowListTransfer,
    FlowListTransferSettings, KeeperCandidates, KeeperNode, KeeperRole, KeptFlowLists,
    KeptFlowListsSettings, RecoveredFlows,
};
pub use flow_table::{
    CallerAction, Claim, FlowTable, FlowTableSettings, Load, Origin, UpstreamAction, UpstreamStatus,
};
pub use link_admission::LinkAdmission;
pub use opening_queue::{CallerShare, OpeningQueue, OpeningQueueSettings};
pub use rate_limiter::RateLimiter;
pub use request_queue::{NextWaiting, RequestQueue};
pub use service_pace::ServicePace;
pub use service_time::{ServiceTime, ServiceTimeEstimate, ServiceTimeTracker};
pub use steering::{
    BatchTarget, DropReason, DueBatch, FlowQuery, MAX_BATCH, QueryBatches, ReleasedDatagram,
    ResetReason, SearchResults, Steering, SteeringDecision, SteeringSettings, TrialRequest,
};
pub use trial_arbiter::{TrialArbiter, TrialArbiterSettings};
pub use upstream_health::{AdmittedShare, UpstreamHealth};
