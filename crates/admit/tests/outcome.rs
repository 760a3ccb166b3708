//! Answers after failed attempts, and when a request is retried.

use std::time::{Duration, Instant};

use admit::{Attempt, Failure, Progress, RetryBudget, RetryDecision, decide_retry};

use RetryDecision::{Done, NotRun, PassThrough, Reset, Retry, Unknown};

const FAILURES: [Failure; 6] = [
    Failure::Connect,
    Failure::PeerRefused,
    Failure::Broken,
    Failure::Deadline,
    Failure::Cancelled,
    Failure::Shed,
];

/// Decisions in the order of `FAILURES`, with budget and time left: once for
/// idempotent methods and once for the others.
const TABLE: [(Progress, [RetryDecision; 6], [RetryDecision; 6]); 5] = [
    (
        Progress::NotStarted,
        [Retry, Retry, Retry, NotRun, Done, Retry],
        [Retry, Retry, Retry, NotRun, Done, Retry],
    ),
    (
        Progress::Started,
        [Retry, Retry, Retry, Unknown, Done, PassThrough],
        [Unknown, Unknown, Unknown, Unknown, Done, PassThrough],
    ),
    (
        Progress::Answered,
        [Reset, Reset, Reset, Reset, Done, PassThrough],
        [Reset, Reset, Reset, Reset, Done, PassThrough],
    ),
    (Progress::Complete, [Done; 6], [Done; 6]),
    (
        Progress::Truncated,
        [Reset, Reset, Reset, Reset, Done, Reset],
        [Reset, Reset, Reset, Reset, Done, Reset],
    ),
];

fn empty_budget() -> RetryBudget {
    let mut budget = RetryBudget::new();
    while budget.withdraw() {}
    budget
}

/// Replaces `Retry` by the decision made when no retry is possible.
fn without_retry(decision: RetryDecision, progress: Progress) -> RetryDecision {
    match (decision, progress) {
        (Retry, Progress::NotStarted) => NotRun,
        (Retry, _) => Unknown,
        (other, _) => other,
    }
}

/// Guards against a non-idempotent request that runs twice, and against "not
/// run" after the first byte was sent. Covers every progress, failure and
/// method, with and without retry budget and time.
#[test]
fn every_progress_and_failure_has_its_decision() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    for (progress, idempotent_row, other_row) in TABLE {
        for (i, failure) in FAILURES.into_iter().enumerate() {
            for (idempotent, expected) in [(true, idempotent_row[i]), (false, other_row[i])] {
                let without_budget_or_time = without_retry(expected, progress);
                let cases = [
                    (RetryBudget::new(), Some(later), expected),
                    (RetryBudget::new(), None, expected),
                    (RetryBudget::new(), Some(now), without_budget_or_time),
                    (empty_budget(), Some(later), without_budget_or_time),
                ];
                for (mut budget, deadline, expected) in cases {
                    let attempt = Attempt {
                        progress,
                        failure,
                        idempotent,
                        deadline,
                    };
                    let got = decide_retry(now, &attempt, &mut budget);
                    assert_eq!(got, expected, "{attempt:?}");
                }
            }
        }
    }
}

/// Guards against retries that multiply the load of a failing service: over a
/// long run they are a tenth of the requests, plus the initial allowance.
#[test]
fn retries_stay_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert_eq!(retries, 103);
}

/// Guards against a burst of retries after a long run without failures.
#[test]
fn the_retry_budget_is_bounded_after_a_run_without_failures() {
    let mut budget = RetryBudget::new();
    for _ in 0..100_000 {
        budget.deposit();
    }
    let burst = std::iter::from_fn(|| budget.withdraw().then_some(())).count();
    assert_eq!(burst, 20);
}

/// Guards against a token that is withdrawn although nothing is retried.
#[test]
fn only_a_retry_withdraws_a_token() {
    let now = Instant::now();
    let mut budget = RetryBudget::new();
    let attempt = Attempt {
        progress: Progress::Started,
        failure: Failure::Broken,
        idempotent: false,
        deadline: None,
    };
    assert_eq!(decide_retry(now, &attempt, &mut budget), Unknown);
    assert_eq!(budget, RetryBudget::new());
}
