//! Large entries: what is sent while one is in transit, and limits on their size.

mod harness;

use std::time::Duration;

use consensus::{Completion, Envelope, Input, Rejection, RequestToken, Settings};
use harness::{Cluster, STEP_DURATION};
use types::{MemberId, Revision};

/// Time until a transfer to a member counts as lost: the longest election timeout, and
/// four times the time that 100,000 bytes for each of two members take at 100 Mbit/s.
const TRANSFER_TIME: Duration = Duration::from_millis(800 + 64);

/// A cluster of three whose leader has a large entry in transit to both others. Returns
/// the leader, the transfers, and the index of the entry.
fn start_transfers() -> (Cluster, MemberId, Vec<Envelope>, Revision) {
    let mut cluster = Cluster::new(3, 11);
    cluster.propose_until_accepted();
    let leader = cluster.elect_leader();
    cluster.run_steps(20);
    cluster.propose_large(leader);
    cluster.sync(leader);
    let index = cluster.status(leader).last_index;
    let transfers = take_transfers(&mut cluster);
    assert_eq!(transfers.len(), 2, "one for each member");
    (cluster, leader, transfers, index)
}

fn take_transfers(cluster: &mut Cluster) -> Vec<Envelope> {
    let is_transfer = |envelope: &mut Envelope| envelope.transfer.is_some();
    cluster.queue.extract_if(.., is_transfer).collect()
}

/// Guards against a second copy of an entry that is being sent, and against heartbeats
/// that refer to it: the member would report a conflict, and the leader would send the
/// entry once more.
#[test]
fn a_heartbeat_refers_to_no_entry_that_is_being_sent() {
    let (mut cluster, leader, transfers, index) = start_transfers();
    // The harness checks each message.
    cluster.withheld = Some(Vec::new());
    let steps = TRANSFER_TIME.as_millis() * 9 / 10 / STEP_DURATION.as_millis();
    cluster.run_steps(u64::try_from(steps).unwrap());
    assert!(cluster.heartbeats_beside_transfers > 0);
    assert_eq!(cluster.withheld.take(), Some(Vec::new()), "a second copy");
    assert!(cluster.status(leader).is_leader());
    assert!(cluster.status(leader).commit_index < index);
    cluster.queue.extend(transfers);
    cluster.run_steps(10);
    assert_eq!(cluster.status(leader).commit_index, index);
}

/// Guards against a lost large entry that is never sent again, and against one that is
/// sent again at once, over and over.
#[test]
fn a_failed_transfer_is_sent_again_after_a_heartbeat_interval() {
    let (mut cluster, leader, transfers, index) = start_transfers();
    for envelope in &transfers {
        cluster.report_end(envelope, false);
    }
    assert!(
        take_transfers(&mut cluster).is_empty(),
        "sent again at once"
    );
    cluster.now += Settings::default().heartbeat_interval;
    cluster.input(leader, Input::Tick);
    let again = take_transfers(&mut cluster);
    assert_eq!(again.len(), 2);
    // Without a report, the deadline ends them.
    cluster.run_steps(60);
    assert_eq!(cluster.status(leader).commit_index, index);
}

/// Guards against copies that are sent over and over to a member that takes no large
/// messages, and against such a member that keeps the others from getting theirs while
/// only one transfer fits at a time.
#[test]
fn a_stuck_transfer_does_not_hold_up_the_others() {
    let settings = Settings {
        max_transfer_bytes: 1,
        ..Settings::default()
    };
    let mut cluster = Cluster::with_settings(3, 11, settings);
    cluster.propose_until_accepted();
    let leader = cluster.elect_leader();
    cluster.run_steps(20);
    cluster.propose_large(leader);
    cluster.sync(leader);
    let index = cluster.status(leader).last_index;
    let mut transfers = take_transfers(&mut cluster);
    assert_eq!(transfers.len(), 1, "only one fits");
    let stuck = transfers[0].message.to;
    let start = cluster.now;
    let (mut copies, mut committed_at) = (0, None);
    while cluster.now < start + Duration::from_secs(20) {
        for envelope in transfers.drain(..) {
            if envelope.message.to == stuck {
                copies += 1;
            } else {
                cluster.deliver(envelope);
            }
        }
        cluster.withheld = Some(Vec::new());
        cluster.run_step();
        transfers = cluster.withheld.take().unwrap();
        if cluster.status(leader).commit_index >= index {
            committed_at.get_or_insert(cluster.now);
        }
    }
    let committed_at = committed_at.expect("the entry is committed");
    assert!(committed_at < start + TRANSFER_TIME + Duration::from_millis(400));
    // The time for a transfer is 0.8 s and grows with each failure, by 0.3 s at most.
    assert!((17..=25).contains(&copies), "{copies} copies in 20 s");
}

/// Guards against a command that no member accepts, and that keeps all later entries from
/// being committed.
#[test]
fn a_command_above_the_limit_is_rejected_and_blocks_nothing() {
    let mut cluster = Cluster::new(3, 12);
    let leader = cluster.elect_leader();
    let (token, limit) = (RequestToken(900), Settings::default().max_command_bytes);
    let command = vec![0; limit + 1].into();
    let before = cluster.status(leader).last_index;
    cluster.input(leader, Input::Propose { token, command });
    let reason = Rejection::TooLarge {
        bytes: limit + 1,
        limit,
    };
    let rejected = Completion::Rejected { token, reason };
    assert!(cluster.events.contains(&(leader, rejected)));
    assert_eq!(cluster.status(leader).last_index, before);
    cluster.propose_until_accepted();
}
