//! Decisions of an agent about the flows of its upstream.

mod common;

use std::time::Duration;

use common::{agreement, answer, bounced, data, flow_table, opening};
use flow::{
    CallerAction, Claim, FlowTable, FlowTableSettings, Origin, Segment, UpstreamAction,
    UpstreamStatus,
};
use types::Slots;

/// Initial sequence number of the upstream in these tests.
const INITIAL_SEQ: u32 = 5000;

/// A flow table with the open flow of caller 1.
fn table_with_open_flow() -> (FlowTable, std::time::Instant) {
    let (mut table, now) = flow_table();
    assert_eq!(
        table.caller_datagram(&opening(1), Origin::Placed, now),
        CallerAction::Deliver
    );
    let to_caller = UpstreamAction::ToCaller { learned: false };
    assert_eq!(
        table.upstream_datagram(&agreement(1, INITIAL_SEQ), now),
        to_caller
    );
    (table, now)
}

/// Guards against a datagram that is delivered to an upstream which does not
/// hold its flow.
#[test]
fn a_datagram_of_an_unknown_flow_is_not_delivered() {
    let (mut table, now) = flow_table();
    let verdict = table.caller_datagram(&data(1, 101, 1), Origin::Placed, now);
    assert_eq!(verdict, CallerAction::NotHeld);
}

/// Guards against delivery to the wrong upstream after two upstreams have
/// answered copies of one opening datagram: the flow is open at the one whose
/// sequence number the caller acknowledges. A wide range of accepted sequence
/// numbers sent one in 256 of such flows to the wrong upstream, which broke a
/// flow of a grown deployment.
#[test]
fn an_acknowledgement_of_another_upstream_is_not_delivered() {
    let (mut table, now) = table_with_open_flow();
    let cases = [
        (INITIAL_SEQ + 1, CallerAction::Deliver),
        (INITIAL_SEQ, CallerAction::Deliver),
        (INITIAL_SEQ + 3, CallerAction::NotHeld),
        (INITIAL_SEQ + (1 << 20), CallerAction::NotHeld),
        (INITIAL_SEQ - 1, CallerAction::NotHeld),
    ];
    for (ack, expected) in cases {
        let seg = data(1, 101, ack);
        let verdict = table.caller_datagram(&seg, Origin::Held, now);
        assert_eq!(verdict, expected, "acknowledges {ack}");
        let claim = table.claim(&seg.key_from_caller(), &seg, now);
        let holds = if expected == CallerAction::Deliver {
            Claim::Holds
        } else {
            Claim::No
        };
        assert_eq!(claim, holds, "acknowledges {ack}");
    }
}

/// Guards against a retransmitted answer to the opening datagram that resets
/// the range of sequence numbers sent by the upstream. The agent then denied
/// the flow, which was tried at other agents until it counted as broken (18
/// flows of a grown deployment).
#[test]
fn a_retransmitted_answer_does_not_reset_the_sent_range() {
    let (mut table, now) = table_with_open_flow();
    table.upstream_datagram(&answer(1, INITIAL_SEQ + 1), now);
    table.upstream_datagram(&agreement(1, INITIAL_SEQ), now);
    let verdict = table.caller_datagram(&data(1, 101, INITIAL_SEQ + 11), Origin::Held, now);
    assert_eq!(verdict, CallerAction::Deliver);
}

/// Guards against agents that accept any flow because they have just started,
/// although their upstreams started with them.
#[test]
fn an_agent_that_started_with_its_upstream_accepts_no_unknown_flow() {
    let (mut table, now) = flow_table();
    let seg = data(1, 101, INITIAL_SEQ + 1);
    assert_eq!(table.claim(&seg.key_from_caller(), &seg, now), Claim::No);
    let verdict = table.caller_datagram(&seg, Origin::Tried, now);
    assert_eq!(verdict, CallerAction::NotHeld);
}

/// The flow table of a restarted agent.
fn table_of_restarted_agent() -> (FlowTable, std::time::Instant) {
    let now = std::time::Instant::now();
    let mut table = FlowTable::new(FlowTableSettings::default(), now);
    table.set_upstream(Some(UpstreamStatus::ready(7, Slots(4))));
    (table, now)
}

/// Guards against acknowledgements of later answers that are taken for those of
/// another upstream.
#[test]
fn acknowledgements_of_sent_data_are_delivered() {
    let (mut table, now) = table_with_open_flow();
    table.upstream_datagram(&answer(1, INITIAL_SEQ + 1), now);
    let verdict = table.caller_datagram(&data(1, 101, INITIAL_SEQ + 11), Origin::Held, now);
    assert_eq!(verdict, CallerAction::Deliver);
}

/// Guards against new flows for an upstream that is leaving or gone.
#[test]
fn a_leaving_upstream_gets_no_new_flow_and_keeps_open_flows() {
    let (mut table, now) = table_with_open_flow();
    let leaving = UpstreamStatus {
        accepting: false,
        ..UpstreamStatus::ready(7, Slots(4))
    };
    for upstream in [Some(leaving), None] {
        table.set_upstream(upstream);
        let verdict = table.caller_datagram(&opening(2), Origin::Placed, now);
        assert_eq!(verdict, CallerAction::PassOn);
        let verdict = table.caller_datagram(&data(1, 101, INITIAL_SEQ + 1), Origin::Held, now);
        assert_eq!(verdict, CallerAction::Deliver);
    }
}

/// Guards against flows of an earlier incarnation that are kept, or whose callers wait
/// longer than until the upstream has returned their first datagram.
#[test]
fn flows_of_an_earlier_incarnation_are_reset() {
    let (mut table, now) = table_with_open_flow();
    table.set_upstream(Some(UpstreamStatus::ready(8, Slots(4))));
    assert_eq!(table.load(now).open_flows, 0);
    let seg = data(1, 101, INITIAL_SEQ + 1);
    let verdict = table.caller_datagram(&seg, Origin::Held, now);
    assert_eq!(verdict, CallerAction::Deliver);
    let returned = table.upstream_datagram(&bounced(seg), now);
    assert_eq!(returned, UpstreamAction::Reset);
    let verdict = table.caller_datagram(&seg, Origin::Held, now);
    assert_eq!(verdict, CallerAction::Reset);
    let seg = data(3, 101, 1);
    assert_eq!(table.claim(&seg.key_from_caller(), &seg, now), Claim::No);
}

/// Guards against callers that wait for an upstream which crashed without an
/// announcement.
#[test]
fn an_unresponsive_upstream_gets_only_probes() {
    let (mut table, now) = flow_table();
    assert_eq!(
        table.caller_datagram(&opening(1), Origin::Placed, now),
        CallerAction::Deliver
    );
    let later = now + Duration::from_millis(200);
    assert!(table.is_unresponsive(later));
    assert_eq!(
        table.caller_datagram(&opening(2), Origin::Placed, later),
        CallerAction::Deliver
    );
    assert_eq!(
        table.caller_datagram(&opening(3), Origin::Placed, later),
        CallerAction::PassOn
    );
    table.upstream_datagram(&agreement(2, INITIAL_SEQ), later);
    assert_eq!(
        table.caller_datagram(&opening(4), Origin::Placed, later),
        CallerAction::Deliver
    );
}

/// Guards against requests that queue at one upstream while others have free
/// slots, and against datagrams that circulate among full ones.
#[test]
fn a_flow_is_passed_on_once_because_of_load() {
    let (mut table, now) = flow_table();
    for n in 1..=4 {
        table.caller_datagram(&opening(n), Origin::Placed, now);
        table.upstream_datagram(&agreement(n, INITIAL_SEQ), now);
    }
    assert!(table.is_full(now));
    assert_eq!(
        table.caller_datagram(&opening(5), Origin::Placed, now),
        CallerAction::PassOn
    );
    assert_eq!(
        table.caller_datagram(&opening(5), Origin::Passed, now),
        CallerAction::Deliver
    );
}

/// Guards against an agent that restarts beside a running upstream and never
/// learns its flows, and against one that keeps a flow of another upstream.
#[test]
fn a_restarted_agent_learns_flows_from_its_upstream() {
    let (mut table, now) = table_of_restarted_agent();
    let seg = data(1, 101, INITIAL_SEQ + 1);
    let key = seg.key_from_caller();
    assert_eq!(table.claim(&key, &seg, now), Claim::Perhaps);
    assert_eq!(
        table.caller_datagram(&seg, Origin::Tried, now),
        CallerAction::Deliver
    );
    assert!(table.is_tried(&key));
    let learned = UpstreamAction::ToCaller { learned: true };
    assert_eq!(
        table.upstream_datagram(&answer(1, INITIAL_SEQ + 1), now),
        learned
    );
    assert_eq!(table.claim(&key, &seg, now), Claim::Holds);

    let seg = data(2, 101, INITIAL_SEQ + 1);
    assert_eq!(
        table.caller_datagram(&seg, Origin::Tried, now),
        CallerAction::Deliver
    );
    assert_eq!(
        table.upstream_datagram(&bounced(seg), now),
        UpstreamAction::NotHeld
    );
    assert_eq!(table.claim(&seg.key_from_caller(), &seg, now), Claim::No);
    assert_eq!(
        table.caller_datagram(&seg, Origin::Tried, now),
        CallerAction::NotHeld
    );
}

/// Guards against a window of datagrams that reaches a wrong upstream because of an old
/// hint, before the upstream has returned the first one.
#[test]
fn two_datagrams_of_an_unconfirmed_flow_are_delivered() {
    let (mut table, now) = table_of_restarted_agent();
    let mut deliver = |n: u32| {
        let seg = data(1, 101 + 10 * n, INITIAL_SEQ + 1);
        table.caller_datagram(&seg, Origin::Held, now)
    };
    let verdicts = [deliver(0), deliver(1), deliver(2)];
    let deliver_twice = [CallerAction::Deliver; 2];
    assert_eq!(verdicts[..2], deliver_twice);
    assert_eq!(verdicts[2], CallerAction::Drop);
    table.upstream_datagram(&answer(1, INITIAL_SEQ + 1), now);
    let seg = data(1, 121, INITIAL_SEQ + 1);
    let verdict = table.caller_datagram(&seg, Origin::Held, now);
    assert_eq!(verdict, CallerAction::Deliver);
}

/// Guards against a caller that waits for an upstream which has restarted while
/// its agent was running.
#[test]
fn a_flow_that_the_upstream_has_lost_is_reset() {
    let (mut table, now) = table_with_open_flow();
    let seg = data(1, 101, INITIAL_SEQ + 1);
    assert_eq!(
        table.upstream_datagram(&bounced(seg), now),
        UpstreamAction::Reset
    );
    assert_eq!(
        table.caller_datagram(&seg, Origin::Held, now),
        CallerAction::Reset
    );
}

/// Guards against an opening datagram that the upstream returned and that gets
/// no answer.
#[test]
fn a_returned_opening_is_passed_on() {
    let (mut table, now) = flow_table();
    table.caller_datagram(&opening(1), Origin::Placed, now);
    let back = bounced(opening(1));
    assert_eq!(table.upstream_datagram(&back, now), UpstreamAction::PassOn);
    assert_eq!(table.upstream_datagram(&back, now), UpstreamAction::Drop);
}

/// Guards against a flow table that grows without bound.
#[test]
fn idle_flows_expire() {
    let (mut table, now) = table_with_open_flow();
    let settings = FlowTableSettings::default();
    table.expire(now + settings.idle_timeout / 2);
    assert_eq!(table.load(now).open_flows, 1);
    table.expire(now + settings.idle_timeout);
    assert_eq!(table.load(now).open_flows, 0);
}

/// Guards against an upstream in its slow start that gets as many requests as
/// any other.
#[test]
fn an_upstream_in_slow_start_gets_half_its_slots() {
    let (mut table, now) = flow_table();
    let slow_start_ends_at = now + Duration::from_secs(2);
    let slow = UpstreamStatus {
        slow_start_until: Some(slow_start_ends_at),
        ..UpstreamStatus::ready(7, Slots(7))
    };
    table.set_upstream(Some(slow));
    assert_eq!(table.slots(now), Slots(4));
    assert_eq!(table.slots(slow_start_ends_at), Slots(7));
    table.set_upstream(None);
    assert_eq!(table.slots(now), Slots(0));
}

/// Guards against reports to a balancer of flows that another balancer
/// forwards, or of flows that are closed.
#[test]
fn open_flows_are_selected_by_balancer() {
    let (mut table, now) = flow_table();
    for n in 1..=4 {
        let at = now + Duration::from_millis(n.into());
        table.caller_datagram(&opening(n), Origin::Placed, at);
        table.upstream_datagram(&agreement(n, 500), at);
        let via = common::address(if n == 3 { 9 } else { 8 });
        table.set_via(&opening(n).key_from_caller(), via);
    }
    let reset = Segment {
        resets: true,
        opens: false,
        ..agreement(1, 501)
    };
    table.upstream_datagram(&reset, now);
    let via = |address| table.flows_via(|via| via == address, 10);
    let keys = |flows: &[u8]| -> Vec<_> {
        flows
            .iter()
            .map(|n| opening(*n).key_from_caller())
            .collect()
    };
    assert_eq!(via(common::address(8)), keys(&[4, 2]));
    assert_eq!(via(common::address(9)), keys(&[3]));
    assert_eq!(table.flows_via(|_| true, 1), keys(&[4]));
}

/// Guards against callers that wait for their timeout after a loss of power because one
/// agent, whose upstream had left before, says of each flow that it may hold it (1,172
/// such answers in an incident of vosknet-krkonose).
#[test]
fn an_agent_whose_upstream_does_not_run_holds_no_flow() {
    let now = std::time::Instant::now();
    let mut table = FlowTable::new(FlowTableSettings::default(), now);
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    assert_eq!(
        table.claim(&key, &seg, now),
        Claim::Perhaps,
        "not known yet"
    );
    table.record_absence(now);
    assert_eq!(table.claim(&key, &seg, now), Claim::No);
    table.set_upstream(Some(UpstreamStatus::listening()));
    assert_eq!(table.claim(&key, &seg, now), Claim::No);
    // One that has announced its end may hold it for a moment, and the announcement may
    // be a late one of an earlier run.
    let mut table = FlowTable::new(FlowTableSettings::default(), now);
    table.set_upstream(None);
    assert_eq!(table.claim(&key, &seg, now), Claim::Perhaps);
    table.set_upstream(Some(UpstreamStatus::listening()));
    assert_eq!(table.claim(&key, &seg, now), Claim::Perhaps);
}
