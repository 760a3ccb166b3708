//! What lasts as long as a process.

mod allowance;
mod flow_table;
mod pool;
mod steering;

pub use allowance::Allowance;
pub use flow_table::{
    CallerAction, Claim, FlowTable, FlowTableSettings, Load, Origin, UpstreamAction, UpstreamStatus,
};
pub use pool::{Candidate, Pool};
pub use steering::{Dropped, Ended, Question, Release, Steer, Steering, SteeringSettings};
