//! How an attempt to run a request ends.

use std::time::Instant;

use crate::RetryBudget;

/// How far one attempt to run a request has come.
///
/// A request that was sent to a peer has started with its first byte, unless
/// the peer answers that it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No byte of the request has gone to an upstream.
    NotStarted,
    /// The first byte has gone to an upstream; no part of an answer came back.
    Started,
    /// The head of the answer has gone to the caller.
    Answered,
    /// The whole answer has gone to the caller.
    Complete,
    /// The answer broke off after its head.
    Truncated,
}

/// Why an attempt came to an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// The connection to the upstream or peer could not be opened.
    Connect,
    /// A peer refused the reservation or the claim.
    PeerRefused,
    /// The connection broke, or the answer was malformed.
    Broken,
    /// The caller's deadline passed.
    Deadline,
    /// The caller cancelled the request.
    Cancelled,
    /// The upstream answered that it sheds load.
    Shed,
}

/// One attempt that came to an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// How far it came.
    pub progress: Progress,
    /// Why it ended.
    pub failure: Failure,
    /// Whether the method is idempotent (RFC 9110).
    pub idempotent: bool,
    /// Instant after which the caller no longer waits.
    pub deadline: Option<Instant>,
}

/// What the caller is told, or that the request is tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again elsewhere; a token of the retry budget was taken.
    Retry,
    /// Tell the caller that the request was not run.
    NotRun,
    /// Tell the caller that the outcome is unknown.
    Unknown,
    /// Pass the upstream's answer on as it is.
    PassThrough,
    /// Reset the stream, because part of the answer is already out.
    Reset,
    /// Nothing more is sent: the answer is complete or the caller is gone.
    Done,
}

/// Says how an attempt ends for the caller.
///
/// An attempt that may have run is repeated only if the method is idempotent,
/// and is never called "not run". An upstream that sheds load has answered: the
/// answer is passed on and not repeated, because the agent cannot know whether
/// the upstream acted before it answered, and a repeat would add load to a
/// service that asks for less.
#[must_use]
pub fn decide_retry(now: Instant, attempt: &Attempt, budget: &mut RetryBudget) -> RetryDecision {
    let in_time = attempt.deadline.is_none_or(|at| now < at);
    let may_retry = match attempt.progress {
        Progress::NotStarted => true,
        Progress::Started => attempt.idempotent,
        Progress::Answered | Progress::Complete | Progress::Truncated => false,
    };
    match (attempt.progress, attempt.failure) {
        (Progress::Complete, _) | (_, Failure::Cancelled) => RetryDecision::Done,
        (Progress::Truncated, _) => RetryDecision::Reset,
        (_, Failure::Shed) if attempt.progress != Progress::NotStarted => {
            RetryDecision::PassThrough
        }
        (Progress::Answered, _) => RetryDecision::Reset,
        (_, Failure::Connect | Failure::PeerRefused | Failure::Broken | Failure::Shed)
            if may_retry && in_time && budget.withdraw() =>
        {
            RetryDecision::Retry
        }
        (Progress::NotStarted, _) => RetryDecision::NotRun,
        (Progress::Started, _) => RetryDecision::Unknown,
    }
}
