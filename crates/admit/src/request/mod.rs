//! What lives for one request.

mod decision;
mod outcome;
mod reserve;
pub(crate) mod state;
mod waiting;

pub use decision::{
    Claim, Decision, Offer, Outcome, PeerAnswer, Reason, RequestInfo, Reserve, Wake,
};
pub use outcome::{Attempt, Failure, Progress, Verdict, verdict};
