//! Runs of an upstream, and which of its flows an agent may deny or reset.

mod common;

use std::time::Instant;

use common::{address, agreement, answer, bounced, data, opening};
use flow::{
    CallerAction, CheckpointPart, CheckpointedFlow, Claim, FlowRecord, FlowTable,
    FlowTableSettings, Origin, RecordedStage, UpstreamAction, UpstreamStatus,
};
use types::Slots;

const EARLIER_RUN: u64 = 6;
const PRESENT_RUN: u64 = 7;
const INITIAL_SEQ: u32 = 500;

fn announced(run: u64) -> UpstreamStatus {
    UpstreamStatus {
        incarnation: Some(run),
        slots: Slots(4),
        ..UpstreamStatus::listening()
    }
}

/// The table of an agent that has started beside an upstream which listens.
fn started_table() -> (FlowTable, Instant) {
    let now = Instant::now();
    let mut table = FlowTable::new(FlowTableSettings::default(), now);
    table.set_upstream(Some(UpstreamStatus::listening()));
    (table, now)
}

/// Part of a checkpoint of an earlier run, with the flow of caller `n`.
fn checkpoint_of_earlier_run(n: u8) -> CheckpointPart {
    let record = FlowRecord {
        key: opening(n).key_from_caller(),
        stage: RecordedStage::Open,
        opening_seq: Some(100),
        upstream_range: Some((INITIAL_SEQ, INITIAL_SEQ + 1)),
        caller_seq: None,
        awaiting_answer: false,
        caller_ended: false,
        upstream_ended: false,
        idle: std::time::Duration::ZERO,
    };
    CheckpointPart {
        upstream: EARLIER_RUN,
        flows: vec![CheckpointedFlow {
            record,
            via: Some(address(100)),
        }],
    }
}

/// Guards against resets of a living flow by an agent whose upstream has returned a
/// datagram of it, once that upstream announces another incarnation.
#[test]
fn a_flow_that_the_upstream_returned_is_not_reset_after_its_announcement() {
    for before in [UpstreamStatus::listening(), announced(EARLIER_RUN)] {
        let (mut table, now) = started_table();
        table.set_upstream(Some(before));
        table.restore_checkpoint(&checkpoint_of_earlier_run(9), now);
        let seg = data(1, 101, INITIAL_SEQ + 1);
        let tried = table.caller_datagram(&seg, Origin::Tried, now);
        assert_eq!(tried, CallerAction::Deliver);
        let returned = table.upstream_datagram(&bounced(seg), now);
        assert_eq!(returned, UpstreamAction::NotHeld);
        table.set_upstream(Some(announced(PRESENT_RUN)));
        assert_eq!(table.claim(&seg.key_from_caller(), &seg, now), Claim::No);
        let verdict = table.caller_datagram(&seg, Origin::Tried, now);
        assert_eq!(verdict, CallerAction::NotHeld, "{before:?}");
    }
}

/// Guards against resets of a living flow by an agent that got a datagram of it on trial
/// and whose upstream announces another incarnation before it has returned the datagram.
#[test]
fn a_flow_on_trial_is_not_reset_after_an_announcement() {
    let (mut table, now) = started_table();
    table.set_upstream(Some(announced(EARLIER_RUN)));
    let seg = data(1, 101, INITIAL_SEQ + 1);
    table.caller_datagram(&seg, Origin::Tried, now);
    table.set_upstream(Some(announced(PRESENT_RUN)));
    assert_eq!(
        table.claim(&seg.key_from_caller(), &seg, now),
        Claim::Perhaps
    );
    let returned = table.upstream_datagram(&bounced(seg), now);
    assert_eq!(returned, UpstreamAction::NotHeld);
}

/// Guards against callers of an upstream that did end, which wait for their timeout
/// because the datagram arrived before the checkpoint that names the flow.
#[test]
fn a_returned_flow_of_the_checkpoint_is_reset() {
    let (mut table, now) = started_table();
    let seg = data(1, 101, INITIAL_SEQ + 1);
    table.caller_datagram(&seg, Origin::Tried, now);
    table.upstream_datagram(&bounced(seg), now);
    table.restore_checkpoint(&checkpoint_of_earlier_run(1), now);
    let key = seg.key_from_caller();
    assert_eq!(table.claim(&key, &seg, now), Claim::Holds);
    let verdict = table.caller_datagram(&seg, Origin::Held, now);
    assert_eq!(verdict, CallerAction::Reset);
    // The caller goes on with another upstream, which answered a copy of the opening.
    let other = data(1, 101, INITIAL_SEQ + (1 << 30));
    assert_eq!(table.claim(&key, &other, now), Claim::No);

    // The upstream may not have accepted the opening, but another one a copy of it.
    let (mut table, now) = started_table();
    table.caller_datagram(&seg, Origin::Tried, now);
    table.upstream_datagram(&bounced(seg), now);
    let mut part = checkpoint_of_earlier_run(1);
    part.flows[0].record.upstream_range = None;
    table.restore_checkpoint(&part, now);
    assert_eq!(table.claim(&key, &seg, now), Claim::No);
}

/// Opens a flow of caller `n` and returns the next datagram of its caller.
fn open(table: &mut FlowTable, n: u8, now: Instant) -> flow::Segment {
    table.caller_datagram(&opening(n), Origin::Placed, now);
    table.upstream_datagram(&agreement(n, INITIAL_SEQ), now);
    data(n, 101, INITIAL_SEQ + 1)
}

/// Guards against resets of flows that the present run of the upstream opened or answered
/// before it announced itself to an agent that has the checkpoint of an earlier run.
#[test]
fn flows_of_a_run_outlive_its_first_announcement() {
    let (mut table, now) = started_table();
    table.restore_checkpoint(&checkpoint_of_earlier_run(9), now);
    let opened = open(&mut table, 1, now);
    let learned = data(2, 101, INITIAL_SEQ + 1);
    table.caller_datagram(&learned, Origin::Held, now);
    table.upstream_datagram(&answer(2, INITIAL_SEQ + 1), now);
    table.set_upstream(Some(announced(PRESENT_RUN)));
    for seg in [opened, learned] {
        let verdict = table.caller_datagram(&seg, Origin::Held, now);
        assert_eq!(verdict, CallerAction::Deliver);
    }
    assert_eq!(table.load(now).open_flows, 2);
}

/// Guards against resets of flows that an upstream opened between its restart and its
/// first announcement, while its agent still took it for the run before.
#[test]
fn flows_opened_before_the_announcement_of_a_restart_go_on() {
    let (mut table, now) = started_table();
    table.set_upstream(Some(announced(EARLIER_RUN)));
    let seg = open(&mut table, 1, now);
    table.set_upstream(Some(announced(PRESENT_RUN)));
    let verdict = table.caller_datagram(&seg, Origin::Held, now);
    assert_eq!(verdict, CallerAction::Deliver);
    table.upstream_datagram(&answer(1, INITIAL_SEQ + 1), now);
    assert_eq!(table.load(now).open_flows, 1);
}

/// Guards against a list of a planned restart that is taken for complete, but lacks flows
/// which the upstream may hold.
#[test]
fn unverified_flows_are_handed_over() {
    let (mut table, now) = started_table();
    table.set_upstream(Some(announced(EARLIER_RUN)));
    open(&mut table, 1, now);
    table.set_upstream(Some(announced(PRESENT_RUN)));
    let keys: Vec<_> = table.records(now).iter().map(|r| r.key).collect();
    assert_eq!(keys, [opening(1).key_from_caller()]);
}

/// Guards against resets of a flow whose opening was delivered to the run before, and of
/// which another upstream accepted a copy.
#[test]
fn an_unanswered_opening_is_no_proof_of_a_lost_flow() {
    let (mut table, now) = started_table();
    table.set_upstream(Some(announced(EARLIER_RUN)));
    table.caller_datagram(&opening(1), Origin::Placed, now);
    table.set_upstream(Some(announced(PRESENT_RUN)));
    let seg = data(1, 101, 1 << 30);
    let verdict = table.caller_datagram(&seg, Origin::Held, now);
    assert_eq!(verdict, CallerAction::Deliver);
    let returned = table.upstream_datagram(&bounced(seg), now);
    assert_eq!(returned, UpstreamAction::NotHeld);
}
