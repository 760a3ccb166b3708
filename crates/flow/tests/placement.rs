//! Placement of new flows.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use arbtest::arbitrary::{self, Unstructured};
use bytes::Bytes;
use common::{address, agent, caller, data, opening, ready, requests_per_slot};
use flow::{AdmittedShare, AgentPool, Claim, Load, Origin, ServiceTime, SteeringDecision};
use types::{DataCentre, Slots};

/// Longer than `search_timeout`.
const AFTER_SEARCH: Duration = Duration::from_millis(100);

/// Number, data centre and busy requests of each agent.
type Loads = [(u8, &'static str, u32)];

/// Runs a test with 200 seeds and 4 KiB of random bytes each.
fn run_cases(mut test: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in 0..200_u64 {
        arbtest::arbtest(&mut test).seed(seed << 32 | 0x1000);
    }
}

fn pool(loads: &Loads) -> (AgentPool, std::time::Instant) {
    let now = std::time::Instant::now();
    let mut pool = AgentPool::default();
    for (n, data_centre, busy) in loads {
        let mut candidate = agent(now);
        candidate.data_centre = data_centre.parse().unwrap();
        candidate.load = Load {
            busy_requests: *busy,
            open_flows: 0,
        };
        pool.insert(address(*n), candidate);
    }
    (pool, now)
}

/// Guards against requests that queue at one upstream beside an idle one, and
/// against flows to another data centre that save no queueing time.
#[test]
fn flows_go_to_free_slots_in_the_local_data_centre_first() {
    let cases: [(&Loads, u8); 4] = [
        (&[(1, "near", 0), (2, "far", 0)], 1),
        (&[(1, "near", 4), (2, "far", 0)], 2),
        (&[(1, "near", 3), (2, "near", 0)], 2),
        (&[(1, "far", 0), (2, "near", 1)], 2),
    ];
    for (loads, expected) in cases {
        let (mut pool, now) = pool(loads);
        for hash in 0..50 {
            let (mut other_pool, _) = self::pool(loads);
            let near = "near".parse().unwrap();
            assert_eq!(
                other_pool.place(&near, hash, &[], now),
                Some(address(expected)),
                "{loads:?}"
            );
        }
        let near = "near".parse().unwrap();
        assert!(
            pool.place(&near, 0, &[address(1), address(2)], now)
                .is_none()
        );
    }
}

/// Guards against a burst between two reports that goes to one upstream.
#[test]
fn flows_placed_since_the_last_report_count_as_load() {
    let (mut pool, now) = pool(&[(1, "near", 0), (2, "near", 0), (3, "near", 0)]);
    let near = "near".parse().unwrap();
    let mut placed = BTreeMap::new();
    for hash in 0..12 {
        let agent = pool.place(&near, hash, &[], now).unwrap();
        *placed.entry(agent).or_insert(0) += 1;
    }
    assert!(
        placed.values().all(|count| (3..=5).contains(count)),
        "{placed:?}"
    );
}

/// Guards against flows that are placed on a failed agent.
#[test]
fn an_agent_that_stopped_reporting_is_used_only_if_no_other_is_left() {
    let (mut pool, now) = pool(&[(1, "near", 0), (2, "near", 4)]);
    let later = now + Duration::from_secs(2);
    pool.get_mut(address(2)).unwrap().reported_at = later;
    let near = "near".parse().unwrap();
    assert_eq!(pool.place(&near, 3, &[], later), Some(address(2)));
    assert_eq!(pool.place(&near, 3, &[address(2)], later), Some(address(1)));
}

/// Guards against open flows that are lost when all balancers and agents have
/// restarted: the first agent that is tried must be the one where the flow was
/// placed.
#[test]
fn a_flow_is_first_tried_where_it_was_placed() {
    let mut found = 0;
    for n in 0..100 {
        let (mut before, now) = ready(5);
        let SteeringDecision::Forward { agent, .. } = before.steer(&opening(n), &Bytes::new(), now)
        else {
            panic!("the flow was not placed");
        };
        let (mut after, now) = ready(5);
        assert!(matches!(
            after.steer(&data(n, 101, 1), &Bytes::new(), now),
            SteeringDecision::Query(_)
        ));
        for asked in 1..=5 {
            let key = opening(n).key_from_caller();
            assert_eq!(key.caller, caller(n));
            after.handle_claim(key, address(asked), Claim::Perhaps, now);
        }
        // All agents of the first round have restarted, so that the search does
        // not query the others.
        let ended = after.end_searches(now);
        assert_eq!(ended.queries.len(), 0);
        let [request] = ended.trial_requests[..] else {
            panic!("no trial was requested");
        };
        let answered = after.handle_trial_answer(request.key, request.arbiter, true, now);
        let released = answered.released;
        assert_eq!(released.len(), 1);
        let later = after.end_searches(now + AFTER_SEARCH);
        assert_eq!((later.released.len(), later.trial_requests.len()), (0, 0));
        assert_eq!(released[0].origin, Origin::Tried);
        found += u32::from(released[0].agent == agent);
    }
    assert_eq!(found, 100);
}

/// Guards against an upstream with few slots that is filled while others are
/// idle.
#[test]
fn small_upstreams_are_filled_evenly() {
    let (mut pool, now) = pool(&[(1, "near", 0), (2, "near", 0)]);
    for n in 1..=2 {
        pool.get_mut(address(n)).unwrap().slots = Slots(2);
    }
    let near = "near".parse().unwrap();
    let first = pool.place(&near, 9, &[], now);
    let second = pool.place(&near, 9, &[], now);
    assert_ne!(first, second);
}

/// Guards against a balancer that ends because an agent of another build reports a
/// load at the end of its range.
#[test]
fn a_report_with_the_largest_numbers_is_harmless() {
    let (mut pool, now) = pool(&[(1, "near", u32::MAX), (2, "near", 0)]);
    for n in 1..=2 {
        let candidate = pool.get_mut(address(n)).unwrap();
        candidate.slots = Slots(u32::MAX);
        candidate.placed_since_report = u32::MAX;
    }
    let data_centre = "near".parse().unwrap();
    assert!(!pool.has_free_slot(&[], now));
    assert!(pool.place(&data_centre, 7, &[], now).is_some());
}

/// Guards against deployments whose agents report no service time and that are served
/// otherwise than before there were any.
#[test]
fn without_service_times_flows_are_placed_by_requests_per_slot() {
    run_cases(|u| {
        let (mut pool, now) = pool(&[]);
        let data_centres: [DataCentre; 2] = ["near", "far"].map(|name| name.parse().unwrap());
        for n in 0..60 {
            let mut status = agent(now);
            status.data_centre = data_centres[usize::from(n % 3 == 0)].clone();
            status.slots = Slots(u.choose(&[4, 8]).copied()?);
            status.load.busy_requests = u.int_in_range(0..=4)?;
            status.load.open_flows = u.choose(&[0, 7, 31]).copied()?;
            pool.apply_report(address(n), status);
        }
        for _ in 0..20 {
            let hash = u.arbitrary()?;
            let except = [address(u.int_in_range(0..=59)?)];
            let expected = requests_per_slot(&pool, &data_centres[0], hash, &except);
            let placed = pool.place(&data_centres[0], hash, &except, now);
            assert_eq!(placed, Some(expected));
        }
        Ok(())
    });
}

/// Guards against a slow upstream that gets as many flows as a fast one.
#[test]
fn flows_are_placed_in_proportion_to_speed() {
    let (mut pool, now) = pool(&[(1, "near", 0), (2, "near", 0)]);
    for (n, micros) in [(1, 90_000), (2, 30_000)] {
        pool.get_mut(address(n)).unwrap().service_time = Some(ServiceTime(micros));
    }
    let near = "near".parse().unwrap();
    for hash in 0..80 {
        pool.place(&near, hash, &[], now).unwrap();
    }
    let slow = pool.get(address(1)).unwrap().placed_since_report;
    assert!((18..=22).contains(&slow), "{slow} of 80 flows");
}

/// Guards against a service that is left to a few upstreams because most look unhealthy.
#[test]
fn at_most_half_of_a_service_is_left_out() {
    let (mut pool, now) = pool(&[1, 2, 3, 4, 5, 6].map(|n| (n, "near", 0)));
    let near = "near".parse().unwrap();
    for (unhealthy, expected) in [(1, 5), (3, 3), (4, 3), (6, 3), (2, 4), (0, 6)] {
        for n in 1..=6 {
            let agent = pool.get_mut(address(n)).unwrap();
            agent.placed_since_report = 0;
            agent.share = if n <= unhealthy {
                AdmittedShare::None
            } else {
                AdmittedShare::Full
            };
        }
        let placed: BTreeSet<_> = (0..400)
            .filter_map(|hash| pool.place(&near, hash, &[], now))
            .collect();
        assert_eq!(placed.len(), expected, "{unhealthy} unhealthy");
    }
}

/// Guards against indexes of costs and free slots that differ from the agents' states after
/// changes.
#[test]
fn placements_after_changes_are_those_of_a_new_pool() {
    run_cases(|u| {
        let (mut pool, now) = pool(&[1, 2, 3, 4, 5].map(|n| (n, "near", 0)));
        let near = "near".parse().unwrap();
        for _ in 0..30 {
            let changed = address(u.int_in_range(1..=5)?);
            match u.int_in_range(0..=3)? {
                0 => drop(pool.place(&near, u.arbitrary()?, &[], now)),
                1 => pool.remove(changed),
                2 => {
                    if let Some(agent) = pool.get_mut(changed) {
                        agent.accepting = u.arbitrary()?;
                        let is_healthy: bool = u.arbitrary()?;
                        agent.share =
                            [AdmittedShare::None, AdmittedShare::Full][usize::from(is_healthy)];
                    }
                }
                _ => {
                    let mut status = agent(now);
                    status.load.busy_requests = u.int_in_range(0..=9)?;
                    let age = Duration::from_secs(u.int_in_range(0..=2)?);
                    status.reported_at = now.checked_sub(age).unwrap();
                    pool.insert(changed, status);
                }
            }
        }
        let mut fresh = AgentPool::default();
        for known in pool.addresses().collect::<Vec<_>>() {
            fresh.insert(known, pool.get(known).unwrap().clone());
        }
        let hash = u.arbitrary()?;
        let except = [address(u.int_in_range(1..=5)?)];
        let free = pool.addresses().any(|address| {
            let agent = pool.get(address).unwrap();
            pool.is_available(address, now)
                && agent.load.busy_requests + agent.placed_since_report < agent.slots.0
                && agent.share != AdmittedShare::None
                && !except.contains(&address)
        });
        assert_eq!(pool.has_free_slot(&except, now), free);
        assert_eq!(
            pool.place(&near, hash, &except, now),
            fresh.place(&near, hash, &except, now)
        );
        Ok(())
    });
}
