//! Completeness of a control host's directory.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use directory::{Coverage, GroupView, Roster};

const LOCAL: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);
const A: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

const TICK: Duration = Duration::from_millis(250);

fn group(others: &[Ipv4Addr], hears_leader: bool) -> GroupView<'_> {
    GroupView {
        others,
        hears_leader,
    }
}

/// Records messages of A and B as `heard` returns at each tick, and returns the
/// number of consecutive ticks at the end at which the directory was complete.
fn final_streak(
    ticks: u32,
    heard: impl Fn(u32, Ipv4Addr) -> bool,
    hears_leader: impl Fn(u32) -> bool,
) -> u32 {
    let mut now = Instant::now();
    let mut coverage = Coverage::new(LOCAL, None, now);
    let mut streak = 0;
    for tick in 0..ticks {
        for host in [A, B] {
            if heard(tick, host) {
                coverage.record_contact(host, now);
            }
        }
        coverage.update(Some(group(&[A, B], hears_leader(tick))), now);
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
    let mut coverage = Coverage::new(LOCAL, None, now);
    for _ in 0..20 {
        coverage.record_contact(A, now);
        coverage.update(Some(group(&[A], true)), now);
        now += TICK;
    }
    assert!(coverage.is_complete(now));
    now += Duration::from_secs(2);
    assert!(!coverage.is_complete(now), "before the next update");
    coverage.record_contact(A, now);
    coverage.update(Some(group(&[A], true)), now);
    assert!(!coverage.is_complete(now), "after the next update");
}

/// Agent `n`.
fn agent(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, n), 7000)
}

/// A control host that has restarted together with A and B and hears both, but no
/// leader. Before, it listed agent 1.
fn restarted(now: Instant) -> Coverage {
    let own: Roster = [agent(1)].into_iter().collect();
    let mut coverage = Coverage::new(LOCAL, Some(&own), now);
    hear(&mut coverage, &[A, B], now);
    coverage
}

fn hear(coverage: &mut Coverage, hosts: &[Ipv4Addr], now: Instant) {
    for host in hosts {
        coverage.record_contact(*host, now);
    }
    coverage.update(Some(group(&[A, B], false)), now);
}

/// Receives the roster of a member when agents up to `heard` have been heard.
fn receive_roster(coverage: &mut Coverage, from: Ipv4Addr, agents: &[u8], heard: u8, now: Instant) {
    let roster: Roster = agents.iter().map(|n| agent(*n)).collect();
    let members = vec![A, B, LOCAL];
    let is_listed = |address| (1..=heard).any(|n| agent(n) == address);
    coverage.record_roster(from, members, &roster, is_listed, now);
    coverage.update(Some(group(&[A, B], false)), now);
}

/// Guards against flows that nobody holds any more after a loss of power, and whose
/// callers wait until their timeout: the directory is complete as soon as the last
/// agent that any control host had listed is heard, without waiting for time to pass.
#[test]
fn complete_once_every_listed_agent_is_heard() {
    let now = Instant::now();
    let mut coverage = restarted(now);
    assert_eq!(coverage.missing_rosters(&[A, B], now), [A, B]);
    receive_roster(&mut coverage, A, &[1, 2], 0, now);
    coverage.record_agent(agent(1));
    coverage.record_agent(agent(2));
    assert!(
        !coverage.is_complete(now),
        "B may have listed another agent"
    );
    receive_roster(&mut coverage, B, &[1, 3], 2, now);
    assert!(!coverage.is_complete(now), "agent 3 has not been heard");
    coverage.record_agent(agent(3));
    assert!(coverage.is_complete(now));
}

/// Guards against the reset of the living flows of an agent that returns late, at its
/// address or behind a cut: it counts as missing for a lease.
#[test]
fn an_agent_that_returns_late_is_waited_for() {
    let start = Instant::now();
    let mut coverage = restarted(start);
    receive_roster(&mut coverage, A, &[1], 0, start);
    receive_roster(&mut coverage, B, &[1], 0, start);
    let mut now = start;
    while now < start + Duration::from_millis(2900) {
        hear(&mut coverage, &[A, B], now);
        assert!(!coverage.is_complete(now), "after {:?}", now - start);
        now += TICK;
    }
    hear(&mut coverage, &[A, B], start + Duration::from_secs(3));
    assert!(
        coverage.is_complete(start + Duration::from_secs(3)),
        "its lease is over"
    );
}

/// Guards against the reset of a flow at an agent that only a member outside this
/// host's view of the group had listed: its log lags after a change of the group.
#[test]
fn a_member_that_only_others_know_must_be_heard_too() {
    const NEW_MEMBER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);
    let now = Instant::now();
    let mut coverage = restarted(now);
    coverage.record_agent(agent(1));
    receive_roster(&mut coverage, B, &[1], 1, now);
    let roster: Roster = [agent(1)].into_iter().collect();
    let members = vec![A, NEW_MEMBER, LOCAL];
    coverage.record_roster(A, members, &roster, |_| true, now);
    hear(&mut coverage, &[A, B], now);
    assert!(!coverage.is_complete(now));
    coverage.record_contact(NEW_MEMBER, now);
    assert_eq!(coverage.missing_rosters(&[A, B], now), [NEW_MEMBER]);
    receive_roster(&mut coverage, NEW_MEMBER, &[1], 1, now);
    assert!(coverage.is_complete(now));
}

/// Guards against rosters from before a cut or a suspension: meanwhile the other
/// members may have listed agents that this one did not hear of.
#[test]
fn a_roster_counts_only_while_its_sender_is_heard() {
    let start = Instant::now();
    for pause in [TICK * 4, Duration::from_secs(10)] {
        let mut coverage = restarted(start);
        coverage.record_agent(agent(1));
        receive_roster(&mut coverage, A, &[1], 1, start);
        receive_roster(&mut coverage, B, &[1], 1, start);
        assert!(coverage.is_complete(start));
        hear(&mut coverage, &[A], start + TICK);
        hear(&mut coverage, &[A], start + TICK * 2);
        let now = start + pause;
        hear(&mut coverage, &[A], now);
        hear(&mut coverage, &[A, B], now);
        assert!(!coverage.is_complete(now), "after {pause:?}");
        assert!(coverage.missing_rosters(&[A, B], now).contains(&B));
    }
}

/// Guards against a host without a list of its own, after the loss of its disk or an
/// upgrade, that takes its directory for complete before all agents had the time to
/// say hello.
#[test]
fn a_host_without_a_roster_vouches_for_nothing() {
    let now = Instant::now();
    let mut coverage = Coverage::new(LOCAL, None, now);
    hear(&mut coverage, &[A, B], now);
    receive_roster(&mut coverage, A, &[], 0, now);
    receive_roster(&mut coverage, B, &[], 0, now);
    assert!(!coverage.is_complete(now));
    assert!(!coverage.vouches_for_roster(now));
    assert!(coverage.vouches_for_roster(now + Duration::from_secs(3)));
}

/// Guards against a host in no group, whose view has no members that could be missing.
#[test]
fn never_complete_without_a_group() {
    let now = Instant::now();
    let roster = Roster::default();
    let mut coverage = Coverage::new(LOCAL, Some(&roster), now);
    coverage.update(None, now);
    assert!(!coverage.is_complete(now));
}
