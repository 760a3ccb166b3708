//! What lives for one request.

mod decision;
mod outcome;
pub(crate) mod state;

pub use decision::{
    Claim, Decision, Offer, Outcome, PeerAnswer, Reason, RequestInfo, Reserve, Wake,
};
pub use outcome::{Attempt, Failure, Progress, Verdict, verdict};
