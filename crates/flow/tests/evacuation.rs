//! New and open flows while a data centre is evacuated.

mod common;

use std::{collections::BTreeSet, time::Instant};

use bytes::Bytes;
use common::{
    NEAR, SERVICE, address, agent, agreement, answer, data, flow_table, opening, ready, set_routes,
    steering,
};
use flow::{
    AgentPool, CallerAction, DropReason, Origin, ResetReason, Segment, Steering, SteeringDecision,
    UpstreamAction,
};
use types::DataCentre;

const FAR: &str = "far";

fn data_centres(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Adds agent `n` of the data centre [`FAR`].
fn add_far_agent(pool: &mut AgentPool, n: u8, now: Instant) {
    let mut far = agent(now);
    far.data_centre = FAR.parse().unwrap();
    pool.insert(address(n), far);
}

/// A balancer with agents 1 and 2 in its data centre and agent 3 in another.
fn two_data_centres() -> (Steering, Instant) {
    let (mut steering, now) = ready(2);
    add_far_agent(steering.pool(&SERVICE.parse().unwrap()), 3, now);
    (steering, now)
}

fn steer(steering: &mut Steering, seg: &Segment, now: Instant) -> SteeringDecision {
    steering.steer(seg, &Bytes::new(), now)
}

fn agent_of(decision: &SteeringDecision) -> Option<(u8, Origin)> {
    match decision {
        SteeringDecision::Forward { agent, origin, .. } => Some((agent.ip().octets()[3], *origin)),
        _ => None,
    }
}

/// Guards against new flows on agents of an evacuated data centre: also when they are
/// the only ones with recent reports, and when the agents of a service become known
/// only after the evacuation.
#[test]
fn no_new_flow_is_placed_in_an_evacuated_data_centre() {
    let (mut steering, now) = two_data_centres();
    steering.set_evacuated(data_centres(&[NEAR]));
    for n in 0..50 {
        let decision = steer(&mut steering, &opening(n), now);
        assert_eq!(agent_of(&decision), Some((3, Origin::Placed)));
    }
    let later = now + std::time::Duration::from_secs(2);
    let pool = steering.pool(&SERVICE.parse().unwrap());
    for n in 1..=2 {
        pool.get_mut(address(n)).unwrap().reported_at = later;
    }
    assert!(!pool.has_free_slot(&[], later));
    let decision = steer(&mut steering, &opening(60), later);
    assert_eq!(agent_of(&decision), Some((3, Origin::Placed)));

    let late = steering.pool(&"late".parse().unwrap());
    late.insert(address(9), agent(now));
    assert!(
        late.place(&NEAR.parse().unwrap(), 1, &[], now).is_none(),
        "agents that became known after the evacuation"
    );
    steering.set_evacuated(BTreeSet::new());
    let late = steering.pool(&"late".parse().unwrap());
    assert!(late.place(&NEAR.parse().unwrap(), 1, &[], now).is_some());
}

/// Guards against a copy of an opening that follows the first one into an evacuated
/// data centre, and against open flows that move out of it.
#[test]
fn copies_of_openings_leave_and_open_flows_stay() {
    let (mut steering, now) = two_data_centres();
    let placed = steer(&mut steering, &opening(1), now);
    let (holder, _) = agent_of(&placed).unwrap();
    assert_ne!(holder, 3);
    steering.set_evacuated(data_centres(&[NEAR]));
    let continued = steer(&mut steering, &data(1, 101, 1), now);
    assert_eq!(agent_of(&continued), Some((holder, Origin::Held)));
    let copy = steer(&mut steering, &opening(1), now);
    assert_eq!(agent_of(&copy), Some((3, Origin::Placed)));
}

/// Guards against callers that wait for their timeout although an evacuation has left
/// no agent, and against balancers that routers leave out although open flows depend on
/// them.
#[test]
fn openings_without_an_agent_are_reset_at_once() {
    let (mut steering, now) = ready(2);
    let placed = steer(&mut steering, &opening(1), now);
    let (holder, _) = agent_of(&placed).unwrap();
    steering.set_evacuated(data_centres(&[NEAR]));
    for n in 1..=2 {
        let pool = steering.pool(&SERVICE.parse().unwrap());
        pool.get_mut(address(n)).unwrap().accepting = false;
    }
    let refused = SteeringDecision::Reset(ResetReason::Evacuated);
    assert_eq!(steer(&mut steering, &opening(1), now), refused, "a copy");
    assert_eq!(steer(&mut steering, &opening(2), now), refused);
    let continued = steer(&mut steering, &data(1, 101, 1), now);
    assert_eq!(agent_of(&continued), Some((holder, Origin::Held)));
    assert!(steering.can_place(now), "readiness");
    assert!(!steering.can_place(now + std::time::Duration::from_secs(2)));
}

/// Guards against resets, in place of waiting for a copy, while agents accept no flows
/// for another reason than an evacuation.
#[test]
fn openings_are_dropped_while_agents_are_not_ready() {
    let (mut steering, now) = steering();
    set_routes(&mut steering, 1);
    steering.set_evacuated(data_centres(&[FAR]));
    let mut draining = agent(now);
    draining.accepting = false;
    let pool = steering.pool(&SERVICE.parse().unwrap());
    pool.insert(address(1), draining);
    assert_eq!(
        steer(&mut steering, &opening(1), now),
        SteeringDecision::Drop(DropReason::NoAgent)
    );
    assert!(!steering.can_place(now));
}

/// Guards against new flows that an agent accepts because a balancer has not learned of
/// the evacuation yet: first datagrams, copies and probes of an unresponsive upstream.
/// What the upstream accepted before stays open.
#[test]
fn an_evacuated_agent_accepts_no_flow_and_keeps_open_ones() {
    let (mut table, now) = flow_table();
    for n in 1..=2 {
        let verdict = table.caller_datagram(&opening(n), Origin::Placed, now);
        assert_eq!(verdict, CallerAction::Deliver);
    }
    table.upstream_datagram(&agreement(1, 5000), now);
    table.set_evacuated(true);
    assert!(!table.accepts_new_flows(now));
    let origins = [Origin::Placed, Origin::Passed, Origin::Held, Origin::Tried];
    for origin in origins {
        for n in 2..=3 {
            let verdict = table.caller_datagram(&opening(n), origin, now);
            assert_eq!(verdict, CallerAction::PassOn, "{origin:?} {n}");
        }
    }
    let seg = data(1, 101, 5001);
    assert_eq!(
        table.caller_datagram(&seg, Origin::Held, now),
        CallerAction::Deliver
    );
    assert_eq!(
        table.upstream_datagram(&answer(1, 5001), now),
        UpstreamAction::ToCaller { learned: false }
    );
    // The upstream answers the opening that it got before: the caller may use it.
    table.upstream_datagram(&agreement(2, 7000), now);
    let seg = data(2, 101, 7001);
    assert_eq!(
        table.caller_datagram(&seg, Origin::Held, now),
        CallerAction::Deliver
    );
    table.set_evacuated(false);
    assert_eq!(
        table.caller_datagram(&opening(4), Origin::Placed, now),
        CallerAction::Deliver
    );
    table.set_evacuated(true);
    let later = now + std::time::Duration::from_secs(1);
    assert!(table.is_unresponsive(later));
    let verdict = table.caller_datagram(&opening(5), Origin::Placed, later);
    assert_eq!(verdict, CallerAction::PassOn, "a probe");
}
