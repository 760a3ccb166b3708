//! What a balancer remembers of flows.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{SERVICE, address, data, no_routes, opening, payload, ready};
use flow::{Claim, DropReason, Origin, Steering, SteeringDecision};

fn to(steer: &SteeringDecision) -> (std::net::SocketAddrV4, Origin) {
    match steer {
        SteeringDecision::Forward { agent, origin, .. } => (*agent, *origin),
        other => panic!("{other:?}"),
    }
}

fn steer(
    steering: &mut Steering,
    seg: &flow::Segment,
    now: std::time::Instant,
) -> SteeringDecision {
    steering.steer(seg, &Bytes::new(), now)
}

/// Guards against copies of one opening that reach several upstreams.
#[test]
fn copies_of_an_opening_go_to_one_agent() {
    let (mut steering, now) = ready(5);
    let first = to(&steer(&mut steering, &opening(1), now));
    for copy in 1..3 {
        let mut seg = opening(1);
        seg.ack = copy;
        assert_eq!(to(&steer(&mut steering, &seg, now)), first);
    }
    assert_eq!(to(&steer(&mut steering, &data(1, 101, 1), now)).0, first.0);
}

/// Guards against a caller whose opening waits for an agent that has died.
#[test]
fn a_copy_goes_elsewhere_once_its_agent_is_silent() {
    let (mut steering, now) = ready(2);
    let (first, _) = to(&steer(&mut steering, &opening(1), now));
    let later = now + Duration::from_secs(2);
    let other = if first == address(1) {
        address(2)
    } else {
        address(1)
    };
    let pool = steering.pool(&SERVICE.parse().unwrap());
    pool.get_mut(other).unwrap().reported_at = later;
    assert_eq!(to(&steer(&mut steering, &opening(1), later)).0, other);
}

/// Guards against a wrong hint that is followed again and again.
#[test]
fn a_hint_that_was_wrong_is_forgotten_and_the_holder_found() {
    let (mut steering, now) = ready(3);
    let (wrong, _) = to(&steer(&mut steering, &opening(1), now));
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    let back = steering.handle_not_held(key, wrong, payload("first"), now);
    assert!(matches!(back, SteeringDecision::Query(_)));
    assert_eq!(
        steering.steer(&seg, &payload("second"), now),
        SteeringDecision::Queued
    );
    let holder = address(if wrong == address(3) { 2 } else { 3 });
    let released = steering.handle_claim(key, holder, Claim::Holds, now);
    let texts: Vec<&[u8]> = released.iter().map(|r| &r.payload[..]).collect();
    assert_eq!(texts, [b"first".as_slice(), b"second"]);
    assert_eq!(to(&steer(&mut steering, &seg, now)), (holder, Origin::Held));
}

/// Guards against a flow that reaches three upstreams that do not hold it.
#[test]
fn at_most_two_agents_are_tried_in_a_while() {
    let (mut steering, mut now) = ready(5);
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    let start = now;
    let mut tried = 0;
    while now < start + Duration::from_millis(2200) {
        steer(&mut steering, &seg, now);
        for n in 1..=5 {
            steering.handle_claim(key, address(n), Claim::Perhaps, now);
        }
        let wider = steering.end_searches(now);
        tried += wider.released.len();
        now += Duration::from_millis(100);
        for n in 1..=5 {
            steering.handle_claim(key, address(n), Claim::Perhaps, now);
        }
        tried += steering.end_searches(now).released.len();
    }
    assert_eq!(tried, 2);
}

/// Guards against flows that are looked for among agents of other services.
#[test]
fn only_agents_of_the_services_of_the_address_are_asked() {
    let (mut steering, now) = ready(2);
    let other = "others".parse().unwrap();
    steering.pool(&other).insert(address(9), common::agent(now));
    let SteeringDecision::Query(agents) = steer(&mut steering, &data(1, 101, 1), now) else {
        panic!("not asked");
    };
    assert!(agents.iter().all(|(agent, _)| *agent != address(9)));
}

/// Guards against flows that are broken off by a balancer which has yet to
/// learn their rule, and against callers that wait for a rule that is gone.
#[test]
fn only_flows_that_were_steered_here_are_broken_off_without_a_rule() {
    let (mut steering, now) = ready(2);
    steer(&mut steering, &opening(1), now);
    no_routes(&mut steering, 2);
    assert_eq!(
        steer(&mut steering, &data(1, 101, 1), now),
        SteeringDecision::Reset
    );
    let unknown = steer(&mut steering, &data(2, 101, 1), now);
    assert_eq!(unknown, SteeringDecision::Drop(DropReason::NoRule));
    assert_eq!(
        steer(&mut steering, &opening(3), now),
        SteeringDecision::Reset
    );
}

/// Guards against a routing set that goes back.
#[test]
fn a_routing_set_never_goes_back() {
    let (mut steering, _) = ready(1);
    let set = types::RoutingSet {
        number: types::SetNumber(1),
        ..types::RoutingSet::default()
    };
    assert!(!steering.routes_mut().advance(set.delta_from(None)));
    assert_eq!(steering.routes().unwrap().rules.len(), 1);
}

/// Guards against a search that asks all agents of a large service at once:
/// its questions fill a thin link.
#[test]
fn a_search_widens_step_by_step() {
    let (mut steering, mut now) = ready(42);
    let SteeringDecision::Query(first) = steer(&mut steering, &data(1, 101, 1), now) else {
        panic!("not asked");
    };
    let mut asked = vec![first.len()];
    while let Some(deadline) = steering.next_deadline() {
        now = deadline;
        let ended = steering.end_searches(now);
        asked.extend(ended.queries.iter().map(|question| question.agents.len()));
    }
    assert_eq!(asked, [3, 9, 27, 3]);
}

/// Guards against a search for a flow that its agent has told of, and against
/// news that replaces what is known better.
#[test]
fn a_balancer_that_is_told_of_a_flow_does_not_search() {
    let (mut steering, now) = ready(5);
    let service = SERVICE.parse().unwrap();
    let known = to(&steer(&mut steering, &opening(1), now)).0;
    let other = address(if known == address(1) { 2 } else { 1 });
    let waiting = data(3, 101, 1);
    steering.steer(&waiting, &payload("first"), now);
    let keys = [data(1, 101, 1), data(2, 101, 1), waiting];
    let keys = keys.iter().map(flow::Segment::key_from_caller).collect();
    let released = steering.record_reported_flows(keys, other, &service, now);
    let texts: Vec<&[u8]> = released.iter().map(|r| &r.payload[..]).collect();
    assert_eq!(texts, [b"first".as_slice()]);
    assert_eq!(to(&steer(&mut steering, &data(1, 101, 1), now)).0, known);
    let told = to(&steer(&mut steering, &data(2, 101, 1), now));
    assert_eq!(told, (other, Origin::Held));
}

/// How the agents of a balancer answer when a flow is looked for.
struct Answers {
    /// The list is complete when the search begins, and when it ends.
    whole: (bool, bool),
    /// Answer of agent 1; the other one denies.
    first: Option<Claim>,
    /// Answer of the agent of another service.
    other: Option<Claim>,
}

/// Returns whether the flow was broken off, and what was sent on.
fn looked_for(answers: &Answers) -> (bool, usize) {
    let (mut steering, mut now) = ready(2);
    let other = "others".parse().unwrap();
    steering.pool(&other).insert(address(9), common::agent(now));
    if answers.whole.0 {
        steering.set_directory_complete_until(now + Duration::from_secs(1));
    }
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    steer(&mut steering, &seg, now);
    let (mut lost, mut released) = (0, 0);
    let claims = [(1, answers.first), (2, Some(Claim::No)), (9, answers.other)];
    for _ in 0..3 {
        for (n, claim) in claims {
            if let Some(claim) = claim {
                released += steering.handle_claim(key, address(n), claim, now).len();
            }
        }
        now += Duration::from_millis(40);
        steering.set_directory_complete_until(
            now + Duration::from_millis(if answers.whole.1 { 1000 } else { 0 }),
        );
        let ended = steering.end_searches(now);
        lost += ended.lost_flows.len();
        released += ended.released.len();
    }
    (lost > 0, released)
}

/// Guards against a living flow that is broken off, and against a caller that
/// waits for a flow which no upstream holds.
#[test]
fn a_flow_is_broken_off_only_if_no_agent_can_hold_it() {
    let no = Some(Claim::No);
    let whole = (true, true);
    let cases = [
        (
            "all deny",
            Answers {
                whole,
                first: no,
                other: no,
            },
            (true, 0),
        ),
        (
            "one is silent",
            Answers {
                whole,
                first: None,
                other: no,
            },
            (false, 0),
        ),
        (
            "one has restarted",
            Answers {
                whole,
                first: Some(Claim::Perhaps),
                other: no,
            },
            (false, 1),
        ),
        (
            "one holds it",
            Answers {
                whole,
                first: Some(Claim::Holds),
                other: no,
            },
            (false, 1),
        ),
        (
            "one of another service is silent",
            Answers {
                whole,
                first: no,
                other: None,
            },
            (false, 0),
        ),
        (
            "one of another service has restarted",
            Answers {
                whole,
                first: no,
                other: Some(Claim::Perhaps),
            },
            (false, 0),
        ),
        (
            "one of another service holds it",
            Answers {
                whole,
                first: no,
                other: Some(Claim::Holds),
            },
            (false, 1),
        ),
        (
            "agents were unknown",
            Answers {
                whole: (false, true),
                first: no,
                other: no,
            },
            (false, 0),
        ),
        (
            "the list is out of date",
            Answers {
                whole: (true, false),
                first: no,
                other: no,
            },
            (false, 0),
        ),
    ];
    for (what, answers, expected) in cases {
        assert_eq!(looked_for(&answers), expected, "{what}");
    }
}

/// Guards against searches for one flow that follow on each other: after a loss
/// of all processes they took the time of all balancers.
#[test]
fn a_search_that_found_nothing_is_not_repeated_at_once() {
    let (mut steering, now) = ready(3);
    let seg = data(1, 101, 1);
    for n in [0, 100, 200, 350] {
        let at = now + Duration::from_millis(n);
        let steered = steer(&mut steering, &seg, at);
        let asks = matches!(steered, SteeringDecision::Query(_));
        assert_eq!(asks, n == 0 || n == 350, "after {n} ms: {steered:?}");
        if asks {
            steering.end_searches(at + Duration::from_millis(31));
        }
    }
}

/// Guards against a flow that is never found where the way to its agent takes
/// longer than a search waits: seen in the soak, seed 1003, with slow links.
#[test]
fn an_answer_that_comes_late_still_tells_the_holder() {
    let (mut steering, now) = ready(3);
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    steer(&mut steering, &seg, now);
    let ended = now + Duration::from_millis(40);
    steering.end_searches(ended);
    let late = ended + Duration::from_millis(100);
    assert_eq!(
        steering.handle_claim(key, address(1), Claim::Perhaps, late),
        []
    );
    assert_eq!(
        steering.handle_claim(key, address(2), Claim::Holds, late),
        []
    );
    let steered = steer(&mut steering, &seg, late);
    assert_eq!(to(&steered), (address(2), Origin::Held));
}
