//! Return of refused callers.

use std::time::{Duration, Instant};

use queueing::RetrySchedule;
use types::RetryAfter;

const SERVICE: Duration = Duration::from_millis(100);

/// Random numbers from 0 to 1, spread evenly.
fn spread(n: u32) -> f64 {
    f64::from(n * 37 % 100) / 100.0
}

/// Guards against callers that return before the backlog is served, or so many in one
/// second that most of them are refused again.
#[test]
fn refused_callers_return_at_the_rate_of_service() {
    let now = Instant::now();
    let mut schedule = RetrySchedule::default();
    let backlog = Duration::from_secs(3);
    let mut returning = [0; 64];
    for n in 0..200 {
        let RetryAfter(seconds) = schedule.assign(backlog, SERVICE, spread(n), now);
        returning[usize::try_from(seconds).unwrap()] += 1;
    }
    // Ten requests a second are served, from the third second on.
    assert_eq!(returning[..3], [0, 0, 0]);
    assert_eq!(returning[3..=23].iter().sum::<u32>(), 200);
    let most = returning.iter().max().unwrap();
    assert!(*most <= 20, "{most} callers return in one second");
}

/// Guards against delays without a bound or of zero seconds, and against callers beyond
/// the bound that return at the same time.
#[test]
fn delays_are_bounded_and_spread() {
    let now = Instant::now();
    let mut schedule = RetrySchedule::default();
    let first = schedule.assign(Duration::ZERO, SERVICE, 0.0, now);
    assert_eq!(first, RetryAfter(1));
    let mut beyond = Vec::new();
    for n in 0..2000 {
        beyond.push(schedule.assign(Duration::MAX, SERVICE, spread(n), now));
    }
    assert!(beyond.iter().all(|after| (30..=61).contains(&after.0)));
    beyond.sort_unstable();
    beyond.dedup();
    assert!(beyond.len() >= 30);
    let later = now + Duration::from_mins(2);
    let after_the_overload = schedule.assign(Duration::ZERO, SERVICE, 0.0, later);
    assert_eq!(after_the_overload, RetryAfter(1));
}
