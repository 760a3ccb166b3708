//! Loads of a small service, played through the decisions without a network.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the figures of the model are far below 2^52"
)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use hedge::{Candidate, CandidateState, Hedging, Repeatable, Settings};
use rand::{Rng, SeedableRng, rngs::StdRng};
use types::{ClassLoad, ClassName, Slots, UpstreamId};

const UPSTREAMS: usize = 8;
const SLOTS: u32 = 8;
const REQUESTS: usize = 120_000;
/// A response after this is late.
const OBJECTIVE_US: u64 = 100_000;
/// Queued requests are refused after this, as by the agent's admission.
const QUEUE_TIMEOUT_US: u64 = 500_000;
/// Interval of the peers' load reports.
const REPORT_US: u64 = 100_000;
/// Share of the copies that an upstream serves slowly.
const SLOW: f64 = 0.01;
/// Mean of `service_time`: 15 ms, or 550 ms for the slow ones.
const MEAN_US: f64 = (1.0 - SLOW) * 15_000.0 + SLOW * 550_000.0;

/// Time that one copy of a request takes at an upstream. It is the same with and
/// without hedging, and independent for the two copies.
fn service_time(request: usize, copy: usize) -> u64 {
    let mut rng = StdRng::seed_from_u64(request as u64 * 2 + copy as u64);
    if rng.random_bool(1.0 - SLOW) {
        rng.random_range(10_000..20_000)
    } else {
        rng.random_range(100_000..1_000_000)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Done { request: usize, copy: usize },
    HedgeDue(usize),
    Report,
}

#[derive(Clone)]
struct Request {
    arrived: u64,
    home: usize,
    /// Where each copy runs, and since when.
    running: [Option<(usize, u64)>; 2],
    latency: Option<u64>,
}

/// Upstreams with their agents. Each agent has its own [`Hedging`] and knows its
/// peers by reports.
struct Model {
    origin: Instant,
    class: ClassName,
    agents: Vec<Hedging>,
    in_flight: [u32; UPSTREAMS],
    queues: [VecDeque<usize>; UPSTREAMS],
    reported: Vec<ClassLoad>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    hedged: Vec<usize>,
    busy_us: u64,
}

impl Model {
    fn at(&self, us: u64) -> Instant {
        self.origin + Duration::from_micros(us)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn start(&mut self, now: u64, upstream: usize, request: usize, copy: usize) {
        self.in_flight[upstream] += 1;
        self.requests[request].running[copy] = Some((upstream, now));
        self.push(
            now + service_time(request, copy),
            Event::Done { request, copy },
        );
    }

    /// Frees the slot of a copy and gives it to the next queued request.
    fn stop(&mut self, now: u64, request: usize, copy: usize) {
        let Some((upstream, since)) = self.requests[request].running[copy].take() else {
            return;
        };
        self.busy_us += now - since;
        self.in_flight[upstream] -= 1;
        let oldest = now.saturating_sub(QUEUE_TIMEOUT_US);
        while let Some(next) = self.queues[upstream].pop_front() {
            if self.requests[next].arrived >= oldest {
                return self.start(now, upstream, next, 0);
            }
        }
    }

    fn report(&mut self, now: u64) {
        let load = |u: usize| ClassLoad {
            slots: Slots(SLOTS),
            in_flight: Slots(self.in_flight[u]),
            queued: Slots(self.queues[u].len() as u32),
        };
        self.reported = (0..UPSTREAMS).map(load).collect();
        let sum = |f: fn(&ClassLoad) -> u32| Slots(self.reported.iter().map(f).sum());
        let total = ClassLoad {
            slots: sum(|l| l.slots.0),
            in_flight: sum(|l| l.in_flight.0),
            queued: sum(|l| l.queued.0),
        };
        let at = self.at(now);
        for agent in &mut self.agents {
            agent.observe_load(at, &total);
        }
        if now < self.requests[REQUESTS - 1].arrived {
            self.push(now + REPORT_US, Event::Report);
        }
    }

    fn arrive(&mut self, now: u64, request: usize) {
        let (at, home) = (self.at(now), self.requests[request].home);
        if let Some(delay) = self.agents[home].arrive(at, &self.class, Repeatable::Yes) {
            let due = now + delay.as_micros() as u64;
            self.push(due, Event::HedgeDue(request));
        }
        // A full upstream hands the request to a free peer, if any.
        let free = |u: &usize| self.in_flight[*u] < SLOTS;
        let peers = || (0..UPSTREAMS).filter(free);
        let upstream = Some(home)
            .filter(free)
            .or_else(|| peers().min_by_key(|u| self.in_flight[*u]));
        if let Some(upstream) = upstream {
            self.start(now, upstream, request, 0);
        } else if self.queues[home].len() < 4 * SLOTS as usize {
            self.queues[home].push_back(request);
        } else {
            self.agents[home].mark_saturated(at);
        }
    }

    fn hedge_due(&mut self, now: u64, request: usize) {
        let (at, home) = (self.at(now), self.requests[request].home);
        let Some((primary, _)) = self.requests[request].running[0] else {
            return;
        };
        let peers: Vec<_> = (0..UPSTREAMS)
            .filter(|u| *u != primary && *u != home)
            .map(|u| Candidate {
                id: UpstreamId(u as u64),
                state: CandidateState::Warm,
                load: self.reported[u],
            })
            .collect();
        let decision = self.agents[home].decide(at, &self.class, &peers);
        let Ok((UpstreamId(peer), withdrawal)) = decision else {
            return;
        };
        if self.in_flight[peer as usize] < SLOTS {
            self.agents[home].confirm(&withdrawal);
            self.hedged.push(request);
            self.start(now, peer as usize, request, 1);
        } else {
            self.agents[home].refund(&withdrawal);
            self.agents[home].mark_saturated(at);
        }
    }

    fn done(&mut self, now: u64, request: usize, copy: usize) {
        // The end of a copy that was cancelled is not an event.
        if self.requests[request].running[copy].is_none() {
            return;
        }
        self.stop(now, request, 0);
        self.stop(now, request, 1);
        let latency = now - self.requests[request].arrived;
        self.requests[request].latency = Some(latency);
        let (at, home) = (self.at(now), self.requests[request].home);
        self.agents[home].complete(at, &self.class, Duration::from_micros(latency));
    }
}

/// What the callers of one run saw, in milliseconds and percent.
#[derive(Debug)]
struct Figures {
    p50: f64,
    p99: f64,
    p999: f64,
    late: f64,
    hedged: f64,
    /// Hedges of the second half of the requests.
    hedged_later: usize,
    /// Time in slots for each answered request.
    work: f64,
}

/// Plays Poisson arrivals at these shares of the capacity, in percent: one for
/// the first half of the requests and one for the second.
fn play(percents: [u32; 2], budget: Option<&str>, seed: u64) -> Figures {
    let origin = Instant::now();
    let class = ClassName::default();
    let mut agent = Hedging::new(Settings::default(), origin);
    let budget_of = |b: &str| (class.clone(), b.parse().unwrap());
    agent.set_budgets(
        &budget
            .map(budget_of)
            .into_iter()
            .collect::<BTreeMap<_, _>>(),
    );

    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = f64::from(SLOTS) * UPSTREAMS as f64 / MEAN_US;
    let mut now = 0.0;
    let mut draw = |request: usize| {
        let percent = percents[request * 2 / REQUESTS];
        let mean_gap = 100.0 / (capacity * f64::from(percent));
        now -= mean_gap * rng.random::<f64>().max(1e-12).ln();
        Request {
            arrived: now as u64,
            home: rng.random_range(0..UPSTREAMS),
            running: [None; 2],
            latency: None,
        }
    };
    let requests: Vec<_> = (0..REQUESTS).map(&mut draw).collect();
    let arrivals = requests.iter().enumerate();
    let arrivals = arrivals.map(|(n, r)| Reverse((r.arrived, Event::Arrive(n))));
    let mut model = Model {
        origin,
        class,
        agents: vec![agent; UPSTREAMS],
        in_flight: [0; UPSTREAMS],
        queues: Default::default(),
        reported: Vec::new(),
        events: arrivals.collect(),
        requests,
        hedged: Vec::new(),
        busy_us: 0,
    };
    model.push(0, Event::Report);
    while let Some(Reverse((now, event))) = model.events.pop() {
        match event {
            Event::Report => model.report(now),
            Event::Arrive(request) => model.arrive(now, request),
            Event::HedgeDue(request) => model.hedge_due(now, request),
            Event::Done { request, copy } => model.done(now, request, copy),
        }
    }
    let figures = figures(&model);
    println!("load {percents:?} budget {budget:?}: {figures:.3?}");
    figures
}

fn figures(model: &Model) -> Figures {
    let mut answered: Vec<u64> = model.requests.iter().filter_map(|r| r.latency).collect();
    answered.sort_unstable();
    let rank = |q: f64| answered[((answered.len() - 1) as f64 * q) as usize] as f64 / 1000.0;
    let in_time = answered.partition_point(|l| *l <= OBJECTIVE_US);
    let share = |n: usize| n as f64 * 100.0 / REQUESTS as f64;
    Figures {
        p50: rank(0.5),
        p99: rank(0.99),
        p999: rank(0.999),
        late: share(REQUESTS - in_time),
        hedged: share(model.hedged.len()),
        hedged_later: model.hedged.iter().filter(|n| **n >= REQUESTS / 2).count(),
        work: model.busy_us as f64 / answered.len() as f64 / 1000.0,
    }
}

/// Guards against hedging that does not shorten the tail or costs more than its
/// budget.
#[test]
fn at_moderate_load_hedges_shorten_the_tail_within_the_budget() {
    for percent in [30, 50] {
        let off = play([percent; 2], None, 1);
        for (budget, limit) in [("1", 1.0), ("2", 2.0), ("5", 5.0)] {
            let on = play([percent; 2], Some(budget), 1);
            assert!(on.hedged > 0.0 && on.hedged <= limit, "{on:?}");
            assert!(on.work <= off.work * (1.0 + limit / 100.0), "{on:?}");
            assert!(on.late < off.late, "{on:?}, without: {off:?}");
            assert!(on.p999 <= off.p999, "{on:?}, without: {off:?}");
        }
    }
}

/// Guards against hedges that take slots from first copies near and above the
/// capacity.
#[test]
fn near_and_above_the_capacity_hedges_stop_and_nobody_is_served_worse() {
    for percent in [70, 80, 90, 100, 110, 120, 130] {
        let off = play([percent; 2], None, 2);
        let on = play([percent; 2], Some("5"), 2);
        // Hedges change which requests meet a full upstream, which may move the
        // ranks by a few of the 120,000 requests.
        assert!(on.late <= off.late + 0.01, "{on:?}, without: {off:?}");
        assert!(on.p50 <= off.p50 * 1.01, "{on:?}, without: {off:?}");
        assert!(on.p99 <= off.p99 * 1.01, "{on:?}, without: {off:?}");
        if percent >= 100 {
            assert!(on.hedged < 0.01, "{on:?}");
        }
    }
}

/// Guards against hedges that go on, by a load known from earlier, when an
/// overload begins.
#[test]
fn when_an_overload_begins_hedges_stop_and_nobody_is_served_worse() {
    for percent in [100, 130] {
        // The queue of a service at its capacity is a random walk: the late share
        // of two runs that differ in a single request differs by up to a tenth in
        // either direction, so the sums of several runs are compared.
        let (mut late_off, mut late_on) = (0.0, 0.0);
        for seed in 3..8 {
            late_off += play([50, percent], None, seed).late;
            let on = play([50, percent], Some("5"), seed);
            late_on += on.late;
            assert!(on.hedged > 1.0, "{on:?}");
            // Until the first report, 100 ms with about 400 requests, the
            // budget allows 20 hedges, and 4 in a row at each of the 8 agents.
            assert!(on.hedged_later <= 52, "{on:?}");
        }
        assert!(late_on <= late_off, "{late_on} {late_off}");
    }
}
