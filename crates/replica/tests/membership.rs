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
    /// Numbers of the data centres of the members; 0 for those that are not listed.
    data_centres: &'static [(u64, u64)],
    standbys: &'static [u64],
    initial_voters: usize,
    min_voters: usize,
    expected: Option<GroupChange>,
}

const CASE: Case = Case {
    voters: &[1, 2, 3],
    learners: &[],
    caught_up: &[2, 3],
    heard: &[(1, 1, 0), (2, 2, 0), (3, 3, 0)],
    leaving: &[],
    data_centres: &[],
    standbys: &[],
    initial_voters: 3,
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
    group.standbys = case.standbys.iter().map(|n| MemberId(*n)).collect();
    group.initial_voters = case.initial_voters;
    let data_centre = |id: u64| {
        let found = case.data_centres.iter().find(|(member, _)| *member == id);
        let number = found.map_or(0, |(_, number)| *number);
        format!("dc-{number}").parse().unwrap()
    };
    let heard: BTreeMap<MemberId, ControlHostContact> = case
        .heard
        .iter()
        .map(|(id, at, age)| {
            let heard = ControlHostContact {
                address: address(*at),
                last_heard: now.checked_sub(Duration::from_millis(*age)).unwrap(),
                data_centre: data_centre(*id),
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

/// Guards against successors that make the group so large that the former hosts cannot be
/// removed at once: three successors of three hosts were half of six voters and did not lead.
#[test]
fn a_second_successor_takes_the_place_of_the_voter_that_it_replaces() {
    let joining = Case {
        voters: &[1, 2, 3, 4],
        learners: &[5],
        caught_up: &[2, 3, 4, 5],
        heard: &[(1, 1, 0), (2, 2, 0), (3, 3, 0), (4, 4, 0), (5, 5, 0)],
        data_centres: &[(1, 1), (2, 2), (3, 3), (4, 1), (5, 2)],
        ..CASE
    };
    let exchange = |joins, leaves| {
        let (joins, leaves) = (MemberId(joins), MemberId(leaves));
        Some(GroupChange::Exchange { joins, leaves })
    };
    check(
        "of the same data centre",
        &Case {
            expected: exchange(5, 2),
            ..joining
        },
    );
    check(
        "no voter of its data centre",
        &Case {
            data_centres: &[(1, 1), (2, 2), (3, 3), (4, 1), (5, 9)],
            ..joining
        },
    );
    check(
        "the leader is not the first choice",
        &Case {
            data_centres: &[(1, 1), (2, 2), (3, 3), (4, 1), (5, 1)],
            expected: exchange(5, 4),
            ..joining
        },
    );
    check(
        "a voter that is gone is the first choice",
        &Case {
            caught_up: &[2, 4, 5],
            data_centres: &[(1, 1), (2, 2), (3, 2), (4, 1), (5, 2)],
            expected: exchange(5, 3),
            ..joining
        },
    );
    check(
        "a standby does not take its place back",
        &Case {
            standbys: &[5],
            ..joining
        },
    );
    check(
        "a standby does not vote while enough others do",
        &Case {
            voters: &[1, 3, 4],
            caught_up: &[3, 4, 5],
            heard: &[(1, 1, 0), (3, 3, 0), (4, 4, 0), (5, 5, 0)],
            standbys: &[5],
            ..joining
        },
    );
    check(
        "a standby votes again if too few others do",
        &Case {
            voters: &[1, 4],
            caught_up: &[4, 5],
            standbys: &[5],
            expected: Some(GroupChange::Promote(MemberId(5))),
            ..joining
        },
    );
    check(
        "a group of an earlier version",
        &Case {
            initial_voters: 0,
            expected: Some(GroupChange::Promote(MemberId(5))),
            ..joining
        },
    );
    check(
        "the group was formed with more voters than it needs",
        &Case {
            initial_voters: 4,
            expected: Some(GroupChange::Promote(MemberId(5))),
            ..joining
        },
    );
}
