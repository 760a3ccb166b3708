//! Retry decisions after failed attempts.

use std::time::Instant;

use crate::RetryBudget;

/// Progress of one attempt to run a request.
///
/// A request sent to a peer counts as started once its first byte is sent,
/// unless the peer answers that it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No byte of the request was sent to an upstream.
    NotStarted,
    /// The first byte was sent to an upstream; no part of an answer was received.
    Started,
    /// The head of the answer was sent to the caller.
    Answered,
    /// The whole answer was sent to the caller.
    Complete,
    /// The answer was truncated after its head.
    Truncated,
}

/// Reason for which an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// The connection to the upstream or peer could not be opened.
    Connect,
    /// A peer refused the reservation or the claim.
    PeerRefused,
    /// The connection was lost, or the answer was malformed.
    Broken,
    /// The caller's deadline passed.
    Deadline,
    /// The caller cancelled the request.
    Cancelled,
    /// The upstream answered that it is shedding load.
    Shed,
}

/// An attempt that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// How far the attempt got.
    pub progress: Progress,
    /// Why the attempt ended.
    pub failure: Failure,
    /// Whether the method is idempotent (RFC 9110).
    pub idempotent: bool,
    /// Deadline of the caller.
    pub deadline: Option<Instant>,
}

/// Whether a request is retried, and otherwise how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another upstream; a retry token was withdrawn.
    Retry,
    /// Answer that the request was not run.
    NotRun,
    /// Answer that the outcome is unknown.
    Unknown,
    /// Forward the upstream's answer unchanged.
    PassThrough,
    /// Reset the stream, because part of the answer was already sent.
    Reset,
    /// Send nothing more: the answer is complete, or the caller cancelled.
    Done,
}

/// Decides whether an attempt is retried, and otherwise how it is answered.
///
/// An attempt that may have run is retried only if the method is idempotent,
/// and is never reported as "not run". If the upstream sheds load after the
/// request was started, its answer is forwarded and the request is not retried:
/// the agent cannot tell whether the upstream acted on the request before it
/// answered, and a retry would add load to an overloaded service.
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
