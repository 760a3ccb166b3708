//! The number of log lines.

use std::time::{Duration, Instant};

use logs::{Budget, PER_SECOND};

/// Guards against a log that grows with the load, and against a kind of line
/// that is crowded out by another.
#[test]
fn each_kind_has_a_bound_of_its_own() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let written = (0..1000).filter(|_| budget.take("placed", now)).count();
    assert_eq!(written, PER_SECOND as usize);
    assert!(budget.take("reset", now));
}

/// Guards against lines that are left out without a word.
#[test]
fn what_was_left_out_is_told_once() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    for _ in 0..PER_SECOND + 7 {
        budget.take("placed", now);
    }
    assert!(budget.take_left_out(now).is_empty());
    let later = now + Duration::from_secs(1);
    assert_eq!(
        budget.take_left_out(later),
        [("placed".to_owned(), 7)].into()
    );
    assert!(budget.take_left_out(later).is_empty());
}

/// Guards against a first line of a kind that is missing.
#[test]
fn the_first_line_of_a_kind_is_never_left_out() {
    let mut now = Instant::now();
    let mut budget = Budget::new(now);
    for _ in 0..5 {
        for _ in 0..100 {
            budget.take("busy", now);
        }
        now += Duration::from_secs(1);
        assert!(budget.take("busy", now));
    }
}
