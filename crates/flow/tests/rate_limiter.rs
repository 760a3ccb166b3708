//! A bound on how often something is done.

use std::time::{Duration, Instant};

use flow::RateLimiter;

/// Guards against more than the bound in any second, and against a bound that
/// nothing gets past.
#[test]
fn a_second_never_has_more_than_the_allowance() {
    for (per_second, count, expected) in [(100, 1, 200), (100, 30, 6), (10, 50, 2), (1000, 7, 286)]
    {
        let start = Instant::now();
        let mut allowance = RateLimiter::new(per_second);
        let mut taken = 0;
        for n in 0..2000 {
            let now = start + Duration::from_millis(n);
            taken += u32::from(allowance.try_acquire(count, now));
        }
        let least = expected * 9 / 10;
        // The first second may use what is left from before.
        let most = expected + per_second / u32::try_from(count).unwrap() + 1;
        assert!(
            (least..=most).contains(&taken),
            "{per_second} {count}: {taken}"
        );
    }
}
