//! Orders and feeds at one upstream with two slots, before, during and after a burst of
//! feeds, with requests on open flows in the queue of openings or past it, and with a
//! caller that sends half of all requests, under several orders.
//!
//! `cargo test -p relay --test slot_load -- --nocapture` prints what each kind gets. The
//! load is that of one of 38 upstreams; no other upstream takes any of it.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use flow::{
    CallerAction, CallerShare, FlowTable, FlowTableSettings, NextWaiting, OpeningQueue,
    OpeningQueueSettings, Origin, RequestQueue, Segment, UpstreamStatus,
};
use queueing::{Arrival, FairOrder, Order, Place, Ties, Urgency};
use rand::{Rng, SeedableRng, rngs::StdRng};
use types::{Priority, RequestTargets, Slots};

const SLOTS: u32 = 2;
/// Requests that the upstream queues before it rejects others.
const UPSTREAM_QUEUE: usize = 8;
/// One way between a caller and the upstream, in milliseconds.
const PATH_MS: u32 = 2;
const TICK_MS: u32 = 50;
/// Time for the openings that go before overdue requests to become requests.
const OVERDUE_DELAY_MS: u32 = 8;
const BURST_MS: std::ops::Range<u32> = 3000..9000;
const BURST_FACTOR: f64 = 2.5;
const AFTER_MS: std::ops::Range<u32> = 10_000..15_000;
const END_MS: u32 = 15_000;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
const OBJECTIVE_MS: u32 = 250;
const FIRST_ORDER_FLOW: u16 = 1000;
/// Callers beside the heavy one.
const ORDINARY_CALLERS: u16 = 10;
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
    is_heavy: bool,
    start: u32,
    /// `None` if it was refused or rejected.
    latency: Option<u32>,
}

/// Who sends the requests.
#[derive(Clone, Copy, PartialEq)]
enum Callers {
    /// One address.
    One,
    /// One address sends every second request, ten others the rest.
    OneHeavy,
}

impl Callers {
    fn is_heavy(self, flow: u16) -> bool {
        self == Callers::One || flow.is_multiple_of(2)
    }

    fn address(self, flow: u16) -> SocketAddrV4 {
        let ordinary = u8::try_from(2 + flow / 2 % ORDINARY_CALLERS).unwrap();
        let last = if self.is_heavy(flow) { 1 } else { ordinary };
        SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, last), flow)
    }

    fn feed_flows(self) -> u16 {
        match self {
            Callers::One => 60,
            // Enough that no class of callers runs out of idle ones.
            Callers::OneHeavy => 160,
        }
    }
}

struct Play<O> {
    one_queue: bool,
    callers: Callers,
    /// Factor of the rates of all requests.
    demand: f64,
    epoch: Instant,
    now: u32,
    table: FlowTable,
    openings: OpeningQueue<Job, O>,
    requests: RequestQueue<Job>,
    /// Orders whose flow is open and whose request arrives at the instant.
    opened: VecDeque<(u32, Job)>,
    upstream_queue: VecDeque<Job>,
    in_service: Vec<(u32, Job)>,
    feed_seqs: Vec<u32>,
    /// Feeds without a request: those of ordinary callers and of the heavy one.
    idle_feeds: [VecDeque<u16>; 2],
    next_feed_is_heavy: bool,
    outcomes: Vec<Outcome>,
}

fn segment(callers: Callers, kind: Kind, flow: u16, seq: u32) -> Segment {
    Segment {
        source: callers.address(flow),
        destination: kind.service(),
        seq,
        ack: INITIAL_SEQ + 1,
        len: 100,
        acknowledges: true,
        ..Segment::default()
    }
}

fn opening_of(request: &Segment) -> Segment {
    Segment {
        seq: 100,
        ack: 0,
        len: 0,
        opens: true,
        acknowledges: false,
        ..*request
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

impl<O: Order<CallerShare>> Play<O> {
    fn new(order: O, one_queue: bool, callers: Callers, demand: f64) -> Self {
        let epoch = Instant::now();
        let mut table = FlowTable::new(FlowTableSettings::default(), epoch);
        table.set_upstream(Some(UpstreamStatus::ready(1, Slots(SLOTS))));
        let mut idle_feeds = [VecDeque::new(), VecDeque::new()];
        for flow in 0..callers.feed_flows() {
            let first = segment(callers, Kind::Feed, flow, 101);
            let opening = opening_of(&first);
            table.accept_opening(&opening, epoch);
            table.upstream_datagram(&from_upstream(&opening, true), epoch);
            table.caller_datagram(&first, Origin::Held, epoch);
            table.upstream_datagram(&from_upstream(&first, false), epoch);
            idle_feeds[usize::from(callers.is_heavy(flow))].push_back(flow);
        }
        let mut requests = RequestQueue::default();
        requests.set_targets(Kind::Feed.service(), Kind::Feed.targets());
        Play {
            one_queue,
            callers,
            demand,
            epoch,
            now: 0,
            table,
            openings: OpeningQueue::with_order(OpeningQueueSettings::default(), order),
            requests,
            opened: VecDeque::new(),
            upstream_queue: VecDeque::new(),
            in_service: Vec::new(),
            feed_seqs: vec![201; usize::from(callers.feed_flows())],
            idle_feeds,
            next_feed_is_heavy: true,
            outcomes: Vec::new(),
        }
    }

    fn instant(&self) -> Instant {
        self.epoch + Duration::from_millis(u64::from(self.now))
    }

    fn run(mut self, seed: u64) -> Vec<Outcome> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut next_order_flow = FIRST_ORDER_FLOW;
        let mut overdue_at = 0;
        for now in 1..END_MS + 3000 {
            self.now = now;
            self.answer();
            while let Some((_, job)) = self.opened.pop_front_if(|(at, _)| *at <= now) {
                self.deliver(job);
            }
            if now < END_MS && random.random_bool(self.demand * Kind::Feed.per_ms(now)) {
                self.start_feed();
            }
            if now < END_MS && random.random_bool(self.demand * Kind::Order.per_ms(now)) {
                next_order_flow += 1;
                self.start_order(next_order_flow);
            }
            if now % TICK_MS == 0 && self.open_before_overdue() {
                overdue_at = now + OVERDUE_DELAY_MS;
            } else if now % TICK_MS == 0 || now == overdue_at {
                self.deliver_overdue();
            }
            self.serve_queues();
            self.start_work();
        }
        self.outcomes
    }

    /// Before this instant, overdue requests are delivered again.
    fn next_overdue_by(&self) -> Instant {
        self.instant() + Duration::from_millis(u64::from(TICK_MS + OVERDUE_DELAY_MS))
    }

    /// Delivers the openings that go before requests that must be delivered now.
    /// Whether there were any.
    fn open_before_overdue(&mut self) -> bool {
        let (now, pace) = (self.instant(), self.table.pace());
        let until = self.next_overdue_by();
        let openings = &mut self.openings;
        let taken =
            self.requests
                .take_openings_before_overdue(openings, pace, now, until, usize::MAX);
        let any = !taken.is_empty();
        for job in taken {
            self.deliver_waiting(NextWaiting::Opening(job));
        }
        any
    }

    fn deliver_overdue(&mut self) {
        let (now, pace) = (self.instant(), self.table.pace());
        let until = self.next_overdue_by();
        loop {
            let openings = &mut self.openings;
            let Some(job) = self.requests.pop_overdue(openings, pace, now, until) else {
                return;
            };
            self.deliver(job);
        }
    }

    fn deliver_waiting(&mut self, next: NextWaiting<Job>) {
        match next {
            NextWaiting::Opening(job) => {
                self.table
                    .accept_opening(&opening_of(&job.seg), self.instant());
                self.open(job);
            }
            NextWaiting::Request(job) => self.deliver(job),
        }
    }

    fn start_feed(&mut self) {
        let is_heavy = self.next_feed_is_heavy;
        self.next_feed_is_heavy = self.callers == Callers::One || !is_heavy;
        // With none idle, its caller would open a flow; the load stays the same.
        let Some(flow) = self.idle_feeds[usize::from(is_heavy)].pop_front() else {
            return;
        };
        let seq = &mut self.feed_seqs[usize::from(flow)];
        let job = Job {
            kind: Kind::Feed,
            start: self.now,
            seg: segment(self.callers, Kind::Feed, flow, *seq),
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
            seg: segment(self.callers, Kind::Order, flow, 101),
        };
        let opening = opening_of(&job.seg);
        let now = self.instant();
        match self.table.caller_datagram(&opening, Origin::Passed, now) {
            CallerAction::Deliver => self.open(job),
            CallerAction::Wait => self.openings.push(&opening, now, job.kind.targets(), job),
            other => panic!("{other:?}"),
        }
    }

    fn open(&mut self, job: Job) {
        let opening = opening_of(&job.seg);
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
            let flow = job.seg.source.port();
            self.idle_feeds[usize::from(self.callers.is_heavy(flow))].push_back(flow);
        }
        self.record(job, latency);
    }

    fn record(&mut self, job: Job, latency: Option<u32>) {
        self.outcomes.push(Outcome {
            kind: job.kind,
            is_heavy: self.callers.is_heavy(job.seg.source.port()),
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
            let Some(next) = self.requests.pop(&mut self.openings, pace, now) else {
                break;
            };
            self.deliver_waiting(next);
        }
        for job in self.openings.take_hopeless(pace, now) {
            self.record(job, None);
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

/// An order by a rank that does not depend on what was served.
struct Static<R>(fn(&Place<'_, CallerShare>) -> R);

impl<R: Ord> Order<CallerShare> for Static<R> {
    type Rank = R;

    fn rank(&self, place: &Place<'_, CallerShare>) -> R {
        (self.0)(place)
    }

    fn record_served(&mut self, _: &Urgency<CallerShare>, _: impl Iterator<Item = Priority>) {}
}

fn first_in_first_out() -> Static<Arrival> {
    Static(|place| place.arrival)
}

fn strict_priority() -> Static<(Priority, Arrival)> {
    Static(|place| (place.urgency.priority, place.arrival))
}

/// Deficit round robin by caller, with one request for each caller in a round.
#[derive(Default)]
struct RoundRobin {
    round: u64,
    /// Round of the next turn of each caller.
    turns: BTreeMap<Ipv4Addr, u64>,
}

impl RoundRobin {
    fn turn(&self, share: &CallerShare) -> u64 {
        let turn = self.turns.get(&share.caller).copied().unwrap_or(0);
        turn.max(self.round)
    }
}

impl Order<CallerShare> for RoundRobin {
    type Rank = (u64, Arrival);

    fn rank(&self, place: &Place<'_, CallerShare>) -> Self::Rank {
        let turn = self.turn(&place.urgency.share) + place.ahead;
        (turn, place.arrival)
    }

    fn record_served(&mut self, served: &Urgency<CallerShare>, _: impl Iterator<Item = Priority>) {
        self.round = self.turn(&served.share);
        self.turns.insert(served.share.caller, self.round + 1);
    }
}

fn play<O: Order<CallerShare>>(
    order: impl Fn() -> O,
    one_queue: bool,
    callers: Callers,
    demand: f64,
) -> Vec<Outcome> {
    let plays = SEEDS.map(|seed| Play::new(order(), one_queue, callers, demand).run(seed));
    plays.flatten().collect()
}

fn without_shares() -> FairOrder<CallerShare> {
    FairOrder::without_shares(Ties::NewestFirst)
}

fn fair_queueing() -> FairOrder<CallerShare> {
    FairOrder::with_shares(Ties::NewestFirst)
}

/// Share of the requests that were answered within the objective, and of those that were
/// answered at all, of the requests in a span for which `of` returns true.
fn shares(
    outcomes: &[Outcome],
    of: impl Fn(&Outcome) -> bool,
    span: &std::ops::Range<u32>,
) -> (f64, f64) {
    let asked = |o: &&Outcome| of(o) && span.contains(&o.start);
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
        let outcomes = play(without_shares, one_queue, Callers::One, 1.0);
        for kind in [Kind::Order, Kind::Feed] {
            let of = |o: &Outcome| o.kind == kind;
            for (name, span) in &spans {
                let (in_objective, answered) = shares(&outcomes, of, span);
                println!("| {one_queue} | {kind:?} | {name} | {in_objective:.3} | {answered:.3} |");
            }
            in_burst.push(shares(&outcomes, of, &BURST_MS).0);
        }
    }
    let [order_past, feed_past, order, feed] = in_burst[..] else {
        panic!("two rules and two kinds");
    };
    assert!(order >= order_past);
    assert!(feed >= feed_past);
}

/// Prints what each kind and class of caller gets in the burst and after it. Returns the
/// shares in the objective in the burst: of ordinary callers' orders and feeds, and of all.
fn burst_shares(rule: &str, demand: f64, outcomes: &[Outcome]) -> [f64; 4] {
    for kind in [Kind::Order, Kind::Feed] {
        for (class, is_heavy) in [("ordinary", false), ("heavy", true)] {
            let of = |o: &Outcome| o.kind == kind && o.is_heavy == is_heavy;
            let (in_objective, answered) = shares(outcomes, of, &BURST_MS);
            let (after, _) = shares(outcomes, of, &AFTER_MS);
            println!(
                "| {demand} | {rule} | {kind:?} | {class} | {in_objective:.3} | {answered:.3} | {after:.3} |"
            );
        }
    }
    let in_objective = |of: &dyn Fn(&Outcome) -> bool| shares(outcomes, of, &BURST_MS).0;
    [
        in_objective(&|o| o.kind == Kind::Order && !o.is_heavy),
        in_objective(&|o| o.kind == Kind::Feed && !o.is_heavy),
        in_objective(&|o| o.kind == Kind::Order),
        in_objective(&|o| o.kind == Kind::Feed),
    ]
}

/// Work of the requests of the burst that were answered, in milliseconds.
fn answered_work_ms(outcomes: &[Outcome]) -> u32 {
    let answered = outcomes
        .iter()
        .filter(|o| BURST_MS.contains(&o.start) && o.latency.is_some());
    answered.map(|o| o.kind.work_ms()).sum()
}

/// Guards against a caller that sends half of all requests and makes those of the others
/// late, against slots that stay unused because that caller has had its share, and against
/// overdue feeds that take the places of more urgent orders.
#[test]
fn a_heavy_caller_does_not_delay_the_others() {
    const CALLERS: Callers = Callers::OneHeavy;
    const OVERLOAD: f64 = 1.5;
    let plays = u32::try_from(SEEDS.count()).unwrap();
    let capacity_ms = plays * SLOTS * (BURST_MS.end - BURST_MS.start);
    for demand in [1.0, OVERLOAD] {
        let burst = |rule: &str, outcomes: &[Outcome]| burst_shares(rule, demand, outcomes);
        let fifo = play(first_in_first_out, true, CALLERS, demand);
        burst("first in, first out", &fifo);
        let by_priority = play(strict_priority, true, CALLERS, demand);
        burst("strict priority", &by_priority);
        let round_robin = play(RoundRobin::default, true, CALLERS, demand);
        burst("round robin by caller", &round_robin);
        let without = burst("no shares", &play(without_shares, true, CALLERS, demand));
        let outcomes = play(fair_queueing, true, CALLERS, demand);
        let fair = burst("fair queueing", &outcomes);
        let [ordinary_orders, ordinary_feeds, orders, feeds] = fair;
        assert!(ordinary_orders >= without[0] && ordinary_feeds >= without[1]);
        assert!(orders >= feeds, "{orders} and {feeds} at {demand}");
        let answered_ms = answered_work_ms(&outcomes);
        let is_used = demand < OVERLOAD || answered_ms >= capacity_ms;
        assert!(is_used, "{answered_ms} of {capacity_ms} ms");
    }
}
