//! When the list of a control host counts as complete.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use directory::Coverage;

const A: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

const TICK: Duration = Duration::from_millis(250);

/// Has A and B heard at each tick, except as `skip` says, and returns how often
/// in a row the list counted as complete at the end.
fn run(ticks: u32, heard: impl Fn(u32, Ipv4Addr) -> bool, current: impl Fn(u32) -> bool) -> u32 {
    let mut now = Instant::now();
    let mut coverage = Coverage::new(now);
    let mut whole = 0;
    for tick in 0..ticks {
        for host in [A, B] {
            if heard(tick, host) {
                coverage.record_contact(host, now);
            }
        }
        coverage.update(&[A, B], current(tick), now);
        whole = if coverage.is_complete(now) {
            whole + 1
        } else {
            0
        };
        now += TICK;
    }
    whole
}

/// Guards against a flow that is broken off because its agent says hello to a
/// control host that this one does not hear, as in a split of the core: seen
/// as a broken flow on bbvg-sofia-grown, scale-1 --seed 12933379803.
#[test]
fn a_list_is_complete_only_while_all_members_are_heard() {
    assert!(run(20, |_, _| true, |_| true) > 5, "all are heard");
    assert_eq!(run(4, |_, _| true, |_| true), 0, "just started");
    assert_eq!(
        run(40, |_, host| host == A, |_| true),
        0,
        "one is never heard"
    );
    let cut = |tick, host| host == A || tick < 14;
    assert_eq!(run(20, cut, |_| true), 0, "one is cut off");
    let back = |tick, host| host == A || !(14..20).contains(&tick);
    assert_eq!(run(24, back, |_| true), 0, "one has just come back");
    assert_eq!(
        run(20, |_, _| true, |tick| tick < 18),
        0,
        "no leader is heard"
    );
    let lost = |tick, host| host == A || tick % 3 != 0;
    assert!(run(20, lost, |_| true) > 5, "single messages are lost");
}

/// Guards against a host that wakes and passes off an old list as complete.
#[test]
fn a_list_is_not_complete_after_a_pause() {
    let mut now = Instant::now();
    let mut coverage = Coverage::new(now);
    for _ in 0..20 {
        coverage.record_contact(A, now);
        coverage.update(&[A], true, now);
        now += TICK;
    }
    assert!(coverage.is_complete(now));
    now += Duration::from_secs(2);
    assert!(!coverage.is_complete(now), "before it looks again");
    coverage.record_contact(A, now);
    coverage.update(&[A], true, now);
    assert!(!coverage.is_complete(now), "after it has looked");
}
