//! Rate limiter.

use std::time::{Duration, Instant};

use flow::RateLimiter;

/// Guards against more permits than the limit in any second, and against a
/// limiter that grants none.
#[test]
fn a_second_never_has_more_permits_than_the_limit() {
    for (per_second, count, expected) in [(100, 1, 200), (100, 30, 6), (10, 50, 2), (1000, 7, 286)]
    {
        let start = Instant::now();
        let mut limiter = RateLimiter::new(per_second);
        let mut taken = 0;
        for n in 0..2000 {
            let now = start + Duration::from_millis(n);
            taken += u32::from(limiter.try_acquire(count, now));
        }
        let least = expected * 9 / 10;
        // The first second may also use the permits that are available at the
        // start.
        let most = expected + per_second / u32::try_from(count).unwrap() + 1;
        assert!(
            (least..=most).contains(&taken),
            "{per_second} {count}: {taken}"
        );
    }
}
