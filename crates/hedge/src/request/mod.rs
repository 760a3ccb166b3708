//! Data with the lifetime of one request.

mod candidate;
mod denial;
mod withdrawal;

pub use candidate::{Candidate, CandidateState};
pub use denial::{Denial, Repeatable};
pub use withdrawal::Withdrawal;
