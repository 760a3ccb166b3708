//! Rate limits of log lines.

use std::time::{Duration, Instant};

use logs::{MAX_LINES_PER_KIND_PER_SECOND, RateLimiter};

/// Guards against a log volume that grows with the load, and against one kind
/// of line that uses up the limit of another.
#[test]
fn each_kind_has_its_own_limit() {
    let now = Instant::now();
    let mut limiter = RateLimiter::new(now);
    let written = (0..1000).filter(|_| limiter.allow("placed", now)).count();
    assert_eq!(written, MAX_LINES_PER_KIND_PER_SECOND as usize);
    assert!(limiter.allow("reset", now));
}

/// Guards against suppressed lines that are not reported, or reported twice.
#[test]
fn suppressed_lines_are_reported_once() {
    let now = Instant::now();
    let mut limiter = RateLimiter::new(now);
    for _ in 0..MAX_LINES_PER_KIND_PER_SECOND + 7 {
        limiter.allow("placed", now);
    }
    assert!(limiter.take_suppressed(now).is_empty());
    let later = now + Duration::from_secs(1);
    assert_eq!(
        limiter.take_suppressed(later),
        [("placed".to_owned(), 7)].into()
    );
    assert!(limiter.take_suppressed(later).is_empty());
}

/// Guards against suppressing the first line of a kind in a window.
#[test]
fn the_first_line_of_a_kind_in_a_window_is_written() {
    let mut now = Instant::now();
    let mut limiter = RateLimiter::new(now);
    for _ in 0..5 {
        for _ in 0..100 {
            limiter.allow("busy", now);
        }
        now += Duration::from_secs(1);
        assert!(limiter.allow("busy", now));
    }
}
