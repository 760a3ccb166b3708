//! Requests on open flows that wait for a slot together with openings.

mod common;

use std::time::{Duration, Instant};

use common::{agreement, answer, data, flow_table, opening, service_address};
use flow::{
    FlowTable, NextWaiting, OpeningQueue, OpeningQueueSettings, Origin, RequestQueue, Segment,
};
use types::{Priority, RequestTargets};

/// Initial sequence number of the upstream.
const INITIAL_SEQ: u32 = 5000;

fn targets(priority: u8) -> RequestTargets {
    RequestTargets {
        objective: Duration::from_millis(250),
        timeout: Duration::from_millis(1500),
        priority: Priority(priority),
    }
}

/// The first request of caller `n`, and the further one.
fn request(n: u8, number: u32) -> Segment {
    data(n, 101 + number * 10, INITIAL_SEQ + 1)
}

/// Opens a flow and passes its first request.
fn open_with_request(table: &mut FlowTable, n: u8, now: Instant) {
    table.accept_opening(&opening(n), now);
    table.upstream_datagram(&agreement(n, INITIAL_SEQ), now);
    assert!(!table.exceeds_admissions(&request(n, 0), now));
    table.caller_datagram(&request(n, 0), Origin::Held, now);
}

fn queues() -> (RequestQueue<u8>, OpeningQueue<u8>, Instant) {
    let settings = OpeningQueueSettings::default();
    let mut requests = RequestQueue::default();
    requests.set_targets(service_address(), targets(2));
    (requests, OpeningQueue::new(settings), Instant::now())
}

const PACE: Duration = Duration::from_millis(10);

/// Guards against requests on open flows that fill the upstream's own queue, and against
/// a flow whose first request waits although its opening was admitted.
#[test]
fn a_further_request_waits_while_the_upstream_is_full() {
    let (mut table, now) = flow_table();
    open_with_request(&mut table, 0, now);
    table.upstream_datagram(&answer(0, INITIAL_SEQ + 1), now);
    assert!(!table.exceeds_admissions(&request(0, 1), now));
    // Four slots, and as many requests on their way.
    for n in 1..=8 {
        open_with_request(&mut table, n, now);
    }
    assert!(table.exceeds_admissions(&request(0, 1), now));
    let end = Segment {
        ends: true,
        ..request(0, 1)
    };
    let part = Segment {
        len: 1200,
        ..request(0, 1)
    };
    let acknowledgement = Segment {
        len: 0,
        ..request(0, 1)
    };
    for other in [end, part, acknowledgement, request(0, 0), request(1, 1)] {
        assert!(!table.exceeds_admissions(&other, now), "{other:?}");
    }
    table.upstream_datagram(&answer(1, INITIAL_SEQ + 1), now);
    assert!(!table.exceeds_admissions(&request(0, 1), now));
}

/// Guards against orders that wait behind feeds, and feeds that starve behind openings
/// of their own priority.
#[test]
fn openings_and_requests_share_one_order() {
    let (mut requests, mut openings, now) = queues();
    openings.push(&opening(1), now, targets(1), 1);
    requests.push(&request(2, 1), 2, now);
    openings.push(&opening(3), now, targets(3), 3);
    let mut pop = || requests.pop(&mut openings, PACE, now);
    assert_eq!(pop(), Some(NextWaiting::Opening(1)));
    assert_eq!(pop(), Some(NextWaiting::Request(2)));
    assert_eq!(pop(), Some(NextWaiting::Opening(3)));
    assert_eq!(pop(), None);
    assert!(requests.is_empty());
}

/// Guards against a request that waits for longer than its caller's first retransmission
/// after 200 ms, or that copies prolong or deliver twice.
#[test]
fn a_request_waits_for_150_ms_at_most() {
    let (mut requests, mut openings, now) = queues();
    requests.push(&request(1, 1), 1, now);
    let copied_at = now + Duration::from_millis(100);
    requests.push(&request(1, 1), 2, copied_at);
    assert_eq!(requests.len(), 1);
    let limit = now + Duration::from_millis(150);
    let mut overdue = |until| requests.pop_overdue(&mut openings, PACE, now, until);
    assert_eq!(overdue(limit), None);
    let past_limit = limit + Duration::from_millis(1);
    assert_eq!(overdue(past_limit), Some(2));
    assert_eq!(overdue(past_limit), None);
    requests.push(&request(1, 1), 3, now);
    requests.remove_copy(&request(1, 1));
    assert!(requests.is_empty());
}

/// Guards against requests on open flows that starve behind openings with a higher
/// priority, which are in another queue.
#[test]
fn a_request_gets_an_eighth_of_the_slots_of_openings_that_overtake_it() {
    let (mut requests, _, now) = queues();
    let mut openings = OpeningQueue::new(OpeningQueueSettings {
        fair_queueing: true,
        ..OpeningQueueSettings::default()
    });
    requests.push(&request(100, 1), 100, now);
    for n in 0..16 {
        openings.push(&opening(n), now, targets(1), n);
    }
    let pop = || requests.pop(&mut openings, PACE, now);
    let served: Vec<NextWaiting<u8>> = std::iter::from_fn(pop).collect();
    assert_eq!(served[8], NextWaiting::Request(100));
    assert_eq!(served.len(), 17);
}

/// Guards against urgent openings that get no place while requests on open flows, which
/// must be delivered, take every one, and against requests that wait for all openings.
#[test]
fn overdue_requests_let_as_many_more_urgent_openings_go_first() {
    let (mut requests, mut openings, now) = queues();
    requests.push(&request(1, 1), 1, now);
    requests.push(&request(2, 1), 2, now);
    for n in 3..=5 {
        openings.push(&opening(n), now, targets(1), n);
    }
    openings.push(&opening(6), now, targets(3), 6);
    let until = now + Duration::from_secs(1);
    let mut take = |max| {
        let openings = &mut openings;
        requests.take_openings_before_overdue(openings, PACE, now, until, max)
    };
    // As a cold limit may have it.
    assert_eq!(take(0), []);
    let taken = take(usize::MAX);
    assert_eq!(taken.len(), 2);
    assert!(taken.iter().all(|n| (3..=5).contains(n)));
    assert_eq!(requests.len(), 2);
    assert_eq!(openings.len(), 2);
}

/// Guards against an upstream that gets an end of a flow, or its next request, before the
/// request that waits.
#[test]
fn a_later_datagram_of_the_flow_releases_its_request() {
    let (mut requests, _, now) = queues();
    requests.push(&request(1, 1), 1, now);
    let acknowledgement = Segment {
        len: 0,
        ..request(1, 2)
    };
    assert_eq!(requests.take_before(&acknowledgement), None);
    assert_eq!(requests.take_before(&request(1, 1)), None);
    assert_eq!(requests.take_before(&request(1, 2)), Some(1));
    assert!(requests.is_empty());
}

/// Guards against flows that are refused although an agent can serve them, and against
/// others that are forwarded to no avail.
#[test]
fn a_flow_must_get_its_slot_before_its_caller_gives_up() {
    let (_, openings, now) = queues();
    let can_serve = |waited_ms, wait_ms| {
        let seg = Segment {
            waited: Duration::from_millis(waited_ms),
            ..opening(1)
        };
        let wait = Duration::from_millis(wait_ms);
        openings.can_serve(&seg, now, targets(1), wait, now)
    };
    // The caller gives up after 1400 ms, and two round trips take 25 ms.
    assert!(can_serve(0, 1374));
    assert!(!can_serve(0, 1375));
    assert!(can_serve(600, 774));
    assert!(!can_serve(600, 775));
}
