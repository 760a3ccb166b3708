//! How the leader keeps its group complete.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use consensus::{Group, GroupChange};
use replica::{ControlHostContact, MembershipPolicy, MembershipSettings};
use types::MemberId;

const ME: MemberId = MemberId(1);

fn address(n: u64) -> SocketAddr {
    let n = u8::try_from(n).unwrap();
    (Ipv4Addr::new(10, 0, 0, n), 7001).into()
}

struct Case {
    voters: &'static [u64],
    learners: &'static [u64],
    caught_up: &'static [u64],
    /// Member, address and milliseconds since it was heard.
    heard: &'static [(u64, u64, u64)],
    leaving: &'static [u64],
    floor: usize,
    expected: Option<GroupChange>,
}

const CASE: Case = Case {
    voters: &[1, 2, 3],
    learners: &[],
    caught_up: &[2, 3],
    heard: &[(1, 1, 0), (2, 2, 0), (3, 3, 0)],
    leaving: &[],
    floor: 3,
    expected: None,
};

fn check(name: &str, case: &Case) {
    let now = Instant::now() + Duration::from_secs(100);
    let mut group = Group::from_voters(case.voters.iter().map(|n| (MemberId(*n), address(*n))));
    group.learners = case
        .learners
        .iter()
        .map(|n| (MemberId(*n), address(*n)))
        .collect();
    let heard: BTreeMap<MemberId, ControlHostContact> = case
        .heard
        .iter()
        .map(|(id, at, age)| {
            let heard = ControlHostContact {
                address: address(*at),
                last_heard: now.checked_sub(Duration::from_millis(*age)).unwrap(),
                leaving: case.leaving.contains(id),
            };
            (MemberId(*id), heard)
        })
        .collect();
    let caught_up: BTreeSet<MemberId> = case.caught_up.iter().map(|n| MemberId(*n)).collect();
    let settings = MembershipSettings {
        min_voters: case.floor,
        ..MembershipSettings::default()
    };
    let change = MembershipPolicy::new(settings).next_change(ME, &group, &caught_up, &heard, now);
    assert_eq!(change, case.expected, "{name}");
}

/// Guards against a complete group that is changed.
#[test]
fn a_complete_group_stays() {
    check("complete", &CASE);
    check(
        "one is cut off, nobody replaces it",
        &Case {
            caught_up: &[2],
            heard: &[(1, 1, 0), (2, 2, 0), (3, 3, 60_000)],
            ..CASE
        },
    );
}

/// Guards against a host on an empty disk, or at a new address, that stays
/// outside until an operator adds it.
#[test]
fn new_hosts_come_in() {
    let heard = &[(1, 1, 0), (2, 2, 0), (3, 3, 0), (4, 4, 0)];
    check(
        "a new host",
        &Case {
            heard,
            expected: Some(GroupChange::AddLearner(MemberId(4), address(4))),
            ..CASE
        },
    );
    check(
        "a new host that ends",
        &Case {
            heard,
            leaving: &[4],
            ..CASE
        },
    );
    check(
        "it has caught up",
        &Case {
            heard,
            learners: &[4],
            caught_up: &[2, 3, 4],
            expected: Some(GroupChange::Promote(MemberId(4))),
            ..CASE
        },
    );
    check(
        "it has not caught up",
        &Case {
            heard,
            learners: &[4],
            ..CASE
        },
    );
    check(
        "a former host that was heard long ago",
        &Case {
            heard: &[(1, 1, 0), (2, 2, 0), (3, 3, 0), (4, 4, 1100)],
            ..CASE
        },
    );
}

/// Guards against a host whose disk is lost and that stays a voter: with it the
/// group would need more living members than it has.
#[test]
fn a_lost_disk_goes_out_before_its_successor_comes_in() {
    check(
        "member 9 is at the address of member 3",
        &Case {
            caught_up: &[2],
            heard: &[(1, 1, 0), (2, 2, 0), (3, 3, 500), (9, 3, 0)],
            expected: Some(GroupChange::Remove(MemberId(3))),
            ..CASE
        },
    );
}

/// Guards against a host that is gone for good and counts towards the majority.
#[test]
fn silent_voters_go_out_as_long_as_enough_remain() {
    let four = Case {
        voters: &[1, 2, 3, 4],
        caught_up: &[2, 4],
        heard: &[(1, 1, 0), (2, 2, 0), (3, 3, 1600), (4, 4, 0)],
        ..CASE
    };
    check(
        "one of four",
        &Case {
            expected: Some(GroupChange::Remove(MemberId(3))),
            ..four
        },
    );
    check(
        "one of four that bear two losses",
        &Case { floor: 5, ..four },
    );
    check(
        "it was never heard",
        &Case {
            heard: &[(1, 1, 0), (2, 2, 0), (4, 4, 0)],
            expected: Some(GroupChange::Remove(MemberId(3))),
            ..four
        },
    );
}

/// Guards against the removal of a member that was not heard by way of the
/// directory but answers the leader: a new leader removed one, and the nodes of
/// its data centre followed it on an old routing set (grown trouble-2).
#[test]
fn a_member_that_answers_the_leader_is_not_silent() {
    check(
        "not in the directory",
        &Case {
            voters: &[1, 2, 3, 4],
            caught_up: &[2, 3, 4],
            heard: &[(1, 1, 0), (2, 2, 0), (4, 4, 0)],
            ..CASE
        },
    );
}
