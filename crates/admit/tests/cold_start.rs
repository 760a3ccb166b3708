//! Requests at a cold upstream.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use admit::{
    Admission, ClaimAnswer, ColdSettings, Decision, DeferredDecision, RequestInfo, RequestOutcome,
    ReservationAnswer, Settings,
};
use cold::ColdBound;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use types::{ClassName, RequestId, ReservationId, Slots, Target, UpstreamId};

/// Time for which an upstream is cold.
const COLD: Duration = Duration::from_secs(10);

/// 20 x 1.5 + 5.
const BOUND: usize = 35;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn cold_settings() -> ColdSettings {
    ColdSettings {
        rate: "20".parse().unwrap(),
        bound: ColdBound::new(1.5, 5.0).unwrap(),
        duration: COLD,
    }
}

fn admission(now: Instant) -> Admission {
    let target = Target {
        carry: Slots(100),
        ..Target::default()
    };
    let mut admission = Admission::new(Settings::default(), 1);
    admission.set_targets(now, &BTreeMap::from([(ClassName::default(), target)]));
    admission
}

/// An upstream with more requests than it handles while it is cold.
struct Load {
    admission: Admission,
    running: VecDeque<RequestId>,
    /// When requests started at the upstream.
    starts: Vec<Instant>,
}

impl Load {
    fn start(&mut self, now: Instant, id: RequestId) {
        self.running.push_back(id);
        self.starts.push(now);
    }

    fn start_all(&mut self, now: Instant, decisions: Vec<DeferredDecision>) {
        for deferred in decisions {
            if deferred.decision == Decision::Run {
                self.start(now, deferred.id);
            }
        }
    }

    /// Plays arrivals, reservations and ends for 20 s.
    fn play(&mut self, seed: u64, begin: Instant) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let class = ClassName::default();
        let mut reserved = VecDeque::new();
        for n in 0..20_000 {
            let now = begin + ms(n);
            while self.admission.next_deadline().is_some_and(|at| at <= now) {
                let decisions = self.admission.tick(now);
                self.start_all(now, decisions);
            }
            let id = RequestId(n);
            match rng.random_range(0..4) {
                0 | 1 => {
                    let info = RequestInfo::new(id, class.clone());
                    if self.admission.arrive(now, info) == Decision::Run {
                        self.start(now, id);
                    }
                }
                2 => {
                    let reservation = ReservationId(n);
                    let until = now + ms(rng.random_range(1..200));
                    let peer = UpstreamId(9);
                    let answer = self
                        .admission
                        .reserve(now, reservation, peer, &class, until);
                    if matches!(answer, ReservationAnswer::Granted { .. }) {
                        reserved.push_back(reservation);
                    }
                }
                _ if rng.random_bool(0.1) => {
                    if let Some(reservation) = reserved.pop_front()
                        && self.admission.claim(now, reservation, id) == ClaimAnswer::Run
                    {
                        self.start(now, id);
                    }
                }
                _ => {
                    if let Some(id) = self.running.pop_front() {
                        let outcome = RequestOutcome::Completed;
                        let decisions = self.admission.finish(now, id, outcome);
                        self.start_all(now, decisions);
                    }
                }
            }
        }
    }
}

/// Guards against more requests at a cold upstream than the bound allows, in any second and
/// on any path, against one that gets none although it may, and against a limit that
/// holds when it is off or the upstream is warm.
#[test]
fn a_cold_upstream_gets_at_most_the_bound_in_any_second() {
    for seed in 0..12 {
        let begin = Instant::now();
        let mut load = Load {
            admission: admission(begin),
            running: VecDeque::new(),
            starts: Vec::new(),
        };
        let is_limited = seed > 0;
        if is_limited {
            load.admission.limit_cold_starts(begin, &cold_settings());
        }
        load.play(seed, begin);
        let cold_end = begin + COLD;
        let (cold, warm): (Vec<Instant>, Vec<Instant>) =
            load.starts.iter().partition(|at| **at < cold_end);
        let windows = cold.windows(BOUND + 1);
        let exceeding = windows.filter(|w| w[BOUND] - w[0] < Duration::from_secs(1));
        assert_eq!(exceeding.count() > 0, !is_limited, "seed {seed}");
        // The first 1.1 s may belong to a former process of the agent.
        assert!(cold.len() >= 8 * 20 * 4 / 5, "seed {seed}: {}", cold.len());
        assert!(warm.len() > 3 * cold.len() || !is_limited, "seed {seed}");
    }
}

/// Guards against an upstream that counts as warm after it has started again, and against
/// a request that waits although it may start.
#[test]
fn an_upstream_is_cold_after_a_connection_failed() {
    let begin = Instant::now();
    let mut admission = admission(begin);
    admission.limit_cold_starts(begin, &cold_settings());
    let warm_at = begin + COLD;
    let arrive = |admission: &mut Admission, now, n| {
        let info = RequestInfo::new(RequestId(n), ClassName::default());
        admission.arrive(now, info)
    };
    for n in 0..50 {
        assert_eq!(arrive(&mut admission, warm_at, n), Decision::Run);
    }
    let restarted_at = warm_at + ms(2000);
    admission.connect_failed(restarted_at);
    admission.connect_succeeded(restarted_at);
    // The pace is two in 100 ms.
    for n in 50..52 {
        assert_eq!(arrive(&mut admission, restarted_at, n), Decision::Run);
    }
    let third = arrive(&mut admission, restarted_at, 52);
    assert!(matches!(third, Decision::Queue { .. }), "{third:?}");
    let next = admission.next_deadline().unwrap();
    assert_eq!(next, restarted_at + ms(100));
    let started = DeferredDecision {
        id: RequestId(52),
        decision: Decision::Run,
    };
    assert_eq!(admission.tick(next), [started]);
}
