//! What an agent does with datagrams of its upstream's flows.

mod common;

use std::time::Duration;

use common::{agreement, answer, bounced, data, holder, opening};
use flow::{
    CallerAction, Claim, FlowTable, FlowTableSettings, Origin, Segment, UpstreamAction,
    UpstreamStatus,
};
use types::Slots;

/// First number of the upstream in these tests.
const FIRST: u32 = 5000;

/// A holder with the open flow of caller 1.
fn open() -> (FlowTable, std::time::Instant) {
    let (mut holder, now) = holder();
    assert_eq!(
        holder.caller_datagram(&opening(1), Origin::Placed, now),
        CallerAction::Deliver
    );
    let to_caller = UpstreamAction::ToCaller { learned: false };
    assert_eq!(
        holder.upstream_datagram(&agreement(1, FIRST), now),
        to_caller
    );
    (holder, now)
}

/// Guards against a flow that reaches an upstream which does not hold it.
#[test]
fn a_datagram_of_an_unknown_flow_is_not_delivered() {
    let (mut holder, now) = holder();
    let verdict = holder.caller_datagram(&data(1, 101, 1), Origin::Placed, now);
    assert_eq!(verdict, CallerAction::NotHeld);
}

/// Guards against the case where two upstreams answer copies of one opening:
/// the flow is open at the one whose number the caller acknowledges. A wide
/// range of numbers let one in 256 of such flows go to the wrong one, and was
/// seen as a broken flow on a grown deployment.
#[test]
fn a_caller_that_goes_on_with_another_upstream_is_not_delivered() {
    let (mut holder, now) = open();
    let cases = [
        (FIRST + 1, CallerAction::Deliver),
        (FIRST, CallerAction::Deliver),
        (FIRST + 3, CallerAction::NotHeld),
        (FIRST + (1 << 20), CallerAction::NotHeld),
        (FIRST - 1, CallerAction::NotHeld),
    ];
    for (ack, expected) in cases {
        let seg = data(1, 101, ack);
        let verdict = holder.caller_datagram(&seg, Origin::Held, now);
        assert_eq!(verdict, expected, "acknowledges {ack}");
        let claim = holder.claim(&seg.key_from_caller(), &seg, now);
        let holds = if expected == CallerAction::Deliver {
            Claim::Holds
        } else {
            Claim::No
        };
        assert_eq!(claim, holds, "acknowledges {ack}");
    }
}

/// Guards against a copy of the agreement that makes an agent forget how much
/// its upstream has sent: it then disowned the flow, which was tried at others
/// until it counted as broken (18 flows of a grown deployment).
#[test]
fn a_copy_of_the_agreement_takes_nothing_back() {
    let (mut holder, now) = open();
    holder.upstream_datagram(&answer(1, FIRST + 1), now);
    holder.upstream_datagram(&agreement(1, FIRST), now);
    let verdict = holder.caller_datagram(&data(1, 101, FIRST + 11), Origin::Held, now);
    assert_eq!(verdict, CallerAction::Deliver);
}

/// Guards against agents that offer to take any flow because they have just
/// started, though their upstreams started with them.
#[test]
fn an_agent_beside_a_new_upstream_knows_all_its_flows() {
    let (mut holder, now) = holder();
    let seg = data(1, 101, FIRST + 1);
    assert_eq!(holder.claim(&seg.key_from_caller(), &seg, now), Claim::No);
    let verdict = holder.caller_datagram(&seg, Origin::Tried, now);
    assert_eq!(verdict, CallerAction::NotHeld);
}

/// A holder whose agent has restarted.
fn beside_an_older_upstream() -> (FlowTable, std::time::Instant) {
    let now = std::time::Instant::now();
    let mut holder = FlowTable::new(FlowTableSettings::default(), now);
    let upstream = UpstreamStatus {
        started_before_agent: true,
        ..UpstreamStatus::ready(7, Slots(4))
    };
    holder.set_upstream(Some(upstream), now);
    (holder, now)
}

/// Guards against acknowledgements of later answers that are taken for another
/// upstream's.
#[test]
fn what_the_upstream_has_sent_may_be_acknowledged() {
    let (mut holder, now) = open();
    holder.upstream_datagram(&answer(1, FIRST + 1), now);
    let verdict = holder.caller_datagram(&data(1, 101, FIRST + 11), Origin::Held, now);
    assert_eq!(verdict, CallerAction::Deliver);
}

/// Guards against work for a leaving upstream, and for one that has gone.
#[test]
fn a_leaving_upstream_gets_no_new_flow_and_keeps_its_own() {
    let (mut holder, now) = open();
    let leaving = UpstreamStatus {
        accepting: false,
        ..UpstreamStatus::ready(7, Slots(4))
    };
    for upstream in [Some(leaving), None] {
        holder.set_upstream(upstream, now);
        let verdict = holder.caller_datagram(&opening(2), Origin::Placed, now);
        assert_eq!(verdict, CallerAction::PassOn);
        let verdict = holder.caller_datagram(&data(1, 101, FIRST + 1), Origin::Held, now);
        assert_eq!(verdict, CallerAction::Deliver);
    }
}

/// Guards against flows of an earlier run that are given to a new one.
#[test]
fn flows_of_an_earlier_run_are_broken_off() {
    let (mut holder, now) = open();
    holder.set_upstream(Some(UpstreamStatus::ready(8, Slots(4))), now);
    let verdict = holder.caller_datagram(&data(1, 101, FIRST + 1), Origin::Held, now);
    assert_eq!(verdict, CallerAction::Reset);
    let seg = data(3, 101, 1);
    assert_eq!(holder.claim(&seg.key_from_caller(), &seg, now), Claim::No);
}

/// Guards against callers that wait for an upstream which crashed silently.
#[test]
fn a_silent_upstream_gets_no_new_flow_but_a_probe() {
    let (mut holder, now) = holder();
    assert_eq!(
        holder.caller_datagram(&opening(1), Origin::Placed, now),
        CallerAction::Deliver
    );
    let later = now + Duration::from_millis(200);
    assert!(holder.is_unresponsive(later));
    assert_eq!(
        holder.caller_datagram(&opening(2), Origin::Placed, later),
        CallerAction::Deliver
    );
    assert_eq!(
        holder.caller_datagram(&opening(3), Origin::Placed, later),
        CallerAction::PassOn
    );
    holder.upstream_datagram(&agreement(2, FIRST), later);
    assert_eq!(
        holder.caller_datagram(&opening(4), Origin::Placed, later),
        CallerAction::Deliver
    );
}

/// Guards against a queue at one upstream beside free slots at others, and
/// against datagrams that are passed around among full ones.
#[test]
fn a_full_upstream_passes_on_once() {
    let (mut holder, now) = holder();
    for n in 1..=4 {
        holder.caller_datagram(&opening(n), Origin::Placed, now);
        holder.upstream_datagram(&agreement(n, FIRST), now);
    }
    assert!(holder.is_full(now));
    assert_eq!(
        holder.caller_datagram(&opening(5), Origin::Placed, now),
        CallerAction::PassOn
    );
    assert_eq!(
        holder.caller_datagram(&opening(5), Origin::Passed, now),
        CallerAction::Deliver
    );
}

/// Guards against an agent that starts beside a living upstream and never
/// learns its flows, and against one that keeps a flow of another upstream.
#[test]
fn a_restarted_agent_learns_from_what_its_upstream_does() {
    let (mut holder, now) = beside_an_older_upstream();
    let seg = data(1, 101, FIRST + 1);
    let key = seg.key_from_caller();
    assert_eq!(holder.claim(&key, &seg, now), Claim::Perhaps);
    assert_eq!(
        holder.caller_datagram(&seg, Origin::Tried, now),
        CallerAction::Deliver
    );
    assert!(holder.is_tried(&key));
    let learned = UpstreamAction::ToCaller { learned: true };
    assert_eq!(
        holder.upstream_datagram(&answer(1, FIRST + 1), now),
        learned
    );
    assert_eq!(holder.claim(&key, &seg, now), Claim::Holds);

    let seg = data(2, 101, FIRST + 1);
    assert_eq!(
        holder.caller_datagram(&seg, Origin::Tried, now),
        CallerAction::Deliver
    );
    assert_eq!(
        holder.upstream_datagram(&bounced(seg), now),
        UpstreamAction::NotHeld
    );
    assert_eq!(holder.claim(&seg.key_from_caller(), &seg, now), Claim::No);
    assert_eq!(
        holder.caller_datagram(&seg, Origin::Tried, now),
        CallerAction::NotHeld
    );
}

/// Guards against a caller that waits for an upstream which has restarted under
/// the eyes of its agent.
#[test]
fn a_flow_that_the_upstream_has_lost_is_broken_off() {
    let (mut holder, now) = open();
    let seg = data(1, 101, FIRST + 1);
    assert_eq!(
        holder.upstream_datagram(&bounced(seg), now),
        UpstreamAction::Reset
    );
    assert_eq!(
        holder.caller_datagram(&seg, Origin::Held, now),
        CallerAction::Reset
    );
}

/// Guards against an opening that the upstream returned and nobody answers.
#[test]
fn an_opening_that_comes_back_is_passed_on() {
    let (mut holder, now) = holder();
    holder.caller_datagram(&opening(1), Origin::Placed, now);
    let back = bounced(opening(1));
    assert_eq!(holder.upstream_datagram(&back, now), UpstreamAction::PassOn);
    assert_eq!(holder.upstream_datagram(&back, now), UpstreamAction::Drop);
}

/// Guards against memory that grows with every flow that ever was.
#[test]
fn idle_and_closed_flows_are_forgotten() {
    let (mut holder, now) = open();
    let settings = FlowTableSettings::default();
    holder.expire(now + settings.idle_timeout / 2);
    assert_eq!(holder.load(now).open_flows, 1);
    holder.expire(now + settings.idle_timeout);
    assert_eq!(holder.load(now).open_flows, 0);
}

/// Guards against a cold upstream that is given as much as a warm one.
#[test]
fn a_cold_upstream_is_given_half() {
    let (mut holder, now) = holder();
    let warm_at = now + Duration::from_secs(2);
    let cold = UpstreamStatus {
        slow_start_until: Some(warm_at),
        ..UpstreamStatus::ready(7, Slots(7))
    };
    holder.set_upstream(Some(cold), now);
    assert_eq!(holder.slots(now), Slots(4));
    assert_eq!(holder.slots(warm_at), Slots(7));
    holder.set_upstream(None, now);
    assert_eq!(holder.slots(now), Slots(0));
}

/// Guards against balancers that are told of flows of others, or of flows that
/// are over.
#[test]
fn flows_are_told_by_the_balancer_that_took_them() {
    let (mut holder, now) = holder();
    for n in 1..=4 {
        let at = now + Duration::from_millis(n.into());
        holder.caller_datagram(&opening(n), Origin::Placed, at);
        holder.upstream_datagram(&agreement(n, 500), at);
        let via = common::address(if n == 3 { 9 } else { 8 });
        holder.set_via(&opening(n).key_from_caller(), via);
    }
    let reset = Segment {
        resets: true,
        opens: false,
        ..agreement(1, 501)
    };
    holder.upstream_datagram(&reset, now);
    let via = |address| holder.flows_via(|via| via == address, 10);
    let keys = |flows: &[u8]| -> Vec<_> {
        flows
            .iter()
            .map(|n| opening(*n).key_from_caller())
            .collect()
    };
    assert_eq!(via(common::address(8)), keys(&[4, 2]));
    assert_eq!(via(common::address(9)), keys(&[3]));
    assert_eq!(holder.flows_via(|_| true, 1), keys(&[4]));
}
