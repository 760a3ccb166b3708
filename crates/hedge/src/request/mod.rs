//! Data with the lifetime of one request.

mod candidate;
mod denial;

pub use candidate::{Candidate, CandidateState};
pub use denial::{Denial, Repeatable};
