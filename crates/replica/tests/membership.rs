//! The policy for membership changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use consensus::{Group, GroupChange};
use replica::{ControlHostContact, MembershipPolicy, MembershipSettings};
use types::MemberId;

const LOCAL_ID: MemberId = MemberId(1);

fn address(n: u64) -> SocketAddr {
    let n = u8::try_from(n).unwrap();
    (Ipv4Addr::new(10, 0, 0, n), 7001).into()
}

struct Case {
    voters: &'static [u64],
    learners: &'static [u64],
    caught_up: &'static [u64],
    /// Member, number of its address, and milliseconds since the last contact.
    heard: &'static [(u64, u64, u64)],
    leaving: &'static [u64],
    min_voters: usize,
    expected: Option<GroupChange>,
}

const CASE: Case = Case {
    voters: &[1, 2, 3],
    learners: &[],
    caught_up: &[2, 3],
    heard: &[(1, 1, 0), (2, 2, 0), (3, 3, 0)],
    leaving: &[],
    min_voters: 3,
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
        min_voters: case.min_voters,
        ..MembershipSettings::default()
    };
    let change =
        MembershipPolicy::new(settings).next_change(LOCAL_ID, &group, &caught_up, &heard, now);
    assert_eq!(change, case.expected, "{name}");
}

/// Guards against membership changes in a complete group.
#[test]
fn complete_group_is_not_changed() {
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

/// Guards against a host with an empty disk or a new address that is not added
/// without an operator.
#[test]
fn new_hosts_are_added() {
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

/// Guards against a host that stays a voter after its disk is lost: counting it,
/// the group would need more live members for a majority than it has.
#[test]
fn member_with_a_lost_disk_is_removed_before_its_successor_is_added() {
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

/// Guards against majorities of too few disks: with two tolerated losses, two removals in
/// a row left three voters, and a change was acknowledged on two disks.
#[test]
fn a_replaced_voter_is_removed_only_if_majorities_stay_large_enough() {
    let four = Case {
        voters: &[1, 2, 3, 4],
        caught_up: &[2, 3],
        heard: &[(1, 1, 0), (2, 2, 0), (3, 3, 0), (4, 4, 500), (9, 4, 0)],
        min_voters: 5,
        ..CASE
    };
    check(
        "of four, two losses tolerated: its successor joins first",
        &Case {
            expected: Some(GroupChange::AddLearner(MemberId(9), address(4))),
            ..four
        },
    );
    check(
        "of five, two losses tolerated",
        &Case {
            voters: &[1, 2, 3, 4, 5],
            caught_up: &[2, 3, 5],
            expected: Some(GroupChange::Remove(MemberId(4))),
            ..four
        },
    );
    check(
        "a learner",
        &Case {
            voters: &[1, 2, 3],
            learners: &[4],
            expected: Some(GroupChange::Remove(MemberId(4))),
            ..four
        },
    );
}

/// Guards against a permanently lost host that still counts towards the majority.
#[test]
fn silent_voters_are_removed_while_enough_remain() {
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
        &Case {
            min_voters: 5,
            ..four
        },
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

/// Guards against the removal of a member that is not in the directory but replies
/// to the leader: a new leader removed such a member, and the nodes of its data
/// centre kept following it with an old routing set (day `trouble-2`, grown).
#[test]
fn member_that_replies_to_the_leader_is_not_silent() {
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
