//! The load of callers that all return after an outage, at one upstream.
//!
//! The load stands for the seconds after a loss of power on a deployment with two
//! slots an upstream: each caller that waited opens a flow at once, while fresh
//! flows go on arriving, and a cold upstream serves them little faster than they
//! come.

mod common;

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use common::opening;
use flow::{OpeningQueue, OpeningQueueSettings, Segment, ServicePace};
use types::{Priority, RequestTargets};

const SLOTS: usize = 2;
/// Requests that the upstream queues itself; it rejects those beyond.
const UPSTREAM_QUEUE: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(27);
const OBJECTIVE: Duration = Duration::from_millis(120);
/// Callers that return at once, whose first datagrams are up to this old.
const RETURNING: u8 = 40;
const OUTAGE: Duration = Duration::from_millis(600);
/// Fresh flows, and the time between two of them.
const FRESH: u8 = 80;
const FRESH_INTERVAL: Duration = Duration::from_millis(20);

/// A flow of the load.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    seg: Segment,
    at: Instant,
    first_sent_at: Instant,
}

/// What callers get.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    in_objective: u32,
    late: u32,
    /// Refused by the queue, without having run.
    refused: u32,
    /// Rejected by the upstream.
    rejected: u32,
    /// Still waiting when the caller gave up.
    abandoned: u32,
    /// Longest time from the arrival of a flow to its refusal.
    slowest_refusal: Duration,
}

fn load(start: Instant) -> Vec<Arrival> {
    let returning = (0..RETURNING).map(|n| {
        let waited = OUTAGE * u32::from(n) / u32::from(RETURNING);
        let seg = Segment {
            waited,
            ..opening(n)
        };
        Arrival {
            seg,
            at: start,
            first_sent_at: start.checked_sub(waited).unwrap(),
        }
    });
    let fresh = (0..FRESH).map(|n| {
        let at = start + FRESH_INTERVAL * u32::from(n);
        Arrival {
            seg: opening(RETURNING + n),
            at,
            first_sent_at: at,
        }
    });
    returning.chain(fresh).collect()
}

fn targets() -> RequestTargets {
    RequestTargets {
        objective: OBJECTIVE,
        timeout: Duration::from_millis(1500),
        priority: Priority(1),
    }
}

/// Plays the load in steps of a millisecond. Without a `queue`, each flow goes to
/// the upstream at once.
fn play(mut queue: Option<OpeningQueue<Arrival>>) -> Outcome {
    let start = Instant::now() + Duration::from_mins(1);
    let mut arrivals: VecDeque<Arrival> = load(start).into();
    let mut serving: BTreeMap<(Instant, u16), Arrival> = BTreeMap::new();
    let mut upstream_queue: VecDeque<Arrival> = VecDeque::new();
    let mut pace = ServicePace::default();
    let mut outcome = Outcome::default();
    let mut served = 0;
    for step in 0..5000 {
        let now = start + Duration::from_millis(step);
        while serving
            .first_key_value()
            .is_some_and(|((end, _), _)| *end <= now)
        {
            let ((end, _), flow) = serving.pop_first().unwrap();
            if end <= flow.first_sent_at + OBJECTIVE {
                outcome.in_objective += 1;
            } else {
                outcome.late += 1;
            }
            let waiting = queue.as_ref().map_or(0, OpeningQueue::len);
            pace.record_answer(serving.len() + upstream_queue.len() + waiting >= SLOTS, now);
        }
        while arrivals.front().is_some_and(|arrival| arrival.at <= now) {
            let arrival = arrivals.pop_front().unwrap();
            match &mut queue {
                Some(queue) => queue.push(&arrival.seg, now, targets(), arrival),
                None if upstream_queue.len() < UPSTREAM_QUEUE => upstream_queue.push_back(arrival),
                None => outcome.rejected += 1,
            }
        }
        if let Some(queue) = &mut queue {
            while serving.len() + upstream_queue.len() < 2 * SLOTS {
                let Some(flow) = queue.pop(pace.interval(), now) else {
                    break;
                };
                upstream_queue.push_back(flow);
            }
            for flow in queue.take_hopeless(pace.interval(), now) {
                outcome.refused += 1;
                outcome.slowest_refusal = outcome.slowest_refusal.max(now - flow.at);
            }
        }
        while serving.len() < SLOTS {
            let Some(flow) = upstream_queue.pop_front() else {
                break;
            };
            if now > flow.first_sent_at + Duration::from_millis(1400) {
                outcome.abandoned += 1;
                continue;
            }
            served += 1;
            serving.insert((now + SERVICE_TIME, served), flow);
        }
    }
    outcome
}

/// Guards against callers that are all answered late after an outage: with a queue
/// in the order of arrival, those that waited through the outage, whose objective
/// is missed whatever happens, made the fresh ones late too.
#[test]
fn fresh_flows_are_served_in_their_objective_beside_returning_ones() {
    let at_once = play(None);
    let queued = play(Some(OpeningQueue::new(OpeningQueueSettings::default())));
    let flows = u32::from(RETURNING + FRESH);
    assert_eq!(
        queued.in_objective + queued.late + queued.refused + queued.abandoned,
        flows
    );
    // Nine in ten of the fresh flows.
    assert!(queued.in_objective * 10 >= u32::from(FRESH) * 9);
    assert!(queued.in_objective >= at_once.in_objective);
    // A fifth more of all flows are served than by the upstream's own queue, which
    // rejects what it has no room for.
    let served = |outcome: &Outcome| outcome.in_objective + outcome.late;
    assert!(served(&queued) * 5 >= served(&at_once) * 6, "{queued:?}");
    assert_eq!((queued.rejected, queued.abandoned), (0, 0));
    // No caller waits for its refusal until it gives up.
    assert!(queued.slowest_refusal < Duration::from_millis(1400));
}

/// A queue with one flow for each of these ages and targets, numbered from 1.
fn queue_of(flows: &[(Duration, RequestTargets)]) -> (OpeningQueue<u8>, Instant) {
    let now = Instant::now() + Duration::from_mins(1);
    let mut queue = OpeningQueue::new(OpeningQueueSettings::default());
    for (n, (waited, targets)) in (1..).zip(flows) {
        let seg = Segment {
            waited: *waited,
            ..opening(n)
        };
        queue.push(&seg, now, *targets, n);
    }
    (queue, now)
}

fn drain(queue: &mut OpeningQueue<u8>, now: Instant) -> Vec<u8> {
    std::iter::from_fn(|| queue.pop(SERVICE_TIME, now)).collect()
}

/// Guards against an urgent flow that waits behind others, and against slots for
/// flows whose objective is missed while others can still meet theirs.
#[test]
fn urgent_flows_that_can_meet_their_objective_go_first() {
    let urgent = RequestTargets {
        priority: Priority(0),
        ..targets()
    };
    let ms = Duration::from_millis;
    let (mut queue, now) = queue_of(&[
        (ms(600), targets()),
        (ms(0), targets()),
        (ms(200), urgent),
        (ms(0), urgent),
        (ms(200), targets()),
    ]);
    assert_eq!(drain(&mut queue, now), [4, 2, 3, 5, 1]);
}

/// Guards against a caller that waits until it gives up although no slot can be
/// free before.
#[test]
fn a_flow_that_no_slot_can_serve_is_refused_at_once() {
    let ms = Duration::from_millis;
    let flows = [
        (ms(600), targets()),
        (ms(0), targets()),
        (ms(200), targets()),
    ];
    let (mut queue, now) = queue_of(&flows);
    assert!(queue.take_hopeless(ms(300), now).is_empty());
    // The last in order has 800 ms left, and its slot comes in 1000 ms.
    assert_eq!(queue.take_hopeless(ms(500), now), [1]);
    assert_eq!(drain(&mut queue, now), [2, 3]);
}

/// Guards against a flow that is delivered twice because a copy of its opening
/// datagram waits as well.
#[test]
fn a_copy_takes_the_place_of_the_earlier_one() {
    let (mut queue, now) = queue_of(&[(Duration::ZERO, targets())]);
    queue.push(&opening(1), now, targets(), 2);
    assert_eq!(drain(&mut queue, now), [2]);
}

/// Guards against a queue that grows without a bound.
#[test]
fn a_full_queue_refuses_the_last_in_order() {
    let settings = OpeningQueueSettings {
        max_waiting: 2,
        ..OpeningQueueSettings::default()
    };
    let now = Instant::now() + Duration::from_mins(1);
    let mut queue = OpeningQueue::new(settings);
    for n in 1..=3 {
        let seg = Segment {
            waited: Duration::from_millis(200) * u32::from(n),
            ..opening(n)
        };
        queue.push(&seg, now, targets(), n);
    }
    assert_eq!(queue.take_hopeless(Duration::from_millis(1), now), [3]);
}

/// Guards against an agent that ends because operators state a timeout that no instant
/// can hold.
#[test]
fn targets_of_any_length_are_accepted() {
    let endless = RequestTargets {
        objective: Duration::from_millis(u64::MAX),
        timeout: Duration::from_millis(u64::MAX),
        priority: Priority(u8::MAX),
    };
    let (mut queue, now) = queue_of(&[(Duration::ZERO, endless)]);
    assert_eq!(queue.waiting_in_time(SERVICE_TIME, now), 1);
    assert!(queue.take_hopeless(SERVICE_TIME, now).is_empty());
    assert_eq!(drain(&mut queue, now), [1]);
}
