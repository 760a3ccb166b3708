//! The rules that single situations put to the test.

mod harness;

use arbtest::arbtest;
use consensus::{
    AppendOutcome, Completion, EntryPayload, GroupChange, Input, LogEntry, LogPosition, Message,
    MessageBody, Rejection, Role,
};
use harness::{Cluster, Noise, address};
use types::{MemberId, Revision, Term};

/// Number of random cases; the case number is the seed.
const CASES: u64 = 128;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 256;

const IDS: [MemberId; 4] = [MemberId(1), MemberId(2), MemberId(3), MemberId(4)];

fn message(from: MemberId, to: MemberId, term: Term, body: MessageBody) -> Input {
    Input::Message(Message {
        from,
        from_address: address(from),
        to,
        term,
        body,
    })
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index: Revision(index),
        term: Term(term),
        payload: EntryPayload::Noop,
    }
}

/// A heartbeat if empty; commits nothing.
fn append(prev: LogPosition, entries: Vec<LogEntry>) -> MessageBody {
    MessageBody::Append {
        prev_log_position: prev,
        entries,
        leader_commit: Revision(0),
        round: 1,
    }
}

fn answer(round: u64, matched: u64) -> MessageBody {
    let outcome = AppendOutcome::Matched(Revision(matched));
    MessageBody::AppendReply {
        round,
        disk_writable: true,
        outcome,
    }
}

/// Makes member 1 ask for votes in the term after `term`, with member 3's
/// consent and without a sync.
fn candidate(cluster: &mut Cluster, term: u64) {
    cluster.now += std::time::Duration::from_secs(2);
    cluster.input(IDS[0], Input::Tick);
    let granted = MessageBody::PreVoteReply {
        request_term: Term(term),
        granted: true,
    };
    cluster.input(IDS[0], message(IDS[2], IDS[0], Term(term), granted));
    let granted = MessageBody::VoteReply { granted: true };
    cluster.input(IDS[0], message(IDS[2], IDS[0], Term(term + 1), granted));
}

fn rejected(cluster: &Cluster, token: consensus::RequestToken) -> Option<Rejection> {
    cluster.events.iter().find_map(|(_, event)| match event {
        Completion::Rejected { token: t, reason } if *t == token => Some(*reason),
        _ => None,
    })
}

/// Guards against a cut-off leader that answers reads as fresh or commits.
#[test]
fn an_isolated_leader_confirms_and_commits_nothing() {
    for seed in 1..20 {
        let count = 2 + seed % 2;
        let mut cluster = Cluster::new(count, seed);
        cluster.accept();
        let old = cluster.elect();
        cluster.isolate(old);
        let proposal = cluster.propose(old);
        let read = cluster.ask_read(old);
        let victim = IDS.into_iter().find(|id| *id != old).unwrap();
        let removal = cluster.change(old, GroupChange::Remove(victim));
        cluster.turns(100);
        assert!(!cluster.status(old).is_leader(), "no majority was heard");
        assert!(!cluster.confirmed(read));
        assert!(!cluster.accepted.contains_key(&proposal));
        assert!(!cluster.accepted.contains_key(&removal));
        if count > 2 {
            assert_ne!(cluster.elect(), old);
        }
        cluster.heal();
    }
}

/// Guards against a read that is confirmed by answers to a round which began
/// before it.
#[test]
fn a_late_answer_confirms_no_later_read() {
    let mut cluster = Cluster::new(3, 5);
    let leader = cluster.elect();
    // The answer to the round of an earlier read is under way.
    cluster.ask_read(leader);
    let sent = cluster
        .queue
        .drain(..)
        .map(|envelope| envelope.message.body);
    let rounds = sent.filter_map(|body| match body {
        MessageBody::Append { round, .. } => Some(round),
        _ => None,
    });
    let round = rounds.max().unwrap();
    let term = cluster.status(leader).term;
    let read = cluster.ask_read(leader);
    let other = IDS.into_iter().find(|id| *id != leader).unwrap();
    cluster.input(leader, message(other, leader, term, answer(round, 0)));
    assert!(!cluster.confirmed(read));
    cluster.input(leader, message(other, leader, term, answer(round + 1, 0)));
    assert!(cluster.confirmed(read));
}

/// Guards against a process that wakes after a freeze and acts on what it knew
/// before it.
#[test]
fn a_frozen_leader_wakes_as_a_follower() {
    for seed in 1..20 {
        let mut cluster = Cluster::new(3, seed);
        cluster.accept();
        let old = cluster.elect();
        let read = cluster.ask_read(old);
        cluster.nodes.get_mut(&old).unwrap().frozen = true;
        let late = cluster.ask_read(old);
        cluster.turns(100);
        let new = cluster.elect();
        assert_ne!(new, old);
        cluster.accept();
        cluster.wake(old);
        assert!(!cluster.confirmed(read) && !cluster.confirmed(late));
        assert!(!cluster.status(old).is_leader());
        cluster.heal();
    }
}

/// Guards against an even split in which both sides or one side goes on.
#[test]
fn an_even_split_commits_on_neither_side() {
    for seed in 1..10 {
        let mut cluster = Cluster::new(4, seed);
        cluster.accept();
        cluster.elect();
        for (a, b) in [(1, 3), (1, 4), (2, 3), (2, 4)] {
            let (a, b) = (MemberId(a), MemberId(b));
            cluster.cut(a, b);
            cluster.cut(b, a);
        }
        cluster.queue.clear();
        let accepted = cluster.accepted.len();
        let tokens = IDS.map(|id| cluster.propose(id));
        cluster.turns(100);
        let again = IDS.map(|id| cluster.propose(id));
        let reads = IDS.map(|id| cluster.ask_read(id));
        cluster.turns(100);
        assert_eq!(cluster.accepted.len(), accepted, "{tokens:?} {again:?}");
        assert!(reads.iter().all(|read| !cluster.confirmed(*read)));
        cluster.heal();
    }
}

/// Guards against a repair after which a second lost host takes accepted
/// entries with it.
#[test]
fn a_repaired_group_survives_a_second_loss() {
    for seed in 1..20 {
        let mut cluster = Cluster::new(3, seed);
        cluster.accept();
        let leader = cluster.elect();
        cluster.compact(leader);
        let first = MemberId(cluster.pick(3) + 1);
        cluster.kill(first);
        cluster.nodes.remove(&first);
        let joiner = MemberId(9);
        cluster.join(joiner);
        cluster.changed(GroupChange::AddLearner(joiner, address(joiner)));
        cluster.changed(GroupChange::Promote(joiner));
        cluster.changed(GroupChange::Remove(first));
        cluster.accept();
        // No member knows any more that the removal is committed.
        for id in cluster.nodes.keys().copied().collect::<Vec<_>>() {
            cluster.kill(id);
            cluster.restart(id);
        }
        let second = MemberId(first.0 % 3 + 1);
        cluster.kill(second);
        cluster.nodes.remove(&second);
        cluster.heal();
        assert_eq!(
            cluster
                .status(cluster.leader().unwrap())
                .group
                .unwrap()
                .voters
                .len(),
            3
        );
    }
}

/// Guards against a voter that holds nothing, which lets a later loss of one
/// host stop the group.
#[test]
fn a_learner_is_promoted_only_once_it_has_caught_up() {
    let mut cluster = Cluster::new(3, 11);
    cluster.accept();
    let leader = cluster.elect();
    let (joiner, other) = (MemberId(9), MemberId(8));
    // The joiner's process is not started yet.
    cluster.changed(GroupChange::AddLearner(joiner, address(joiner)));
    assert!(!cluster.status(leader).caught_up.contains(&joiner));
    let early = cluster.change(leader, GroupChange::Promote(joiner));
    assert_eq!(rejected(&cluster, early), Some(Rejection::NotCaughtUp));
    cluster.join(joiner);
    cluster.turns(60);
    assert!(cluster.status(leader).caught_up.contains(&joiner));
    let promotion = cluster.change(leader, GroupChange::Promote(joiner));
    // Both while the change waits for its round and while it is uncommitted.
    let soon = cluster.change(leader, GroupChange::Remove(joiner));
    assert_eq!(rejected(&cluster, soon), Some(Rejection::ChangePending));
    while !cluster.status(leader).change_pending {
        cluster.turn();
    }
    let second = cluster.change(leader, GroupChange::AddLearner(other, address(other)));
    assert_eq!(rejected(&cluster, second), Some(Rejection::ChangePending));
    cluster.turns(40);
    assert!(cluster.accepted.contains_key(&promotion));
    let unknown = cluster.change(leader, GroupChange::Promote(other));
    assert_eq!(rejected(&cluster, unknown), Some(Rejection::NoSuchMember));
    let known = cluster.change(leader, GroupChange::AddLearner(joiner, address(joiner)));
    assert_eq!(rejected(&cluster, known), Some(Rejection::AlreadyMember));
}

/// Cuts the leader off once the change is in its log and nowhere else.
fn isolate_with_change(cluster: &mut Cluster, leader: MemberId) {
    while !cluster.status(leader).change_pending {
        cluster.turn();
    }
    cluster.isolate(leader);
    cluster.queue.clear();
}

/// Guards against a leader that is cut off right after it appended a removal,
/// and decides alone before it steps down.
#[test]
fn a_removal_needs_the_group_before_it_as_well() {
    let mut cluster = Cluster::new(2, 8);
    cluster.accept();
    let leader = cluster.elect();
    let victim = IDS.into_iter().find(|id| *id != leader).unwrap();
    let removal = cluster.change(leader, GroupChange::Remove(victim));
    isolate_with_change(&mut cluster, leader);
    cluster.turns(30);
    assert!(!cluster.accepted.contains_key(&removal));
}

/// Guards against a group in which nobody can win: the leader that removed
/// itself is ahead of the others, which need its vote.
#[test]
fn a_leader_that_removed_itself_can_finish_the_removal() {
    let mut cluster = Cluster::new(2, 12);
    cluster.accept();
    let leader = cluster.elect();
    cluster.change(leader, GroupChange::Remove(leader));
    isolate_with_change(&mut cluster, leader);
    cluster.sync(leader);
    // The entry that goes out after the sync is lost.
    cluster.queue.clear();
    cluster.kill(leader);
    cluster.restart(leader);
    cluster.heal();
    assert_ne!(cluster.elect(), leader);
}

/// Guards against a group change that stays in force after its entry is gone.
#[test]
fn an_overwritten_group_change_is_rolled_back() {
    for seed in 1..10 {
        let mut cluster = Cluster::new(3, seed);
        cluster.accept();
        let old = cluster.elect();
        let joiner = MemberId(9);
        cluster.change(old, GroupChange::AddLearner(joiner, address(joiner)));
        isolate_with_change(&mut cluster, old);
        cluster.turns(100);
        cluster.accept();
        cluster.heal();
        assert!(!cluster.status(old).group.unwrap().contains(joiner));
    }
}

/// Guards against a message that speaks of a vote or an entry which a crash can
/// still take away.
#[test]
fn nothing_is_spoken_of_before_it_is_synced() {
    let mut cluster = Cluster::new(3, 3);
    for id in IDS.into_iter().take(3) {
        cluster.sync(id);
    }
    let (voter, candidate, term) = (MemberId(1), MemberId(2), Term(1));
    let last = LogPosition::default();
    cluster.input(
        voter,
        message(
            candidate,
            voter,
            term,
            MessageBody::Vote {
                last_log_position: last,
            },
        ),
    );
    assert!(cluster.queue.is_empty(), "the vote is not synced");
    cluster.sync(voter);
    assert_eq!(cluster.queue.len(), 1);
    assert_eq!(cluster.nodes[&voter].disk.vote, Some(candidate));
    cluster.queue.clear();
    let append = append(last, vec![entry(1, 1)]);
    cluster.input(voter, message(candidate, voter, term, append));
    assert!(cluster.queue.is_empty(), "the entry is not synced");
    cluster.sync(voter);
    let MessageBody::AppendReply { outcome, .. } = cluster.queue[0].message.body else {
        panic!("not an acknowledgement");
    };
    assert_eq!(outcome, AppendOutcome::Matched(Revision(1)));
    // One vote in a term, also after a restart.
    cluster.kill(voter);
    cluster.restart(voter);
    cluster.queue.clear();
    let rival = MemberId(3);
    let last = LogPosition {
        term,
        index: Revision(9),
    };
    cluster.input(
        voter,
        message(
            rival,
            voter,
            term,
            MessageBody::Vote {
                last_log_position: last,
            },
        ),
    );
    let refused = MessageBody::VoteReply { granted: false };
    assert_eq!(cluster.queue[0].message.body, refused);
    // Nor a vote for a candidate that lacks the entry.
    let last = LogPosition::default();
    cluster.input(
        voter,
        message(
            rival,
            voter,
            Term(2),
            MessageBody::Vote {
                last_log_position: last,
            },
        ),
    );
    cluster.sync(voter);
    assert_eq!(cluster.queue[1].message.body, refused);
}

/// Guards against a sync of an earlier write that is taken for the sync of a
/// vote, or of entries that have since been replaced.
#[test]
fn a_sync_stands_only_for_what_it_wrote() {
    let mut cluster = Cluster::new(3, 6);
    let [id, a, b, _] = IDS;
    // The write of the first group is still outstanding.
    candidate(&mut cluster, 0);
    cluster.sync(id);
    assert_eq!(cluster.status(id).role, Role::Candidate);
    cluster.sync(id);
    assert_eq!(cluster.status(id).role, Role::Leader);

    let mut cluster = Cluster::new(3, 6);
    cluster.sync(id);
    let start = LogPosition::default();
    let old = append(start, vec![entry(1, 1), entry(2, 1)]);
    cluster.input(id, message(a, id, Term(1), old));
    cluster.sync(id);
    cluster.queue.clear();
    // While the new term is being written, its leader replaces the entries.
    cluster.input(id, message(b, id, Term(2), append(start, Vec::new())));
    let new = append(start, vec![entry(1, 2), entry(2, 2)]);
    cluster.input(id, message(b, id, Term(2), new));
    cluster.sync(id);
    let acknowledged = |cluster: &Cluster| {
        let mut sent = cluster.queue.iter().map(|envelope| &envelope.message.body);
        sent.any(|body| *body == answer(1, 2))
    };
    assert!(!acknowledged(&cluster));
    cluster.sync(id);
    assert!(acknowledged(&cluster));
}

/// Guards against counting an entry of an earlier term by its copies: a later
/// leader that lacks it could still overwrite it.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_count() {
    let mut cluster = Cluster::new(3, 9);
    let [leader, a, b, _] = IDS;
    for id in [leader, a, b] {
        cluster.sync(id);
    }
    let append = append(LogPosition::default(), vec![entry(1, 1)]);
    cluster.input(leader, message(a, leader, Term(1), append));
    cluster.sync(leader);
    candidate(&mut cluster, 1);
    cluster.sync(leader);
    assert_eq!(cluster.status(leader).role, Role::Leader);
    let change = cluster.change(leader, GroupChange::Remove(a));
    assert_eq!(rejected(&cluster, change), Some(Rejection::LeaderNotReady));
    let read = cluster.ask_read(leader);
    cluster.input(leader, message(b, leader, Term(2), answer(1, 1)));
    cluster.input(leader, message(b, leader, Term(2), answer(2, 1)));
    cluster.sync(leader);
    assert_eq!(cluster.status(leader).commit_index, Revision(0));
    // What an earlier leader committed is not known here yet.
    assert!(!cluster.confirmed(read));
    cluster.input(leader, message(b, leader, Term(2), answer(2, 2)));
    assert_eq!(cluster.status(leader).commit_index, Revision(2));
    assert!(cluster.confirmed(read));
}

/// Guards against a host with a full disk that holds up the group, and against
/// a group with no working disk that stops its reads.
#[test]
fn a_full_disk_refuses_changes_and_reads_go_on() {
    let mut cluster = Cluster::new(3, 21);
    cluster.accept();
    let old = cluster.elect();
    cluster.nodes.get_mut(&old).unwrap().full = true;
    cluster.propose(old);
    cluster.turns(100);
    assert_ne!(cluster.elect(), old, "the others go on");
    cluster.accept();
    for node in cluster.nodes.values_mut() {
        node.full = true;
    }
    let leader = cluster.elect();
    cluster.propose(leader);
    cluster.turns(30);
    let refused = cluster.propose(leader);
    assert_eq!(rejected(&cluster, refused), Some(Rejection::DiskFailed));
    assert!(cluster.read(leader));
    cluster.turns(100);
    assert!(cluster.read(leader));
    cluster.heal();
}

/// Guards against messages for an earlier id of the host, and against a blank
/// member that takes part unasked.
#[test]
fn other_ids_and_blank_members_are_left_alone() {
    let mut cluster = Cluster::new(3, 2);
    cluster.accept();
    let blank = MemberId(9);
    cluster.join(blank);
    cluster.turns(200);
    assert!(cluster.status(blank).is_blank());
    assert_eq!(cluster.status(blank).term, Term(0));
    let body = MessageBody::Vote {
        last_log_position: LogPosition::default(),
    };
    let Input::Message(mut stray) = message(MemberId(1), MemberId(8), Term(7), body) else {
        unreachable!()
    };
    cluster.input(blank, Input::Message(stray.clone()));
    assert_eq!(cluster.status(blank).term, Term(0));
    stray.to = blank;
    cluster.input(blank, Input::Message(stray));
    assert_eq!(cluster.status(blank).term, Term(7));
}

/// Guards against a restarted or long cut-off member that deposes the leader.
#[test]
fn a_returning_member_does_not_depose_the_leader() {
    let mut cluster = Cluster::new(3, 4);
    cluster.accept();
    let leader = cluster.elect();
    let other = IDS.into_iter().find(|id| *id != leader).unwrap();
    cluster.isolate(other);
    cluster.turns(300);
    let term = cluster.status(leader).term;
    cluster.cut.clear();
    cluster.turns(100);
    // It does not hear the leader, and the others hear it.
    cluster.cut(leader, other);
    cluster.turns(200);
    assert_eq!(cluster.status(leader).term, term);
    assert!(cluster.status(leader).is_leader());
}

/// Guards against any order of faults that breaks a rule.
#[test]
fn random_faults_break_no_rule() {
    for case in 0..CASES {
        arbtest(|u| {
            let count = u.int_in_range(2..=4)?;
            let mut cluster = Cluster::new(count, u.arbitrary()?);
            // If all members lose the write of the first group, all are blank
            // again and nothing can go on until it is formed once more.
            cluster.sync(IDS[0]);
            let mut joined = count;
            while !u.is_empty() {
                let id = MemberId(u.int_in_range(1..=count)?);
                let running = cluster.nodes[&id].member.is_some();
                match u.int_in_range(0..=11u8)? {
                    0 if running => cluster.kill(id),
                    1 if !running => cluster.restart(id),
                    2 => cluster.isolate(id),
                    3 => cluster.cut.clear(),
                    4 => cluster.nodes.get_mut(&id).unwrap().frozen ^= true,
                    5 => cluster.nodes.get_mut(&id).unwrap().full ^= true,
                    6 => {
                        let (drop, duplicate, delay) = u.arbitrary()?;
                        cluster.noise = Noise {
                            drop,
                            duplicate,
                            delay,
                        };
                    }
                    7 if running => cluster.compact(id),
                    8 if joined < 7 => {
                        joined += 1;
                        let new = MemberId(joined);
                        cluster.join(new);
                        cluster.change(id, GroupChange::AddLearner(new, address(new)));
                    }
                    9 => {
                        let other = MemberId(u.int_in_range(1..=joined)?);
                        cluster.change(id, GroupChange::Promote(other));
                    }
                    10 if cluster.status_of(id).is_some_and(|s| s.is_leader()) => {
                        cluster.change(id, GroupChange::Remove(id));
                    }
                    _ => {
                        cluster.propose(id);
                        cluster.ask_read(id);
                    }
                }
                let turns = u.int_in_range(0..=12)?;
                cluster.turns(turns);
            }
            cluster.heal();
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}
