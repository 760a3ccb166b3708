//! What a balancer remembers of flows.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{SERVICE, address, data, no_routes, opening, payload, ready};
use flow::{Claim, Dropped, Origin, Steer, Steering};

fn to(steer: &Steer) -> (std::net::SocketAddrV4, Origin) {
    match steer {
        Steer::To { agent, origin, .. } => (*agent, *origin),
        other => panic!("{other:?}"),
    }
}

fn steer(steering: &mut Steering, seg: &flow::Segment, now: std::time::Instant) -> Steer {
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
    pool.get_mut(other).unwrap().reported = later;
    assert_eq!(to(&steer(&mut steering, &opening(1), later)).0, other);
}

/// Guards against a wrong hint that is followed again and again.
#[test]
fn a_hint_that_was_wrong_is_forgotten_and_the_holder_found() {
    let (mut steering, now) = ready(3);
    let (wrong, _) = to(&steer(&mut steering, &opening(1), now));
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    let back = steering.not_held(key, wrong, payload("first"), now);
    assert!(matches!(back, Steer::Ask(_)));
    assert_eq!(steering.steer(&seg, &payload("second"), now), Steer::Parked);
    let holder = address(if wrong == address(3) { 2 } else { 3 });
    let released = steering.claimed(key, holder, Claim::Holds, now);
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
            steering.claimed(key, address(n), Claim::Perhaps, now);
        }
        let wider = steering.end_searches(now);
        tried += wider.released.len();
        now += Duration::from_millis(100);
        for n in 1..=5 {
            steering.claimed(key, address(n), Claim::Perhaps, now);
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
    let Steer::Ask(agents) = steer(&mut steering, &data(1, 101, 1), now) else {
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
    assert_eq!(steer(&mut steering, &data(1, 101, 1), now), Steer::Reset);
    let unknown = steer(&mut steering, &data(2, 101, 1), now);
    assert_eq!(unknown, Steer::Drop(Dropped::NoRule));
    assert_eq!(steer(&mut steering, &opening(3), now), Steer::Reset);
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
    let Steer::Ask(first) = steer(&mut steering, &data(1, 101, 1), now) else {
        panic!("not asked");
    };
    let mut asked = vec![first.len()];
    while let Some(deadline) = steering.next_deadline() {
        now = deadline;
        let ended = steering.end_searches(now);
        asked.extend(ended.asked.iter().map(|question| question.others.len()));
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
    let released = steering.told(keys, other, &service, now);
    let texts: Vec<&[u8]> = released.iter().map(|r| &r.payload[..]).collect();
    assert_eq!(texts, [b"first".as_slice()]);
    assert_eq!(to(&steer(&mut steering, &data(1, 101, 1), now)).0, known);
    let told = to(&steer(&mut steering, &data(2, 101, 1), now));
    assert_eq!(told, (other, Origin::Held));
}
