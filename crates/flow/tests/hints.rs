//! Hints of a balancer, and its search for the holder of a flow.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{SERVICE, address, agent, data, opening, payload, ready, remove_routes};
use flow::{
    Claim, DropReason, Origin, ResetReason, Steering, SteeringDecision, TrialArbiter,
    TrialArbiterSettings,
};

fn forwarded(steer: &SteeringDecision) -> (std::net::SocketAddrV4, Origin) {
    match steer {
        SteeringDecision::Forward { agent, origin, .. } => (*agent, *origin),
        other => panic!("not forwarded: {other:?}"),
    }
}

fn steer(
    steering: &mut Steering,
    seg: &flow::Segment,
    now: std::time::Instant,
) -> SteeringDecision {
    steering.steer(seg, &Bytes::new(), now)
}

/// Guards against copies of one opening datagram that reach several upstreams.
#[test]
fn copies_of_an_opening_go_to_one_agent() {
    let (mut steering, now) = ready(5);
    let first = forwarded(&steer(&mut steering, &opening(1), now));
    for copy in 1..3 {
        let mut seg = opening(1);
        seg.ack = copy;
        assert_eq!(forwarded(&steer(&mut steering, &seg, now)), first);
    }
    assert_eq!(
        forwarded(&steer(&mut steering, &data(1, 101, 1), now)).0,
        first.0
    );
}

/// Guards against a caller whose opening datagram is sent to a failed agent
/// again.
#[test]
fn a_retransmission_goes_elsewhere_when_reports_of_the_agent_stop() {
    let (mut steering, now) = ready(2);
    let (first, _) = forwarded(&steer(&mut steering, &opening(1), now));
    let later = now + Duration::from_secs(2);
    let other = if first == address(1) {
        address(2)
    } else {
        address(1)
    };
    let pool = steering.pool(&SERVICE.parse().unwrap());
    pool.get_mut(other).unwrap().reported_at = later;
    assert_eq!(
        forwarded(&steer(&mut steering, &opening(1), later)).0,
        other
    );
}

/// Guards against a wrong hint that is used again.
#[test]
fn a_wrong_hint_is_removed_and_the_holder_found() {
    let (mut steering, now) = ready(3);
    let (wrong, _) = forwarded(&steer(&mut steering, &opening(1), now));
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
    assert_eq!(
        forwarded(&steer(&mut steering, &seg, now)),
        (holder, Origin::Held)
    );
}

/// Guards against a flow that reaches three upstreams that do not hold it, through any
/// number of balancers: each of them kept its own limit.
#[test]
fn at_most_two_agents_are_tried_by_all_balancers() {
    let (first, start) = ready(5);
    let mut balancers = [first, ready(5).0, ready(5).0];
    let long_ago = start.checked_sub(Duration::from_mins(1)).unwrap();
    let mut arbiters: Vec<TrialArbiter> = (0..=5)
        .map(|_| TrialArbiter::new(TrialArbiterSettings::default(), long_ago))
        .collect();
    for arbiter in &mut arbiters {
        arbiter.begin(true, long_ago);
    }
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    let (mut tried, mut now) = (0, start);
    while now < start + Duration::from_secs(9) {
        for steering in &mut balancers {
            steer(steering, &seg, now);
            for n in 1..=5 {
                steering.handle_claim(key, address(n), Claim::Perhaps, now);
            }
            let mut results = steering.end_searches(now);
            while let Some(request) = results.trial_requests.pop() {
                let arbiter = usize::from(request.arbiter.ip().octets()[3]);
                let granted = arbiters[arbiter].grant(key, now);
                results = steering.handle_trial_answer(key, request.arbiter, granted, now);
            }
            tried += results.released.len();
        }
        now += Duration::from_millis(50);
    }
    assert_eq!(tried, 2);
}

/// Guards against a third trial of a flow after its arbiter was restarted as planned, and
/// against flows that nobody tries for 2.5 s after a crash of all processes.
#[test]
fn an_arbiter_grants_nothing_after_a_planned_restart_and_at_once_after_a_crash() {
    let start = std::time::Instant::now();
    let key = data(1, 101, 1).key_from_caller();
    let granted = |was_planned: Option<bool>, age_ms: u64| {
        let mut arbiter = TrialArbiter::new(TrialArbiterSettings::default(), start);
        let known_at = start + Duration::from_millis(300);
        if let Some(was_planned) = was_planned {
            arbiter.begin(was_planned, known_at);
        }
        arbiter.grant(key, start + Duration::from_millis(age_ms))
    };
    assert!(
        !granted(None, 10_000),
        "the end of its predecessor is not known"
    );
    assert!(
        !granted(Some(true), 2000),
        "its predecessor may have granted one"
    );
    assert!(granted(Some(true), 2500));
    assert!(granted(Some(false), 300));
}

/// Guards against a flow that is tried without a grant, or never searched for again,
/// because its arbiters have failed.
#[test]
fn without_arbiters_nothing_is_tried() {
    let (mut steering, mut now) = ready(5);
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    let mut asked = Vec::new();
    for _ in 0..2 {
        let decision = steer(&mut steering, &seg, now);
        assert!(matches!(decision, SteeringDecision::Query(_)));
        for n in 1..=5 {
            steering.handle_claim(key, address(n), Claim::Perhaps, now);
        }
        while let Some(deadline) = steering.next_deadline() {
            now = now.max(deadline);
            let results = steering.end_searches(now);
            assert_eq!(results.released, []);
            asked.extend(results.trial_requests.iter().map(|request| request.arbiter));
        }
        let late = steering.handle_trial_answer(key, asked[0], true, now);
        assert_eq!(late.released, [], "a grant that comes too late is not used");
        now += Duration::from_millis(300);
    }
    assert_eq!((asked[0], asked[1]), (asked[2], asked[3]));
    assert_ne!(asked[0], asked[1]);
    assert_eq!(asked.len(), 4);
}

/// Guards against searches that query agents of other services first.
#[test]
fn only_agents_of_the_services_of_the_address_are_queried() {
    let (mut steering, now) = ready(2);
    let other = "others".parse().unwrap();
    steering.pool(&other).insert(address(9), common::agent(now));
    let SteeringDecision::Query(agents) = steer(&mut steering, &data(1, 101, 1), now) else {
        panic!("no agent was queried");
    };
    assert!(agents.iter().all(|(agent, _)| *agent != address(9)));
}

/// Guards against flows that are reset by a balancer which has yet to receive
/// their rule, and against callers that wait for a removed rule.
#[test]
fn without_a_rule_only_flows_with_a_hint_are_reset() {
    let (mut steering, now) = ready(2);
    steer(&mut steering, &opening(1), now);
    remove_routes(&mut steering, 2);
    assert_eq!(
        steer(&mut steering, &data(1, 101, 1), now),
        SteeringDecision::Reset(ResetReason::NoRule)
    );
    let unknown = steer(&mut steering, &data(2, 101, 1), now);
    assert_eq!(unknown, SteeringDecision::Drop(DropReason::NoRule));
    assert_eq!(
        steer(&mut steering, &opening(3), now),
        SteeringDecision::Reset(ResetReason::NoRule)
    );
}

/// Guards against a routing set that is replaced by an older one.
#[test]
fn an_older_routing_set_is_rejected() {
    let (mut steering, _) = ready(1);
    let set = types::RoutingSet {
        number: types::RoutingSetNumber(1),
        ..types::RoutingSet::default()
    };
    assert!(!steering.routes_mut().apply(set.delta_from(None)));
    assert_eq!(steering.routes().unwrap().rules.len(), 1);
}

/// Guards against a search that queries all agents of a large service at once:
/// its queries saturate a slow link.
#[test]
fn a_search_queries_more_agents_each_round() {
    let (mut steering, mut now) = ready(42);
    let SteeringDecision::Query(first) = steer(&mut steering, &data(1, 101, 1), now) else {
        panic!("no agent was queried");
    };
    let mut queried = vec![first.len()];
    while let Some(deadline) = steering.next_deadline() {
        now = deadline;
        let ended = steering.end_searches(now);
        queried.extend(ended.queries.iter().map(|query| query.agents.len()));
    }
    assert_eq!(queried, [3, 9, 27, 3]);
}

/// Guards against a search for a flow that its agent has reported, and against
/// a report that replaces a newer hint.
#[test]
fn a_reported_flow_is_not_searched() {
    let (mut steering, now) = ready(5);
    let service = SERVICE.parse().unwrap();
    let hinted = forwarded(&steer(&mut steering, &opening(1), now)).0;
    let other = address(if hinted == address(1) { 2 } else { 1 });
    let waiting = data(3, 101, 1);
    steering.steer(&waiting, &payload("first"), now);
    let keys = [data(1, 101, 1), data(2, 101, 1), waiting];
    let keys = keys.iter().map(flow::Segment::key_from_caller).collect();
    let released = steering.record_reported_flows(keys, other, &service, now);
    let texts: Vec<&[u8]> = released.iter().map(|r| &r.payload[..]).collect();
    assert_eq!(texts, [b"first".as_slice()]);
    assert_eq!(
        forwarded(&steer(&mut steering, &data(1, 101, 1), now)).0,
        hinted
    );
    let reported = forwarded(&steer(&mut steering, &data(2, 101, 1), now));
    assert_eq!(reported, (other, Origin::Held));
}

/// Answers of the agents to a search.
struct Answers {
    /// Whether the directory is complete when the search begins, and when it
    /// ends.
    directory_complete: (bool, bool),
    /// Answer of agent 1; agent 2 denies the flow.
    first: Option<Claim>,
    /// Answer of the agent of another service.
    other: Option<Claim>,
}

/// Returns after how many rounds of answers the flow was reset, if it was, and how
/// many datagrams were forwarded.
fn search_result(answers: &Answers) -> (Option<u32>, usize) {
    let (mut steering, mut now) = ready(2);
    let other = "others".parse().unwrap();
    steering.pool(&other).insert(address(9), common::agent(now));
    if answers.directory_complete.0 {
        steering.set_directory_complete_until(now + Duration::from_secs(1));
    }
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    steer(&mut steering, &seg, now);
    let (mut lost_after, mut released) = (None, 0);
    let claims = [(1, answers.first), (2, Some(Claim::No)), (9, answers.other)];
    for round in 1..=3 {
        for (n, claim) in claims {
            if let Some(claim) = claim {
                released += steering.handle_claim(key, address(n), claim, now).len();
            }
        }
        now += Duration::from_millis(40);
        steering.set_directory_complete_until(
            now + Duration::from_millis(if answers.directory_complete.1 {
                1000
            } else {
                0
            }),
        );
        let ended = steering.end_searches(now);
        if !ended.lost_flows.is_empty() {
            lost_after.get_or_insert(round);
        }
        released += ended.released.len();
    }
    (lost_after, released)
}

/// Guards against the reset of a live flow, and against a caller that waits for
/// a flow which no upstream holds.
#[test]
fn a_flow_is_reset_only_if_no_agent_can_hold_it() {
    let no = Some(Claim::No);
    let directory_complete = (true, true);
    let cases = [
        (
            "all agents deny",
            Answers {
                directory_complete,
                first: no,
                other: no,
            },
            (Some(2), 0),
        ),
        (
            "one agent does not answer",
            Answers {
                directory_complete,
                first: None,
                other: no,
            },
            (None, 0),
        ),
        (
            "one agent has restarted",
            Answers {
                directory_complete,
                first: Some(Claim::Perhaps),
                other: no,
            },
            (None, 1),
        ),
        (
            "one agent holds the flow",
            Answers {
                directory_complete,
                first: Some(Claim::Holds),
                other: no,
            },
            (None, 1),
        ),
        (
            "an agent of another service does not answer",
            Answers {
                directory_complete,
                first: no,
                other: None,
            },
            (None, 0),
        ),
        (
            "an agent of another service has restarted",
            Answers {
                directory_complete,
                first: no,
                other: Some(Claim::Perhaps),
            },
            (None, 0),
        ),
        (
            "an agent of another service holds the flow",
            Answers {
                directory_complete,
                first: no,
                other: Some(Claim::Holds),
            },
            (None, 1),
        ),
        (
            "the directory was incomplete at the start",
            Answers {
                directory_complete: (false, true),
                first: no,
                other: no,
            },
            // A second search, which began once the directory was complete, decides.
            (Some(3), 0),
        ),
        (
            "the directory is incomplete at the end",
            Answers {
                directory_complete: (true, false),
                first: no,
                other: no,
            },
            (None, 0),
        ),
    ];
    for (what, answers, expected) in cases {
        assert_eq!(search_result(&answers), expected, "{what}");
    }
}

/// Guards against back-to-back searches for one flow: after a failure of all
/// processes they used up the time of all balancers.
#[test]
fn an_unsuccessful_search_is_repeated_after_a_backoff() {
    let (mut steering, now) = ready(3);
    let seg = data(1, 101, 1);
    for n in [0, 100, 200, 350] {
        let at = now + Duration::from_millis(n);
        let decision = steer(&mut steering, &seg, at);
        let queries = matches!(decision, SteeringDecision::Query(_));
        assert_eq!(queries, n == 0 || n == 350, "after {n} ms: {decision:?}");
        if queries {
            steering.end_searches(at + Duration::from_millis(31));
        }
    }
}

/// Guards against a flow that is never found because the round trip to its
/// agent takes longer than `search_timeout`: seen in the soak with slow links,
/// seed 1003.
#[test]
fn a_late_claim_still_sets_the_hint() {
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
    let decision = steer(&mut steering, &seg, late);
    assert_eq!(forwarded(&decision), (address(2), Origin::Held));
}

/// Guards against callers that wait for their timeout after a loss of power: a flow
/// that all agents deny while the directory is incomplete is searched for again once
/// it is complete, without another datagram of the caller, which retransmits rarely by
/// then.
#[test]
fn an_unresolved_flow_is_reset_once_the_directory_is_complete() {
    let (mut steering, now) = ready(2);
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    let payload = Bytes::from_static(b"data");
    let deny_all = |steering: &mut Steering, now| {
        for n in 1..=2 {
            steering.handle_claim(key, address(n), Claim::No, now);
        }
    };
    assert!(matches!(
        steering.steer(&seg, &payload, now),
        SteeringDecision::Query(_)
    ));
    deny_all(&mut steering, now);
    let ended = steering.end_searches(now);
    assert!(ended.lost_flows.is_empty(), "an agent may be missing");
    assert!(steering.resume_searches(now).is_empty());

    // An agent that was missing is listed. It is asked as well.
    let later = now + Duration::from_millis(400);
    let pool = steering.pool(&SERVICE.parse().unwrap());
    pool.insert(address(3), agent(later));
    steering.set_directory_complete_until(later + Duration::from_secs(1));
    let queries = steering.resume_searches(later);
    assert_eq!(queries.len(), 1);
    assert_eq!(queries[0].agents.len(), 3);
    deny_all(&mut steering, later);
    assert!(steering.end_searches(later).lost_flows.is_empty());
    steering.handle_claim(key, address(3), Claim::No, later);
    assert_eq!(steering.end_searches(later).lost_flows, [payload]);
    assert!(steering.resume_searches(later).is_empty(), "it is resolved");
}

/// Guards against the reset of an unresolved flow that an agent turns out to hold.
#[test]
fn an_unresolved_flow_that_is_found_goes_on() {
    let (mut steering, now) = ready(1);
    let seg = data(1, 101, 1);
    let key = seg.key_from_caller();
    steering.steer(&seg, &Bytes::from_static(b"data"), now);
    steering.handle_claim(key, address(1), Claim::No, now);
    steering.end_searches(now);
    let service = SERVICE.parse().unwrap();
    steering.record_reported_flows(vec![key], address(1), &service, now);
    steering.set_directory_complete_until(now + Duration::from_secs(1));
    assert!(steering.resume_searches(now).is_empty());
}
