//! Elections after stalls of processes and disks, with a simulated clock.

mod harness;

use consensus::Role;
use harness::{Cluster, STEP_DURATION};
use std::time::{Duration, Instant};
use types::{MemberId, Term};

/// Time within which a group has a leader after its hosts or disks were stalled. This is
/// a requirement.
const ELECTION_BOUND: Duration = Duration::from_secs(5);

/// Durations of stalls, in milliseconds; the shorter ones are about an election timeout.
const STALLS_MS: [u64; 9] = [100, 300, 500, 700, 900, 1500, 3000, 10_000, 30_000];

const SEEDS: u64 = 8;

fn run_for(cluster: &mut Cluster, time: Duration) {
    let end = cluster.now + time;
    while cluster.now < end {
        cluster.run_step();
    }
}

fn suspend(cluster: &mut Cluster, ids: &[MemberId]) {
    for id in ids {
        cluster.processes.get_mut(id).unwrap().suspended = true;
    }
}

fn resume(cluster: &mut Cluster, ids: &[MemberId]) {
    for id in ids {
        cluster.resume(*id);
    }
}

fn stall_disks(cluster: &mut Cluster, stalled: bool) {
    for node in cluster.processes.values_mut() {
        node.disk_stalled = stalled;
    }
}

/// Suspends processes; messages to them wait or, with an odd seed, are lost.
fn stall(cluster: &mut Cluster, ids: &[MemberId], time: Duration, seed: u64) {
    suspend(cluster, ids);
    if seed % 2 == 1 {
        let all: Vec<MemberId> = cluster.processes.keys().copied().collect();
        let links = all
            .iter()
            .flat_map(|from| ids.iter().map(|to| (*from, *to)));
        cluster.blocked_links.extend(links);
    }
    run_for(cluster, time);
    cluster.blocked_links.clear();
    resume(cluster, ids);
}

/// The leader of the latest term and that term, if it has confirmed a read.
fn confirmed_leader(cluster: &mut Cluster) -> Option<(MemberId, Term)> {
    let leader = cluster.leader()?;
    let term = cluster.status(leader).term;
    cluster.confirm_read(leader).then_some((leader, term))
}

/// Waits until a leader has confirmed a read, and panics if that takes until `deadline`.
fn wait_for_leader(cluster: &mut Cluster, deadline: Instant, case: &str) -> (MemberId, Term) {
    loop {
        if let Some(leader) = confirmed_leader(cluster) {
            return leader;
        }
        assert!(cluster.now < deadline, "no leader in time: {case}");
        cluster.run_step();
    }
}

fn latest_term(cluster: &Cluster) -> Term {
    let ids = cluster.processes.keys();
    ids.map(|id| cluster.status(*id).term).max().unwrap()
}

/// Runs the group and asserts that its leader stays the same and that no member begins
/// another term.
fn assert_undisturbed(cluster: &mut Cluster, (leader, term): (MemberId, Term), case: &str) {
    for _ in 0..ELECTION_BOUND.as_millis() / STEP_DURATION.as_millis() {
        cluster.run_step();
        assert_eq!(latest_term(cluster), term, "{case}");
        assert_eq!(cluster.leader(), Some(leader), "{case}");
    }
}

/// Asserts that the group, whose stall has ended, has a leader in time, and that it is
/// undisturbed from then on. The leader may change before: after a stall of about an
/// election timeout, it is still working when an election against it begins.
fn assert_recovers(cluster: &mut Cluster, case: &str) {
    let deadline = cluster.now + ELECTION_BOUND;
    wait_for_leader(cluster, deadline, case);
    run_for(cluster, deadline.saturating_duration_since(cluster.now));
    let leader = wait_for_leader(cluster, deadline, case);
    assert_undisturbed(cluster, leader, case);
}

/// Runs `check` for groups of three and five, each duration of a stall and each seed,
/// with the leader and the other members.
fn for_all_cases(check: impl Fn(&mut Cluster, MemberId, &[MemberId], Duration, u64, &str)) {
    for count in [3, 5] {
        for millis in STALLS_MS {
            for seed in 1..=SEEDS {
                let case = format!("{count} hosts, {millis} ms, seed {seed}");
                let mut cluster = Cluster::new(count, seed * 7919 + millis);
                cluster.propose_until_accepted();
                let leader = cluster.elect_leader();
                let steps = cluster.random_below(20);
                cluster.run_steps(steps);
                let ids = cluster.processes.keys().copied();
                let others: Vec<MemberId> = ids.filter(|id| *id != leader).collect();
                let stall = Duration::from_millis(millis);
                check(&mut cluster, leader, &others, stall, seed, &case);
            }
        }
    }
}

/// Guards against a follower that wakes after a stall and deposes the leader.
#[test]
fn a_stalled_follower_does_not_disturb_its_group() {
    for_all_cases(|cluster, leader, others, time, seed, case| {
        let term = cluster.status(leader).term;
        stall(cluster, &others[..1], time, seed);
        assert_undisturbed(cluster, (leader, term), case);
    });
}

/// Guards against a leader that wakes after a stall and deposes its successor, and
/// against a group that elects nobody while its leader is stalled.
#[test]
fn a_stalled_leader_does_not_disturb_its_successor() {
    for_all_cases(|cluster, leader, others, time, seed, case| {
        stall(cluster, &[leader], time, seed);
        if time >= ELECTION_BOUND {
            let successor = cluster.leader().expect(case);
            assert!(others.contains(&successor), "{case}");
            let term = cluster.status(successor).term;
            assert_undisturbed(cluster, (successor, term), case);
        } else {
            assert_recovers(cluster, case);
        }
    });
}

/// Guards against a group that stays without a leader after a majority of its hosts was
/// stalled, with or without the leader.
#[test]
fn a_group_has_a_leader_soon_after_a_majority_was_stalled() {
    for_all_cases(|cluster, leader, others, time, seed, case| {
        let majority = others.len() / 2 + 1;
        let mut stalled = others[..majority].to_vec();
        if seed % 3 == 0 {
            stalled[0] = leader;
        }
        stall(cluster, &stalled, time, seed);
        assert_recovers(cluster, case);
    });
}

/// Guards against split votes without end when all hosts wake at the same instant.
#[test]
fn a_group_has_a_leader_soon_after_all_hosts_were_stalled() {
    for_all_cases(|cluster, leader, others, time, seed, case| {
        let all = [&[leader], others].concat();
        stall(cluster, &all, time, seed);
        assert_recovers(cluster, case);
    });
}

/// Guards against a candidate that starts one election after the other while its disk
/// stalls, and against a group that elects nobody afterwards.
#[test]
fn a_group_has_a_leader_soon_after_all_disks_were_stalled() {
    for count in [1, 2, 3, 5] {
        for millis in STALLS_MS {
            for seed in 1..=SEEDS {
                let case = format!("{count} hosts, {millis} ms, seed {seed}");
                let mut cluster = Cluster::new(count, seed * 7919 + millis);
                stall_disks(&mut cluster, true);
                run_for(&mut cluster, Duration::from_millis(millis));
                assert!(latest_term(&cluster) <= Term(1), "{case}");
                stall_disks(&mut cluster, false);
                let deadline = cluster.now + ELECTION_BOUND;
                wait_for_leader(&mut cluster, deadline, &case);
            }
        }
    }
}

/// Guards against elections that never end because a vote takes longer to reach the disk
/// than an election timeout, as on a machine with much other disk load.
#[test]
fn a_group_with_slow_disks_elects_a_leader() {
    /// The longest timeout, which applies from the third election on.
    const LONGEST_TIMEOUT: Duration = Duration::from_millis(3200);
    let cases = [300, 500, 900].map(|millis| (millis, 5));
    for (millis, largest) in cases.into_iter().chain([(2000, 3)]) {
        for count in [1, 2, 3, 5].into_iter().filter(|count| *count <= largest) {
            for seed in 1..=SEEDS {
                let case = format!("{count} hosts, writes of {millis} ms, seed {seed}");
                let mut cluster = Cluster::new(count, seed * 7919 + millis);
                cluster.write_time = Duration::from_millis(millis);
                // Four elections of two writes, and the two writes of the leader's first
                // entry.
                let election = LONGEST_TIMEOUT + cluster.write_time * 2;
                let deadline = cluster.now + election * 4 + cluster.write_time * 2;
                wait_for_leader(&mut cluster, deadline, &case);
            }
        }
    }
}

/// Guards against a pre-candidate that wakes after a stall, counts pre-votes from before
/// it, and deposes a leader that has returned meanwhile.
#[test]
fn pre_votes_from_before_a_stall_do_not_count() {
    let mut cases = 0;
    for seed in 1..=SEEDS * 10 {
        let mut cluster = Cluster::new(3, seed * 7919);
        cluster.propose_until_accepted();
        let leader = cluster.elect_leader();
        cluster.processes.get_mut(&leader).unwrap().suspended = true;
        let pre_candidate = loop {
            cluster.run_step();
            let mut ids = cluster.processes.keys().copied();
            let found = ids.find(|id| cluster.status(*id).role == Role::PreCandidate);
            if let Some(found) = found {
                break found;
            }
        };
        suspend(&mut cluster, &[pre_candidate]);
        let term = cluster.status(pre_candidate).term;
        cluster.resume(leader);
        cluster.run_steps(10);
        if cluster.leader() != Some(leader) || cluster.status(leader).term != term {
            // The leader was silent for too long.
            continue;
        }
        cases += 1;
        run_for(&mut cluster, Duration::from_secs(3));
        cluster.resume(pre_candidate);
        assert_undisturbed(&mut cluster, (leader, term), &format!("seed {seed}"));
    }
    assert!(cases > 10, "only {cases} seeds with a leader that returned");
}
