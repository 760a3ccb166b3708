//! Completeness of a control host's directory.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use directory::Coverage;

const A: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

const TICK: Duration = Duration::from_millis(250);

/// Records messages of A and B as `heard` returns at each tick, and returns the
/// number of consecutive ticks at the end at which the directory was complete.
fn final_streak(
    ticks: u32,
    heard: impl Fn(u32, Ipv4Addr) -> bool,
    hears_leader: impl Fn(u32) -> bool,
) -> u32 {
    let mut now = Instant::now();
    let mut coverage = Coverage::new(now);
    let mut streak = 0;
    for tick in 0..ticks {
        for host in [A, B] {
            if heard(tick, host) {
                coverage.record_contact(host, now);
            }
        }
        coverage.update(&[A, B], hears_leader(tick), now);
        streak = if coverage.is_complete(now) {
            streak + 1
        } else {
            0
        };
        now += TICK;
    }
    streak
}

/// Guards against the reset of a live flow whose agent sends its hello to a
/// control host that this one does not hear, as in a partition of the core:
/// broke a flow on bbvg-sofia-grown, scale-1 --seed 12933379803.
#[test]
fn complete_only_while_all_members_are_heard() {
    assert!(
        final_streak(20, |_, _| true, |_| true) > 5,
        "all members are heard"
    );
    assert_eq!(
        final_streak(4, |_, _| true, |_| true),
        0,
        "the host has just started"
    );
    assert_eq!(
        final_streak(40, |_, host| host == A, |_| true),
        0,
        "one member is never heard"
    );
    let partitioned = |tick, host| host == A || tick < 14;
    assert_eq!(
        final_streak(20, partitioned, |_| true),
        0,
        "one member is partitioned"
    );
    let returned = |tick, host| host == A || !(14..20).contains(&tick);
    assert_eq!(
        final_streak(24, returned, |_| true),
        0,
        "one member has just returned"
    );
    assert_eq!(
        final_streak(20, |_, _| true, |tick| tick < 18),
        0,
        "the leader is not heard"
    );
    let lost = |tick, host| host == A || tick % 3 != 0;
    assert!(
        final_streak(20, lost, |_| true) > 5,
        "every third message of one member is lost"
    );
}

/// Guards against a host that resumes after a suspension and reports an
/// outdated directory as complete.
#[test]
fn not_complete_after_a_suspension() {
    let mut now = Instant::now();
    let mut coverage = Coverage::new(now);
    for _ in 0..20 {
        coverage.record_contact(A, now);
        coverage.update(&[A], true, now);
        now += TICK;
    }
    assert!(coverage.is_complete(now));
    now += Duration::from_secs(2);
    assert!(!coverage.is_complete(now), "before the next update");
    coverage.record_contact(A, now);
    coverage.update(&[A], true, now);
    assert!(!coverage.is_complete(now), "after the next update");
}
