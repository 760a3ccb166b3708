//! Single decisions, and the budget under random loads.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hedge::{BudgetWindow, Candidate, CandidateState, Denial, Hedging, Repeatable, Settings};
use rand::{Rng, SeedableRng, rngs::StdRng};
use types::{ClassLoad, ClassName, HedgeBudget, Slots, UpstreamId};

const WINDOW: Duration = Duration::from_secs(10);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn load(slots: u32, in_flight: u32) -> ClassLoad {
    ClassLoad {
        slots: Slots(slots),
        in_flight: Slots(in_flight),
        queued: Slots(0),
    }
}

fn candidate(id: u64, state: CandidateState, in_flight: u32) -> Candidate {
    let load = load(4, in_flight);
    Candidate {
        id: UpstreamId(id),
        state,
        load,
    }
}

/// A class with a budget of 10%, and so a delay at the 95th percentile, that has seen 1000 requests of 1 to 100 ms.
fn warm(now: Instant) -> (Hedging, ClassName) {
    let class = ClassName::default();
    let mut hedging = Hedging::new(Settings::default(), now);
    hedging.set_budgets(&BTreeMap::from([(class.clone(), "10".parse().unwrap())]));
    for n in 0..1000 {
        hedging.arrive(now, &class, Repeatable::Yes);
        hedging.complete(now, &class, ms(n % 100 + 1));
    }
    (hedging, class)
}

/// Guards against a budget that is exceeded when requests come in bursts, pauses
/// or right at the edge of a bucket, or when hedges that were not sent are refunded late,
/// and against refunds that are lost.
#[test]
fn hedges_stay_within_the_budget_in_every_window_of_ten_seconds() {
    let start = Instant::now();
    let percents = [0.5, 2.0, 10.0, 50.0].into_iter().cycle();
    for (seed, percent) in (0..40).zip(percents) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut budget = BudgetWindow::new(start);
        budget.set_budget(HedgeBudget::from_percent(percent));
        let mut at = Duration::ZERO;
        let (mut arrivals, mut extra) = (Vec::new(), Vec::new());
        let (mut pending, mut refunded) = (Vec::new(), 0);
        let (mut gap_us, mut demand) = (1000, 0.1);
        while at < ms(60_000) {
            if rng.random_bool(0.002) {
                gap_us = 10_u64.pow(rng.random_range(2..6));
                demand = rng.random_range(0.0..1.0);
            }
            at += Duration::from_micros(rng.random_range(0..2 * gap_us));
            budget.count_request(start + at);
            arrivals.push(at);
            if rng.random_bool(demand) && budget.withdraw(start + at) {
                pending.push(at);
            }
            // Until its slot is reserved, a hedge is not known to be sent.
            if !pending.is_empty() && rng.random_bool(0.2) {
                let at = pending.swap_remove(rng.random_range(0..pending.len()));
                if rng.random_bool(0.5) {
                    budget.confirm();
                    extra.push(at);
                } else {
                    budget.refund(start + at);
                    refunded += 1;
                }
            }
        }
        extra.sort();
        for at in pending {
            budget.refund(start + at);
        }
        let end = start + at + 2 * WINDOW;
        (0..50_000).for_each(|_| budget.count_request(end));
        let burst = (0..10).filter(|_| budget.withdraw(end)).count();
        assert_eq!(
            burst, 4,
            "seed {seed}: {refunded} refunds, not all in the budget"
        );
        assert!(!extra.is_empty(), "seed {seed}: no hedge was allowed");
        // Counts the elements later than `from` and not later than `to`.
        let count = |of: &[Duration], from: Option<Duration>, to: Duration| {
            let begin = from.map_or(0, |from| of.partition_point(|t| *t <= from));
            let n = of.partition_point(|t| *t <= to).saturating_sub(begin);
            f64::from(u32::try_from(n).unwrap())
        };
        for &end in &extra {
            let from = end.checked_sub(WINDOW);
            let (hedged, all) = (count(&extra, from, end), count(&arrivals, from, end));
            assert!(
                hedged <= all * percent / 100.0 + 1e-9,
                "seed {seed}: {hedged} hedges for {all} requests in the window until {end:?}",
            );
        }
        // The windows that begin and end at any other instant.
        for begin in (0..50_000).step_by(37).map(ms) {
            let end = begin + WINDOW;
            let (hedged, all) = (
                count(&extra, Some(begin), end),
                count(&arrivals, Some(begin), end),
            );
            assert!(
                hedged <= all * percent / 100.0 + 4.0 + 1e-9,
                "seed {seed}: {hedged} hedges for {all} requests in the window from {begin:?}",
            );
        }
    }
}

/// Guards against a budget that idle time or a new setting renews.
#[test]
fn neither_a_pause_nor_a_repeated_setting_renews_the_budget() {
    let now = Instant::now();
    let (mut hedging, class) = warm(now);
    let peers = [candidate(2, CandidateState::Warm, 0)];
    for _ in 0..4 {
        assert!(hedging.decide(now, &class, &peers).is_ok());
    }
    assert_eq!(hedging.decide(now, &class, &peers), Err(Denial::Budget));
    hedging.set_budgets(&BTreeMap::new());
    assert_eq!(hedging.arrive(now, &class, Repeatable::Yes), None);
    assert_eq!(hedging.decide(now, &class, &peers), Err(Denial::Off));
    hedging.set_budgets(&BTreeMap::from([(class.clone(), "10".parse().unwrap())]));
    assert_eq!(hedging.decide(now, &class, &peers), Err(Denial::Budget));
    let later = now + 2 * WINDOW;
    assert_eq!(hedging.decide(later, &class, &peers), Err(Denial::Budget));
}

/// Guards against a delay that is far from the percentile, that old latencies
/// keep in force, or that a request that must not run twice gets.
#[test]
fn the_delay_follows_the_percentile_of_the_last_latencies() {
    let now = Instant::now();
    let (mut hedging, class) = warm(now);
    let delay = hedging.arrive(now, &class, Repeatable::Yes).unwrap();
    assert!((ms(94)..=ms(97)).contains(&delay), "{delay:?}");
    assert_eq!(hedging.arrive(now, &class, Repeatable::No), None);
    for second in 0..90 {
        for n in 0..20 {
            hedging.complete(now + ms(second * 1000), &class, ms(200 + n));
        }
    }
    let delay = hedging.arrive(now, &class, Repeatable::Yes).unwrap();
    assert!((ms(215)..=ms(222)).contains(&delay), "{delay:?}");
    let other = "other".parse().unwrap();
    assert_eq!(hedging.arrive(now, &other, Repeatable::Yes), None);
}

/// Guards against hedges to upstreams that must not get extra requests, and
/// against hedges of a saturated service.
#[test]
fn only_warm_upstreams_with_free_slots_of_an_unsaturated_service_get_hedges() {
    use CandidateState::{Cold, Draining, Evacuated, Warm};
    let now = Instant::now();
    let (mut hedging, class) = warm(now);
    let unfit = [
        candidate(2, Cold, 0),
        candidate(3, Draining, 0),
        candidate(4, Evacuated, 0),
        candidate(5, Warm, 4),
    ];
    assert_eq!(hedging.decide(now, &class, &unfit), Err(Denial::NoUpstream));
    let mut peers = unfit.to_vec();
    peers.extend([candidate(6, Warm, 2), candidate(7, Warm, 1)]);
    let (chosen, _) = hedging.decide(now, &class, &peers).unwrap();
    assert_eq!(chosen, UpstreamId(7));

    hedging.observe_load(now, &load(100, 74));
    assert!(hedging.decide(now, &class, &peers).is_ok());
    hedging.observe_load(now, &load(100, 75));
    assert_eq!(
        hedging.decide(now + ms(999), &class, &peers),
        Err(Denial::Saturated)
    );
    assert!(hedging.decide(now + ms(1000), &class, &peers).is_ok());
}
