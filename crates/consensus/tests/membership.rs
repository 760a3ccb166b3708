//! Changes of the group beside lost hosts and disks.

mod harness;

use arbtest::arbtest;
use consensus::{Group, GroupChange, Settings};
use harness::{Cluster, MessageFaults, address};
use std::collections::{BTreeMap, BTreeSet};
use types::MemberId;

/// Number of random cases; the case number is the seed.
const CASES: u64 = 96;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 192;

/// A group of `count` hosts that tolerates the loss of half of the others, with a successor
/// for one of them that has become a voter.
fn group_with_successor(count: u64, seed: u64) -> Cluster {
    let settings = Settings {
        min_quorum: usize::try_from(count).unwrap().div_ceil(2),
        ..Settings::default()
    };
    let mut cluster = Cluster::with_settings(count, seed, settings);
    cluster.propose_until_accepted();
    let joiner = MemberId(count + 1);
    cluster.add_process(joiner);
    cluster.change_until_accepted(GroupChange::AddLearner(joiner, address(joiner)));
    cluster.change_until_accepted(GroupChange::Promote(joiner));
    cluster
}

/// Guards against a group that never leads again after a host was removed for good and as
/// many disks were lost as it tolerates: its hosts with whole disks were half of the voters.
#[test]
fn a_removed_host_beside_lost_disks_leaves_a_group_that_leads() {
    for count in [3, 5, 7] {
        for removed in 1..=count + 1 {
            let mut cluster = group_with_successor(count, count * 100 + removed);
            cluster.remove_process(MemberId(removed));
            let token = cluster.propose_until_accepted();
            let others = (1..=count + 1).filter(|id| *id != removed);
            let tolerated = (count - 1) / 2;
            for id in others.take(usize::try_from(tolerated).unwrap()) {
                cluster.replace_disk(MemberId(id), MemberId(20 + id));
            }
            cluster.propose_until_accepted();
            assert!(cluster.accepted.contains_key(&token));
            cluster.heal_and_converge();
        }
    }
}

/// Guards against a loss that is assumed because a host does not answer: half of the voters
/// must not lead while the disks of the others may be whole.
#[test]
fn half_of_the_voters_do_not_lead_without_a_known_loss() {
    let mut cluster = group_with_successor(3, 5);
    cluster.remove_process(MemberId(1));
    cluster.remove_process(MemberId(2));
    let accepted = cluster.accepted.len();
    for _ in 0..20 {
        cluster.run_steps(50);
        for id in [MemberId(3), MemberId(4)] {
            cluster.propose(id);
        }
    }
    assert_eq!(cluster.accepted.len(), accepted);
}

/// Guards against two halves that each know of a loss in the other one and lead in parallel.
#[test]
fn halves_that_know_different_losses_are_no_quorums() {
    let voters = (1..=4).map(|id| (MemberId(id), address(MemberId(id))));
    let group = Group::from_voters(voters);
    let lost = |id| BTreeSet::from([MemberId(id)]);
    let is_quorum = |known: &[(u64, BTreeSet<MemberId>)]| {
        let known: BTreeMap<_, _> = known.iter().map(|(id, l)| (MemberId(*id), l)).collect();
        group.has_quorum(2, |id| known.get(&id).copied())
    };
    assert!(is_quorum(&[(1, lost(3)), (2, lost(3))]));
    for (first, second, reason) in [
        (lost(3), BTreeSet::new(), "one does not know the loss"),
        (lost(3), lost(4), "they know different losses"),
        (lost(9), lost(9), "the lost member is no voter"),
        (lost(1), lost(1), "the lost voter is one of them"),
    ] {
        assert!(!is_quorum(&[(1, first), (2, second)]), "{reason}");
    }
    let known = lost(3);
    assert!(
        !group.has_quorum(3, |id| (id.0 < 3).then_some(&known)),
        "of too few disks"
    );
}

/// Guards against a change that is complete before a quorum of the former voters has it: a
/// group that does not know it would elect a second leader.
#[test]
fn a_change_of_voters_needs_a_quorum_of_the_former_and_of_the_new_ones() {
    let before = Group::from_voters((1..=4).map(|id| (MemberId(id), address(MemberId(id)))));
    let mut after = before.clone();
    after.voters.remove(&MemberId(1));
    let joint = before.transition_to(after.clone());
    let none = BTreeSet::new();
    let is_quorum =
        |group: &Group, ids: &[u64]| group.has_quorum(2, |id| ids.contains(&id.0).then_some(&none));
    assert!(is_quorum(&after, &[2, 3]));
    assert!(!is_quorum(&joint, &[2, 3]));
    assert!(!is_quorum(&joint, &[1, 2]));
    assert!(is_quorum(&joint, &[2, 3, 4]));
    let mut with_learner = before.clone();
    with_learner
        .learners
        .insert(MemberId(5), address(MemberId(5)));
    assert!(!before.transition_to(with_learner).is_joint());
}

/// Guards against a voter that gives its vote to a successor and leaves the group, or keeps
/// voting: it stays as a learner. The leader that gives its own vote away hands over.
#[test]
fn an_exchanged_voter_becomes_a_standby() {
    for leader_leaves in [false, true] {
        let mut cluster = group_with_successor(3, 31);
        let joiner = MemberId(9);
        cluster.add_process(joiner);
        cluster.change_until_accepted(GroupChange::AddLearner(joiner, address(joiner)));
        cluster.run_steps(40);
        let leader = cluster.elect_leader();
        let other = (1..=4).map(MemberId).find(|id| *id != leader).unwrap();
        let leaves = if leader_leaves { leader } else { other };
        let joins = joiner;
        cluster.change_until_accepted(GroupChange::Exchange { joins, leaves });
        cluster.propose_until_accepted();
        let group = cluster.status(cluster.leader().unwrap()).group.unwrap();
        assert_eq!(group.voters.len(), 4);
        assert!(group.is_voter(joiner) && !group.is_voter(leaves));
        assert!(group.learners.contains_key(&leaves));
        assert_eq!(group.standbys, [leaves].into());
        assert_eq!(cluster.leader() == Some(leader), !leader_leaves);
        cluster.change_until_accepted(GroupChange::Remove(leaves));
        cluster.propose_until_accepted();
        let group = cluster.status(cluster.leader().unwrap()).group.unwrap();
        assert!(!group.contains(leaves) && group.standbys.is_empty());
        cluster.heal_and_converge();
    }
}

/// Guards against accepted entries that are lost, leaders of the same term and groups
/// without a leader, when changes of the group meet lost disks, hosts that are removed for
/// good, cuts and restarts.
#[test]
fn random_changes_and_losses_violate_no_invariant() {
    for case in 0..CASES {
        arbtest(|u| {
            let count = u.int_in_range(3..=5)?;
            let mut cluster = Cluster::new(count, u.arbitrary()?);
            cluster.propose_until_accepted();
            let mut next_id = count;
            // The host whose disk is lost, until it has caught up as a voter.
            let mut lost: Option<(MemberId, MemberId)> = None;
            while !u.is_empty() {
                let ids: Vec<MemberId> = cluster.processes.keys().copied().collect();
                let id = *u.choose(&ids)?;
                match u.int_in_range(0..=9u8)? {
                    0 => {
                        cluster.crash(id);
                        cluster.restart(id);
                    }
                    1 => cluster.isolate(id),
                    2 => cluster.blocked_links.clear(),
                    3 if lost.is_none() => {
                        next_id += 1;
                        cluster.replace_disk(id, MemberId(next_id));
                        lost = Some((id, MemberId(next_id)));
                    }
                    4 => cluster.compact(id),
                    5 => {
                        let (drop, delay) = u.arbitrary()?;
                        cluster.message_faults = MessageFaults {
                            drop,
                            delay,
                            ..MessageFaults::default()
                        };
                    }
                    6..=8 => lost = replace(&mut cluster, lost),
                    _ => {
                        cluster.propose(id);
                        cluster.request_read(id);
                    }
                }
                let steps = u.int_in_range(0..=40)?;
                cluster.run_steps(steps);
            }
            cluster.heal_and_converge();
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}

/// Takes the next step by which the successor of a lost voter replaces it. Returns the
/// replacement that is still under way.
fn replace(
    cluster: &mut Cluster,
    lost: Option<(MemberId, MemberId)>,
) -> Option<(MemberId, MemberId)> {
    let (former, successor) = lost?;
    let Some(leader) = cluster.leader() else {
        return lost;
    };
    let group = cluster.status(leader).group.unwrap();
    let change = if !group.contains(successor) {
        GroupChange::AddLearner(successor, cluster.address_of(successor))
    } else if group.learners.contains_key(&successor) {
        GroupChange::Promote(successor)
    } else if group.is_voter(former) {
        GroupChange::Remove(former)
    } else {
        return None;
    };
    cluster.propose_change(leader, change);
    lost
}
