//! New flows at a cold upstream.

mod common;

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use arbtest::arbtest;
use common::{agreement, bounced, data, opening, service_address};
use flow::{
    CallerAction, ColdBound, FlowTable, FlowTableSettings, Origin, Segment, UpstreamAction,
    UpstreamStatus,
};
use types::{RequestRate, ServiceLimits, Slots};

/// Number of random cases; the case number is the seed.
const CASES: u64 = 128;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 8192;

const SECOND: Duration = Duration::from_secs(1);

/// The bound of the page: 1.5 times the rate, and 5.
fn bound() -> ColdBound {
    ColdBound::new(1.5, 5.0).unwrap()
}

fn limits(rate: f64) -> ServiceLimits {
    ServiceLimits {
        cold_rate: RequestRate::from_per_second(rate),
    }
}

fn cold(now: Instant, span: Duration) -> UpstreamStatus {
    UpstreamStatus {
        slow_start_until: Some(now + span),
        ..UpstreamStatus::ready(7, Slots(1000))
    }
}

/// An agent that has just started beside an upstream that did not run before.
fn new_table(bound: Option<ColdBound>) -> (FlowTable, Instant) {
    let now = Instant::now();
    let settings = FlowTableSettings {
        cold_bound: bound,
        // The upstream of these tests answers nothing.
        response_timeout: Duration::from_hours(1),
        ..FlowTableSettings::default()
    };
    let mut table = FlowTable::new(settings, now);
    table.set_upstream(None);
    (table, now)
}

/// The table of a cold upstream whose service states `rate`.
fn cold_table(rate: f64, span: Duration) -> (FlowTable, Instant) {
    let (mut table, now) = new_table(Some(bound()));
    table.set_limits(limits(rate));
    table.set_upstream(Some(cold(now, span)));
    (table, now)
}

/// The opening datagram of flow `n`.
fn flow(n: u32) -> Segment {
    let caller = SocketAddrV4::new((0x6440_0000 + n).into(), 40_000);
    Segment {
        source: caller,
        destination: service_address(),
        ..opening(0)
    }
}

/// Offers flows one after the other until one is not delivered. Returns their number.
fn fill(table: &mut FlowTable, first: u32, now: Instant) -> u32 {
    let accepted = |n: &u32| {
        let verdict = table.caller_datagram(&flow(first + n), Origin::Passed, now);
        verdict == CallerAction::Deliver
    };
    (0..2000).take_while(accepted).count().try_into().unwrap()
}

/// Largest number of instants in any span of a second, both ends included.
fn most_in_a_second(delivered: &[Instant]) -> usize {
    let in_span = |from: &Instant| {
        let in_span = |at: &&Instant| **at >= *from && **at <= *from + SECOND;
        delivered.iter().filter(in_span).count()
    };
    delivered.iter().map(in_span).max().unwrap_or(0)
}

/// Guards against a cold upstream that gets more flows in some span of a second than the
/// bound, at any rate, for any arrivals, and when the limits of the service change
/// meanwhile.
#[test]
fn no_span_of_a_second_has_more_flows_than_the_bound() {
    for case in 0..CASES {
        arbtest(|u| {
            let rates = [0.2, 1.0, 4.5, 20.0, 90.0];
            let rate = *u.choose(&rates)?;
            let bound = ColdBound::new(
                f64::from(u.int_in_range(0..=30)?) / 10.0,
                f64::from(u.int_in_range(0..=12)?),
            );
            let bound = bound.unwrap();
            let (mut table, start) = new_table(Some(bound));
            table.set_upstream(Some(cold(start, 60 * SECOND)));
            let mut delivered = Vec::new();
            let mut now = start;
            for n in 0..600 {
                if n == 20 {
                    table.set_limits(limits(rate));
                }
                now += Duration::from_millis(u.int_in_range(0..=30)?);
                let origin = *u.choose(&[Origin::Placed, Origin::Passed])?;
                let seg = flow(u.int_in_range(0..=n)?);
                // Copies of a flow that the upstream has are not new ones.
                let is_copy = table.claim(&seg.key_from_caller(), &seg, now) == flow::Claim::Holds;
                let verdict = table.caller_datagram(&seg, origin, now);
                if verdict == CallerAction::Deliver && !is_copy {
                    delivered.push(now);
                    if u.ratio(1, 4)? {
                        table.upstream_datagram(&bounced(seg), now);
                    }
                }
            }
            let most = bound.max_flows(RequestRate::from_per_second(rate));
            assert!(most_in_a_second(&delivered) <= most, "{rate} {bound:?}");
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}

/// Guards against a limit that holds back more than the stated rate asks for, or that
/// delivers a second's flows at once, so that the last of them wait a second beside free
/// slots.
#[test]
fn flows_are_delivered_evenly_at_the_stated_rate() {
    for rate in [2_u32, 20, 90] {
        let (mut table, start) = cold_table(f64::from(rate), 60 * SECOND);
        let mut delivered = 0;
        let mut most_at_once = 0;
        for ms in 0..10_000 {
            let now = start + Duration::from_millis(ms);
            let accepted = fill(&mut table, delivered, now);
            delivered += accepted;
            most_at_once = most_at_once.max(accepted);
        }
        let wanted = rate * 10;
        assert!(delivered * 20 >= wanted * 19, "{rate}: {delivered}");
        assert!(delivered <= wanted + rate.div_ceil(10), "{delivered}");
        assert!(most_at_once <= rate.div_ceil(10), "{most_at_once}");
    }
}

/// Guards against a limit where none is asked for: no bound in the settings, no rate of
/// the service, or a warm upstream.
#[test]
fn nothing_is_limited_without_a_bound_a_rate_or_a_cold_upstream() {
    let (mut table, now) = new_table(None);
    table.set_limits(limits(2.0));
    table.set_upstream(Some(cold(now, SECOND)));
    assert_eq!(fill(&mut table, 0, now), 2000, "no bound");

    let (mut table, now) = new_table(Some(bound()));
    table.set_limits(ServiceLimits::default());
    table.set_upstream(Some(cold(now, SECOND)));
    assert_eq!(fill(&mut table, 0, now), 2000, "no rate");
    assert!(!table.is_held_by_cold_limit(now));

    let (mut table, now) = cold_table(2.0, SECOND);
    assert_eq!(fill(&mut table, 0, now), 1);
    assert!(table.is_held_by_cold_limit(now));
    assert_eq!(
        table.next_cold_admission_at(now),
        Some(now + Duration::from_millis(500))
    );
    assert_eq!(fill(&mut table, 10, now + SECOND), 2000, "past its start");
}

/// Guards against flows in excess of the bound from the copies of one opening that are
/// counted as none of them, and against a limit that copies use up.
#[test]
fn only_the_first_delivery_of_an_opening_counts() {
    let (mut table, now) = cold_table(1.0, 60 * SECOND);
    let deliver = |table: &mut FlowTable, n, now| {
        table.caller_datagram(&flow(n), Origin::Passed, now) == CallerAction::Deliver
    };
    assert!(deliver(&mut table, 1, now));
    assert!(deliver(&mut table, 1, now + SECOND / 5), "a copy");
    assert!(!deliver(&mut table, 2, now + SECOND * 9 / 10));
    assert!(deliver(&mut table, 2, now + SECOND));
    // An opening that the upstream returned took part of the limit too.
    let verdict = table.upstream_datagram(&bounced(flow(2)), now + SECOND);
    assert_eq!(verdict, UpstreamAction::PassOn);
    assert!(!deliver(&mut table, 3, now + SECOND * 3 / 2));
}

/// Guards against a flow that is passed on among cold upstreams for ever, and against one
/// that waits here beside an upstream with free slots.
#[test]
fn a_held_opening_is_passed_on_once_and_then_waits() {
    let (mut table, now) = cold_table(1.0, 60 * SECOND);
    assert_eq!(fill(&mut table, 0, now), 1);
    let verdict = table.caller_datagram(&flow(5), Origin::Placed, now);
    assert_eq!(verdict, CallerAction::PassOn);
    let verdict = table.caller_datagram(&flow(5), Origin::Passed, now);
    assert_eq!(verdict, CallerAction::Wait);
    assert_eq!(table.free_admissions(now), 0);
    // A flow that waits has a second to go.
    let (first, interval) = table.admission_schedule(now);
    assert_eq!((first, interval), (now + SECOND, SECOND));
}

/// Guards against balancers that place more flows on a cold upstream than it may get,
/// because it reports all its slots.
#[test]
fn reports_have_fewer_slots_while_the_upstream_is_cold() {
    let (mut table, now) = cold_table(20.0, 60 * SECOND);
    let (slots, load) = table.reported_load(0, now);
    assert_eq!((slots, load.busy_requests), (Slots(2), 0));
    assert_eq!(fill(&mut table, 0, now), 2);
    let (slots, load) = table.reported_load(0, now);
    assert_eq!((slots, load.busy_requests), (Slots(2), 2));
    // The flows have neither been answered nor sent a request; they take no slot now.
    let later = now + Duration::from_millis(70);
    let (slots, load) = table.reported_load(3, later);
    assert_eq!((slots, load.busy_requests), (Slots(1), 4));
    let warm = now + 61 * SECOND;
    assert_eq!(table.reported_load(0, warm).0, Slots(1000));
}

/// Guards against a restarted agent that fills a cold upstream because it does not know
/// it: its former process may have delivered flows a moment ago, and its first policy and
/// its upstream's announcement come later.
#[test]
fn a_restarted_agent_assumes_a_cold_upstream() {
    let start = Instant::now();
    let settings = FlowTableSettings {
        cold_bound: Some(bound()),
        ..FlowTableSettings::default()
    };
    let restarted = || {
        let mut table = FlowTable::new(settings, start);
        table.set_upstream(Some(UpstreamStatus::listening()));
        table
    };
    let unseen = Duration::from_millis(1100);
    let mut table = restarted();
    assert_eq!(fill(&mut table, 0, start), 0);
    assert_eq!(fill(&mut table, 0, start + unseen), 4, "two for each slot");

    let mut table = restarted();
    table.set_limits(limits(20.0));
    assert_eq!(fill(&mut table, 0, start + SECOND), 0);
    assert_eq!(fill(&mut table, 0, start + unseen), 2, "the rate is known");

    let mut table = restarted();
    table.set_limits(ServiceLimits::default());
    assert_eq!(fill(&mut table, 0, start), 4, "no rate is stated");

    let mut table = restarted();
    table.set_limits(limits(20.0));
    let warm = UpstreamStatus::ready(7, Slots(10));
    table.set_upstream(Some(warm));
    assert_eq!(fill(&mut table, 0, start), 20, "the upstream is warm");

    let mut table = restarted();
    table.set_limits(limits(20.0));
    table.record_absence(start);
    table.set_upstream(Some(UpstreamStatus::listening()));
    assert_eq!(fill(&mut table, 0, start), 2, "the upstream did not run");
}

/// Guards against an upstream that restarts unnoticed and gets flows as a warm one until
/// its next announcement.
#[test]
fn an_upstream_that_may_have_restarted_is_cold_until_its_announcement() {
    let warm = UpstreamStatus::ready(7, Slots(1000));
    let warm_table = || {
        let (mut table, now) = cold_table(20.0, SECOND);
        table.set_upstream(Some(warm));
        table.caller_datagram(&opening(1), Origin::Placed, now);
        table.upstream_datagram(&agreement(1, 5000), now);
        (table, now)
    };
    let (mut table, now) = warm_table();
    assert_eq!(fill(&mut table, 0, now), 2000);

    let (mut table, now) = warm_table();
    let lost = bounced(data(1, 101, 5001));
    assert_eq!(table.upstream_datagram(&lost, now), UpstreamAction::Reset);
    assert_eq!(fill(&mut table, 0, now + SECOND), 2, "a lost flow");
    table.set_upstream(Some(warm));
    // Two flows take a slot each.
    assert_eq!(fill(&mut table, 100, now + SECOND), 1998);

    let (mut table, now) = warm_table();
    table.caller_datagram(&flow(50), Origin::Placed, now);
    let later = now + Duration::from_hours(1);
    table.upstream_datagram(&agreement(1, 9000), later);
    assert_eq!(fill(&mut table, 100, later), 2, "a pause");
    let copy = table.caller_datagram(&flow(50), Origin::Passed, later);
    assert_eq!(copy, CallerAction::Wait, "a copy that may be the first");
}
