//! What lasts as long as a process.

mod allowance;
mod holder;
mod pool;
mod steering;

pub use allowance::Allowance;
pub use holder::{Claim, FromUpstream, Holder, HolderSettings, Load, Origin, Upstream, Verdict};
pub use pool::{Candidate, Pool};
pub use steering::{Dropped, Ended, Question, Release, Steer, Steering, SteeringSettings};
