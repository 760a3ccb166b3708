//! State and decisions with the lifetime of one request.

mod decision;
mod outcome;
mod reserve;
pub(crate) mod state;
mod waiting;

pub use decision::{
    ClaimAnswer, Decision, DeferredDecision, Offer, PeerAnswer, Refusal, RefusalReason,
    RequestInfo, RequestOutcome, ReservationAnswer,
};
pub use outcome::{Attempt, Failure, Progress, RetryDecision, decide_retry};
