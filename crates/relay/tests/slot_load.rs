//! Orders and feeds at one upstream with two slots, before, during and after a burst of
//! feeds, with requests on open flows in the queue of openings or past it.
//!
//! `cargo test -p relay --test slot_load -- --nocapture` prints what each kind gets. The
//! load is that of one of 38 upstreams; no other upstream takes any of it.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use flow::{
    CallerAction, FlowTable, FlowTableSettings, OpeningQueue, OpeningQueueSettings, Origin,
    RequestQueue, Segment, UpstreamStatus,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use types::{Priority, RequestTargets, Slots};

const SLOTS: u32 = 2;
/// Requests that the upstream queues before it rejects others.
const UPSTREAM_QUEUE: usize = 8;
/// One way between a caller and the upstream, in milliseconds.
const PATH_MS: u32 = 2;
const TICK_MS: u32 = 50;
const BURST_MS: std::ops::Range<u32> = 3000..9000;
const BURST_FACTOR: f64 = 2.5;
const AFTER_MS: std::ops::Range<u32> = 10_000..15_000;
const END_MS: u32 = 15_000;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
const OBJECTIVE_MS: u32 = 250;
const FEED_FLOWS: u16 = 60;
const FIRST_ORDER_FLOW: u16 = 1000;
const INITIAL_SEQ: u32 = 5000;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Kind {
    Order,
    Feed,
}

impl Kind {
    fn per_ms(self, now: u32) -> f64 {
        match self {
            Kind::Order => 0.325 / 38.0,
            Kind::Feed if BURST_MS.contains(&now) => BURST_FACTOR * 1.138 / 38.0,
            Kind::Feed => 1.138 / 38.0,
        }
    }

    fn work_ms(self) -> u32 {
        match self {
            Kind::Order => 29,
            Kind::Feed => 22,
        }
    }

    fn targets(self) -> RequestTargets {
        let (priority, timeout_ms) = match self {
            Kind::Order => (1, 2000),
            Kind::Feed => (2, 1500),
        };
        RequestTargets {
            objective: Duration::from_millis(u64::from(OBJECTIVE_MS)),
            timeout: Duration::from_millis(timeout_ms),
            priority: Priority(priority),
        }
    }

    fn service(self) -> SocketAddrV4 {
        let last = if self == Kind::Order { 1 } else { 2 };
        SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, last), 443)
    }
}

/// A request and the datagram that carries it.
#[derive(Clone, Copy, Debug)]
struct Job {
    kind: Kind,
    start: u32,
    seg: Segment,
}

struct Outcome {
    kind: Kind,
    start: u32,
    /// `None` if it was refused or rejected.
    latency: Option<u32>,
}

struct Play {
    one_queue: bool,
    epoch: Instant,
    now: u32,
    table: FlowTable,
    openings: OpeningQueue<Job>,
    requests: RequestQueue<Job>,
    /// Orders whose flow is open and whose request arrives at the instant.
    opened: VecDeque<(u32, Job)>,
    upstream_queue: VecDeque<Job>,
    in_service: Vec<(u32, Job)>,
    feed_seqs: Vec<u32>,
    idle_feeds: VecDeque<u16>,
    outcomes: Vec<Outcome>,
}

fn segment(kind: Kind, flow: u16, seq: u32) -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), flow),
        destination: kind.service(),
        seq,
        ack: INITIAL_SEQ + 1,
        len: 100,
        acknowledges: true,
        ..Segment::default()
    }
}

fn opening(kind: Kind, flow: u16) -> Segment {
    Segment {
        ack: 0,
        len: 0,
        opens: true,
        acknowledges: false,
        ..segment(kind, flow, 100)
    }
}

fn from_upstream(seg: &Segment, opens: bool) -> Segment {
    Segment {
        source: seg.destination,
        destination: seg.source,
        seq: INITIAL_SEQ + u32::from(!opens),
        len: if opens { 0 } else { 100 },
        opens,
        acknowledges: true,
        ..Segment::default()
    }
}

impl Play {
    fn new(one_queue: bool) -> Self {
        let epoch = Instant::now();
        let mut table = FlowTable::new(FlowTableSettings::default(), epoch);
        table.set_upstream(Some(UpstreamStatus::ready(1, Slots(SLOTS))), epoch);
        for flow in 0..FEED_FLOWS {
            let opening = opening(Kind::Feed, flow);
            let first = segment(Kind::Feed, flow, 101);
            table.accept_opening(&opening, epoch);
            table.upstream_datagram(&from_upstream(&opening, true), epoch);
            table.caller_datagram(&first, Origin::Held, epoch);
            table.upstream_datagram(&from_upstream(&first, false), epoch);
        }
        let settings = OpeningQueueSettings::default();
        let mut requests = RequestQueue::new(settings);
        requests.set_targets(Kind::Feed.service(), Kind::Feed.targets());
        Play {
            one_queue,
            epoch,
            now: 0,
            table,
            openings: OpeningQueue::new(settings),
            requests,
            opened: VecDeque::new(),
            upstream_queue: VecDeque::new(),
            in_service: Vec::new(),
            feed_seqs: vec![201; usize::from(FEED_FLOWS)],
            idle_feeds: (0..FEED_FLOWS).collect(),
            outcomes: Vec::new(),
        }
    }

    fn instant(&self) -> Instant {
        self.epoch + Duration::from_millis(u64::from(self.now))
    }

    fn run(mut self, seed: u64) -> Vec<Outcome> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut next_order_flow = FIRST_ORDER_FLOW;
        for now in 1..END_MS + 3000 {
            self.now = now;
            self.answer();
            while let Some((_, job)) = self.opened.pop_front_if(|(at, _)| *at <= now) {
                self.deliver(job);
            }
            if now < END_MS && random.random_bool(Kind::Feed.per_ms(now)) {
                self.start_feed();
            }
            if now < END_MS && random.random_bool(Kind::Order.per_ms(now)) {
                next_order_flow += 1;
                self.start_order(next_order_flow);
            }
            if now % TICK_MS == 0 {
                let next_tick = self.instant() + Duration::from_millis(u64::from(TICK_MS));
                for job in self.requests.take_overdue(next_tick) {
                    self.deliver(job);
                }
            }
            self.serve_queues();
            self.start_work();
        }
        self.outcomes
    }

    fn start_feed(&mut self) {
        // With none idle, its caller would open a flow; the load stays the same.
        let Some(flow) = self.idle_feeds.pop_front() else {
            return;
        };
        let seq = &mut self.feed_seqs[usize::from(flow)];
        let job = Job {
            kind: Kind::Feed,
            start: self.now,
            seg: segment(Kind::Feed, flow, *seq),
        };
        *seq += 100;
        if self.one_queue && self.table.exceeds_admissions(&job.seg, self.instant()) {
            self.requests.push(&job.seg, job, self.instant());
        } else {
            self.deliver(job);
        }
    }

    fn start_order(&mut self, flow: u16) {
        let job = Job {
            kind: Kind::Order,
            start: self.now,
            seg: segment(Kind::Order, flow, 101),
        };
        let opening = opening(Kind::Order, flow);
        let now = self.instant();
        match self.table.caller_datagram(&opening, Origin::Passed, now) {
            CallerAction::Deliver => self.open(job),
            CallerAction::Wait => self.openings.push(&opening, now, job.kind.targets(), job),
            other => panic!("{other:?}"),
        }
    }

    fn open(&mut self, job: Job) {
        let opening = opening(job.kind, job.seg.source.port());
        let now = self.instant();
        self.table
            .upstream_datagram(&from_upstream(&opening, true), now);
        self.opened.push_back((self.now + 2 * PATH_MS, job));
    }

    /// Delivers a request to the upstream.
    fn deliver(&mut self, job: Job) {
        let now = self.instant();
        self.table.caller_datagram(&job.seg, Origin::Held, now);
        if self.upstream_queue.len() < UPSTREAM_QUEUE {
            self.upstream_queue.push_back(job);
        } else {
            self.finish(job, None);
        }
    }

    fn finish(&mut self, job: Job, latency: Option<u32>) {
        let now = self.instant();
        self.table
            .upstream_datagram(&from_upstream(&job.seg, false), now);
        if job.kind == Kind::Feed {
            self.idle_feeds.push_back(job.seg.source.port());
        }
        self.outcomes.push(Outcome {
            kind: job.kind,
            start: job.start,
            latency,
        });
    }

    fn answer(&mut self) {
        let now = self.now;
        let done: Vec<(u32, Job)> = self
            .in_service
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, job) in done {
            self.finish(job, Some(now - job.start + 2 * PATH_MS));
        }
    }

    fn serve_queues(&mut self) {
        let now = self.instant();
        let pace = self.table.pace();
        for _ in 0..self.table.free_admissions(now) {
            if let Some(job) = self.requests.pop_before(&self.openings, pace, now) {
                self.deliver(job);
            } else if let Some(job) = self.openings.pop(pace, now) {
                let opening = opening(job.kind, job.seg.source.port());
                self.table.accept_opening(&opening, now);
                self.open(job);
            }
        }
        for job in self.openings.take_hopeless(pace, now) {
            self.outcomes.push(Outcome {
                kind: job.kind,
                start: job.start,
                latency: None,
            });
        }
    }

    fn start_work(&mut self) {
        while self.in_service.len() < usize::try_from(SLOTS).unwrap() {
            let Some(job) = self.upstream_queue.pop_front() else {
                return;
            };
            self.in_service.push((self.now + job.kind.work_ms(), job));
        }
    }
}

/// Share of the requests of a kind that were answered within the objective, and of those
/// that were answered at all.
fn shares(outcomes: &[Outcome], kind: Kind, span: &std::ops::Range<u32>) -> (f64, f64) {
    let asked = |o: &&Outcome| o.kind == kind && span.contains(&o.start);
    let share = |limit: u32| {
        let within = |o: &&Outcome| o.latency.is_some_and(|latency| latency <= limit);
        let asked: Vec<&Outcome> = outcomes.iter().filter(asked).collect();
        let within = asked.iter().copied().filter(within).count();
        f64::from(u32::try_from(within).unwrap()) / f64::from(u32::try_from(asked.len()).unwrap())
    };
    (share(OBJECTIVE_MS), share(u32::MAX))
}

/// Guards against feeds on open flows that make more urgent orders late, and against
/// feeds that get less because they wait with the orders.
#[test]
fn a_burst_of_feeds_does_not_delay_orders() {
    let spans = [
        ("before", 500..BURST_MS.start),
        ("burst", BURST_MS),
        ("after", AFTER_MS),
    ];
    let mut in_burst = Vec::new();
    for one_queue in [false, true] {
        let plays = SEEDS.map(|seed| Play::new(one_queue).run(seed));
        let outcomes: Vec<Outcome> = plays.flatten().collect();
        for kind in [Kind::Order, Kind::Feed] {
            for (name, span) in &spans {
                let (in_objective, answered) = shares(&outcomes, kind, span);
                println!("| {one_queue} | {kind:?} | {name} | {in_objective:.3} | {answered:.3} |");
            }
            in_burst.push(shares(&outcomes, kind, &BURST_MS).0);
        }
    }
    let [order_past, feed_past, order, feed] = in_burst[..] else {
        panic!("two rules and two kinds");
    };
    assert!(order >= order_past);
    assert!(feed >= feed_past);
}
