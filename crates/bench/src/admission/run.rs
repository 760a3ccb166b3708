//! The event loop.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use admit::{
    Admission, ClaimAnswer, Decision, DeferredDecision, LoadReport, PeerAnswer, RequestInfo,
    RequestOutcome, ReservationAnswer,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use types::{
    ClassLoad, ClassLoads, ClassName, DataCentre, RequestId, ReservationId, Slots, Target,
    UpstreamId,
};

use super::{Case, Figures, Kind, Scenario};

/// Mean service time.
const SERVICE: Duration = Duration::from_millis(50);
/// Time after which a caller gives up.
const PATIENCE: Duration = Duration::from_millis(500);
/// One-way delay within a data centre.
const NEAR: Duration = Duration::from_micros(250);
/// Connections for each upstream; few enough that a hash spreads them unevenly.
const CONNECTIONS: usize = 20;
/// Balancers that place requests on their own counts in the baselines.
const BALANCERS: usize = 4;
/// Time between two publications of counts.
const PUBLISH: Duration = Duration::from_millis(500);
/// Age of published counts on arrival.
const NEWS_AGE: Duration = Duration::from_secs(1);
/// Age of published counts on arrival in the scenario of late news.
const LATE_NEWS_AGE: Duration = Duration::from_secs(5);
/// Time for which a cold upstream is slow and its share grows.
const WARM_UP: Duration = Duration::from_secs(10);
/// Service times of a cold upstream are this many times as long.
const COLD_FACTOR: f64 = 4.0;
/// Feeds held for each upstream on average.
const FEEDS: f64 = 20.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// The request at this upstream is served.
    Done(usize, usize),
    /// The caller gives up.
    GiveUp(usize),
    Tick(usize),
    /// A peer is asked: who, for which request, under which reservation.
    Ask(usize, usize, ReservationId),
    /// Whether the peer granted, and its free count and queue if not.
    Answer(usize, usize, ReservationId, Option<(u32, u32, u32)>),
    Pass(usize, usize, ReservationId),
    Release(usize, ReservationId),
    /// A peer is offered a slot: to whom, by whom.
    Offer(usize, usize, ReservationId),
    Publish,
    /// Counts of an upstream arrive everywhere.
    News(usize, u32, u32, u32),
    Leave,
    Rehash,
    FeedStart,
    FeedEnd(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Waiting,
    /// In progress or queued at this upstream.
    At(usize),
    Ended,
}

struct Request {
    home: usize,
    arrived: Duration,
    deadline: Duration,
    place: Place,
    /// Service time at an upstream that is warm.
    work: Duration,
}

struct Node {
    admission: Option<Admission>,
    running: BTreeSet<usize>,
    /// Queue inside the upstream, of the baselines.
    fifo: VecDeque<usize>,
    /// Requests at the agent without a final decision.
    waiting: u32,
    feeds: u32,
    serving: bool,
    /// Reported load as the balancers know it.
    known: u32,
    touched: Duration,
    next_tick: Option<Duration>,
}

struct Run<'a> {
    case: &'a Case,
    kind: &'a Kind,
    base: Instant,
    now: Duration,
    /// Drives arrivals and service times, the same for every variant.
    arrivals: SmallRng,
    /// Drives everything else.
    rng: SmallRng,
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// Upstream of each connection.
    connections: Vec<usize>,
    /// Next upstream of each balancer in turn.
    turns: [usize; BALANCERS],
    /// What each balancer sent to each upstream since its last report.
    sent: Vec<[u32; BALANCERS]>,
    figures: Figures,
}

/// Runs one case.
#[must_use]
pub fn run(case: &Case, kind: &Kind) -> Figures {
    let mut run = Run::new(case, kind);
    run.start();
    while let Some(Reverse((at, _, event))) = run.heap.pop() {
        if at > case.length {
            break;
        }
        run.now = at;
        run.handle(event);
    }
    run.now = case.length;
    for node in 0..run.nodes.len() {
        run.touch(node);
    }
    run.figures
}

fn peer_id(node: usize) -> UpstreamId {
    UpstreamId(node as u64)
}

fn node_of(peer: UpstreamId) -> usize {
    usize::try_from(peer.0).unwrap_or_default()
}

fn data_centre(node: usize) -> DataCentre {
    ["dc-a", "dc-b", "dc-c"][node % 3]
        .parse()
        .expect("a valid name")
}

fn loads_of(slots: u32, in_flight: u32, queued: u32) -> ClassLoads {
    let load = ClassLoad {
        slots: Slots(slots),
        in_flight: Slots(in_flight),
        queued: Slots(queued),
    };
    BTreeMap::from([(ClassName::default(), load)])
}

fn flat(loads: &ClassLoads) -> (u32, u32, u32) {
    let load = loads.values().next().copied().unwrap_or_default();
    (load.slots.0, load.in_flight.0, load.queued.0)
}

impl<'a> Run<'a> {
    fn new(case: &'a Case, kind: &'a Kind) -> Self {
        let count = case.size.upstreams;
        let mut run = Run {
            case,
            kind,
            base: Instant::now(),
            now: Duration::ZERO,
            arrivals: SmallRng::seed_from_u64(case.seed),
            rng: SmallRng::seed_from_u64(case.seed ^ 0x5eed),
            heap: BinaryHeap::new(),
            sequence: 0,
            nodes: Vec::new(),
            requests: Vec::new(),
            connections: Vec::new(),
            turns: std::array::from_fn(|i| i),
            sent: vec![[0; BALANCERS]; count],
            figures: Figures::new(case.length),
        };
        run.nodes = (0..count).map(|node| run.node(node)).collect();
        run.connections = (0..count * CONNECTIONS)
            .map(|_| run.draw_upstream())
            .collect();
        run
    }

    fn node(&self, node: usize) -> Node {
        Node {
            admission: self.admission(node),
            running: BTreeSet::new(),
            fifo: VecDeque::new(),
            waiting: 0,
            feeds: 0,
            serving: true,
            known: 0,
            touched: Duration::ZERO,
            next_tick: None,
        }
    }

    fn admission(&self, node: usize) -> Option<Admission> {
        let Kind::Admit(settings) = self.kind else {
            return None;
        };
        let target = Target {
            carry: Slots(self.case.size.slots),
            ..Target::default()
        };
        let mut admission = Admission::new(settings.clone(), self.case.seed << 8 | node as u64);
        let targets = BTreeMap::from([(ClassName::default(), target)]);
        admission.set_targets(self.base, &targets);
        let others = (0..self.case.size.upstreams).filter(|other| *other != node);
        let peers = others.map(|other| (peer_id(other), data_centre(other)));
        admission.set_peers(&data_centre(node), &peers.collect());
        Some(admission)
    }

    fn start(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrive);
        self.schedule(Duration::ZERO, Event::Publish);
        self.schedule(Duration::from_secs(1), Event::Rehash);
        match self.case.scenario {
            Scenario::Leaving => self.schedule(self.case.length / 3, Event::Leave),
            Scenario::Feeds => self.schedule(Duration::ZERO, Event::FeedStart),
            _ => {}
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let entry = (self.now + delay, self.sequence, event);
        self.heap.push(Reverse(entry));
    }

    /// Sends a message between two agents.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        self.figures.messages += 1;
        let near = from % 3 == to % 3;
        self.schedule(if near { NEAR } else { self.case.size.far }, event);
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Adds the time since the last change to the figures of the upstream.
    fn touch(&mut self, node: usize) {
        let slots = self.slots(node);
        let at = &mut self.nodes[node];
        let time = self.now.saturating_sub(at.touched);
        at.touched = self.now;
        let held = u32::try_from(at.running.len() + at.fifo.len()).unwrap_or(u32::MAX);
        self.figures.excess.add(held.saturating_sub(slots), time);
        let backlog = (held + at.waiting).saturating_sub(slots);
        self.figures.backlog.add(backlog, time);
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.arrivals.random::<f64>()).ln())
    }

    /// Upstream of a new connection: by hash, in proportion to the shares.
    fn draw_upstream(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..self.case.size.upstreams);
            let warm = self.now.as_secs_f64() / WARM_UP.as_secs_f64();
            let ramped = matches!(self.kind, Kind::Admit(_)) && self.is_cold(node);
            let share = if ramped { warm.max(0.125) } else { 1.0 };
            let known = self.nodes.get(node).is_none_or(|at| at.serving);
            if known && self.rng.random_bool(share) {
                return node;
            }
        }
    }

    fn is_cold(&self, node: usize) -> bool {
        self.case.scenario == Scenario::Cold && node == 0 && self.now < WARM_UP
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Done(node, request) => self.done(node, request),
            Event::GiveUp(request) => self.give_up(request),
            Event::Tick(node) => self.drive(node, Admission::tick),
            Event::Ask(node, request, id) => self.ask(node, request, id),
            Event::Answer(node, request, id, full) => self.answer(node, request, id, full),
            Event::Pass(node, request, id) => self.pass(node, request, id),
            Event::Release(node, id) => self.drive(node, |a, now| a.release(now, id)),
            Event::Offer(node, from, id) => self.offer(node, from, id),
            Event::Publish => self.publish(),
            Event::News(node, slots, in_flight, queued) => {
                self.news(node, slots, in_flight, queued);
            }
            Event::Leave => {
                self.nodes[0].serving = false;
                self.drive(0, |a, now| a.set_leaving(now, true));
            }
            Event::Rehash => self.rehash(),
            Event::FeedStart => self.feed_start(),
            Event::FeedEnd(node) => self.nodes[node].feeds -= 1,
        }
    }

    fn arrive(&mut self) {
        let size = self.case.size;
        let gone = usize::from(self.case.scenario == Scenario::Leaving);
        #[allow(clippy::cast_precision_loss)]
        let slots = f64::from(size.slots) * (size.upstreams - gone) as f64;
        let gap = self.exponential(SERVICE.div_f64(slots * self.case.load));
        self.schedule(gap, Event::Arrive);
        let connection = self.arrivals.random_range(0..self.connections.len());
        let work = self.exponential(SERVICE);
        let home = self.place(connection);
        let id = self.requests.len();
        self.requests.push(Request {
            home,
            arrived: self.now,
            deadline: self.now + PATIENCE,
            place: Place::Waiting,
            work,
        });
        self.figures.arrived += 1;
        self.schedule(PATIENCE, Event::GiveUp(id));
        self.touch(home);
        if self.nodes[home].admission.is_none() {
            self.deliver(home, id);
            return;
        }
        self.nodes[home].waiting += 1;
        let mut info = RequestInfo::new(RequestId(id as u64), ClassName::default());
        info.deadline = Some(self.base + self.requests[id].deadline);
        self.drive(home, |a, now| {
            let decision = a.arrive(now, info);
            let id = RequestId(id as u64);
            vec![DeferredDecision { id, decision }]
        });
    }

    fn place(&mut self, connection: usize) -> usize {
        let balancer = self.rng.random_range(0..BALANCERS);
        let count = self.case.size.upstreams;
        match self.kind {
            Kind::Admit(_) | Kind::Hash => self.connections[connection],
            Kind::OneQueue => 0,
            Kind::RoundRobin => loop {
                let node = self.turns[balancer] % count;
                self.turns[balancer] += 1;
                if self.nodes[node].serving {
                    return node;
                }
            },
            Kind::LeastLoad => {
                let tie: Vec<u32> = (0..count).map(|_| self.rng.random()).collect();
                let load = |n: &usize| self.nodes[*n].known + self.sent[*n][balancer];
                let best = (0..count)
                    .filter(|n| self.nodes[*n].serving)
                    .min_by_key(|n| (load(n), tie[*n]));
                let node = best.unwrap_or_default();
                self.sent[node][balancer] += 1;
                node
            }
        }
    }

    /// Hands a request to an upstream that takes everything (baselines).
    fn deliver(&mut self, node: usize, request: usize) {
        self.requests[request].place = Place::At(node);
        let slots = usize::try_from(self.slots(node)).unwrap_or(usize::MAX);
        if self.nodes[node].running.len() < slots {
            self.serve(node, request);
        } else {
            self.nodes[node].fifo.push_back(request);
        }
    }

    fn upstreams(&self) -> u32 {
        u32::try_from(self.case.size.upstreams).unwrap_or(u32::MAX)
    }

    fn slots(&self, node: usize) -> u32 {
        match self.kind {
            Kind::OneQueue if node == 0 => self.case.size.slots * self.upstreams(),
            Kind::OneQueue => 0,
            _ => self.case.size.slots,
        }
    }

    fn serve(&mut self, node: usize, request: usize) {
        self.requests[request].place = Place::At(node);
        self.nodes[node].running.insert(request);
        let delay = self.now.saturating_sub(self.requests[request].arrived);
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.figures.delay.saturating_record(micros.max(1));
        let factor = if self.is_cold(node) { COLD_FACTOR } else { 1.0 };
        let time = self.requests[request].work.mul_f64(factor);
        self.schedule(time, Event::Done(node, request));
    }

    fn done(&mut self, node: usize, request: usize) {
        if !self.nodes[node].running.contains(&request) {
            return;
        }
        self.figures.done += 1;
        self.leave_upstream(node, request);
        let id = RequestId(request as u64);
        self.drive(node, |a, now| a.finish(now, id, RequestOutcome::Completed));
    }

    fn leave_upstream(&mut self, node: usize, request: usize) {
        self.touch(node);
        self.requests[request].place = Place::Ended;
        self.nodes[node].running.remove(&request);
        self.nodes[node].fifo.retain(|queued| *queued != request);
        let slots = usize::try_from(self.slots(node)).unwrap_or(usize::MAX);
        if self.nodes[node].running.len() < slots
            && let Some(next) = self.nodes[node].fifo.pop_front()
        {
            self.serve(node, next);
        }
    }

    /// The caller cancels; the upstream accepts cancellation.
    fn give_up(&mut self, request: usize) {
        if let Place::At(node) = self.requests[request].place {
            self.figures.cut += 1;
            self.leave_upstream(node, request);
            let id = RequestId(request as u64);
            self.drive(node, |a, now| a.cancel(now, id));
        }
    }

    /// Calls the admission of an upstream and carries out what it decides.
    fn drive(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut Admission, Instant) -> Vec<DeferredDecision>,
    ) {
        let now = self.instant();
        self.touch(node);
        let Some(admission) = &mut self.nodes[node].admission else {
            return;
        };
        for DeferredDecision { id, decision } in call(admission, now) {
            let request = usize::try_from(id.0).unwrap_or_default();
            self.carry_out(node, request, decision);
        }
        let admission = self.nodes[node].admission.as_mut();
        for offer in admission.map_or_else(Vec::new, |a| a.take_offers(now)) {
            let to = node_of(offer.peer);
            self.send(node, to, Event::Offer(to, node, offer.id));
        }
        self.schedule_tick(node);
    }

    fn schedule_tick(&mut self, node: usize) {
        let at = &self.nodes[node];
        let due = at.admission.as_ref().and_then(Admission::next_deadline);
        let Some(due) = due.map(|due| due.saturating_duration_since(self.base)) else {
            return;
        };
        if at
            .next_tick
            .is_none_or(|next| due < next || next <= self.now)
        {
            self.nodes[node].next_tick = Some(due);
            self.schedule(due.saturating_sub(self.now), Event::Tick(node));
        }
    }

    fn carry_out(&mut self, node: usize, request: usize, decision: Decision) {
        if decision.is_final() {
            self.nodes[node].waiting -= 1;
        }
        match decision {
            Decision::Run => self.serve(node, request),
            Decision::AskPeer { peer } => {
                self.sequence += 1;
                let id = ReservationId(self.sequence);
                self.send(node, node_of(peer), Event::Ask(node_of(peer), request, id));
            }
            Decision::Refuse(_) => {
                self.requests[request].place = Place::Ended;
                self.figures.refused += 1;
                self.figures.refused_while_free += u64::from(self.any_slot_free());
            }
            Decision::Forward { .. } | Decision::Release { .. } | Decision::Queue { .. } => {}
        }
    }

    fn any_slot_free(&self) -> bool {
        self.nodes.iter().any(|node| {
            let loads = node.admission.as_ref().map(Admission::loads);
            loads.is_some_and(|loads| loads.values().any(|load| load.free().0 > 0))
        })
    }

    fn ask(&mut self, node: usize, request: usize, id: ReservationId) {
        let deadline = self.base + self.requests[request].deadline;
        let from = peer_id(self.requests[request].home);
        let mut full = None;
        self.drive(node, |a, now| {
            if let ReservationAnswer::Refused(loads) =
                a.reserve(now, id, from, &ClassName::default(), deadline)
            {
                full = Some(flat(&loads));
            }
            Vec::new()
        });
        let home = self.requests[request].home;
        self.send(node, home, Event::Answer(node, request, id, full));
    }

    fn answer(
        &mut self,
        peer: usize,
        request: usize,
        id: ReservationId,
        full: Option<(u32, u32, u32)>,
    ) {
        let home = self.requests[request].home;
        let answer = full.map_or(PeerAnswer::Granted, |(slots, in_flight, queued)| {
            PeerAnswer::Refused(loads_of(slots, in_flight, queued))
        });
        let number = RequestId(request as u64);
        let mut taken = None;
        self.drive(home, |a, now| {
            let decision = a.handle_peer_answer(now, number, peer_id(peer), answer);
            taken = decision;
            decision
                .map(|decision| DeferredDecision {
                    id: number,
                    decision,
                })
                .into_iter()
                .collect()
        });
        match taken {
            Some(Decision::Forward { .. }) => self.send(home, peer, Event::Pass(peer, request, id)),
            Some(Decision::Release { .. }) => self.send(home, peer, Event::Release(peer, id)),
            _ => {}
        }
    }

    fn offer(&mut self, node: usize, from: usize, id: ReservationId) {
        let mut passed = None;
        self.drive(node, |a, _| {
            let wake = a.accept_offer(peer_id(from), &ClassName::default());
            passed = wake.map(|wake| usize::try_from(wake.id.0).unwrap_or_default());
            wake.into_iter().collect()
        });
        let event = match passed {
            Some(request) => Event::Pass(from, request, id),
            None => Event::Release(from, id),
        };
        self.send(node, from, event);
    }

    fn pass(&mut self, node: usize, request: usize, id: ReservationId) {
        let mut claimed = ClaimAnswer::Lapsed;
        self.drive(node, |a, now| {
            claimed = a.claim(now, id, RequestId(request as u64));
            Vec::new()
        });
        if claimed == ClaimAnswer::Run {
            self.serve(node, request);
        } else {
            self.figures.lapsed += 1;
            self.figures.refused += 1;
            self.figures.refused_while_free += u64::from(self.any_slot_free());
            self.requests[request].place = Place::Ended;
        }
    }

    fn publish(&mut self) {
        self.schedule(PUBLISH, Event::Publish);
        let late = self.case.scenario == Scenario::LateNews;
        let age = if late { LATE_NEWS_AGE } else { NEWS_AGE };
        for node in 0..self.nodes.len() {
            let wrong = self.case.scenario == Scenario::WrongLoad && node == 0;
            let at = &self.nodes[node];
            let held = u32::try_from(at.running.len() + at.fifo.len()).unwrap_or(u32::MAX);
            let own = at.admission.as_ref().map(|a| flat(&a.loads()));
            let reported = if wrong { 0 } else { held + at.feeds };
            // Agents announce their own counts, not what the upstream reports.
            let (slots, in_flight, queued) = own.unwrap_or((self.case.size.slots, reported, 0));
            self.schedule(age, Event::News(node, slots, in_flight, queued));
            if wrong {
                let report = LoadReport {
                    slots: Slots(self.case.size.slots * 10),
                    in_flight: Slots(0),
                };
                self.drive(node, |a, now| {
                    a.apply_report(now, &ClassName::default(), report)
                });
            }
        }
    }

    fn news(&mut self, node: usize, slots: u32, in_flight: u32, queued: u32) {
        self.nodes[node].known = in_flight;
        self.sent[node] = [0; BALANCERS];
        let loads = loads_of(slots, in_flight, queued);
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            self.drive(other, |a, now| {
                a.update_peer_loads(now, peer_id(node), &loads)
            });
        }
    }

    /// Each second a fifth of the connections end and others open, and those
    /// of the plain hash leave an upstream that is no longer in the table.
    fn rehash(&mut self) {
        self.schedule(Duration::from_secs(1), Event::Rehash);
        for connection in 0..self.connections.len() {
            let former = self.connections[connection];
            let gone = matches!(self.kind, Kind::Hash) && !self.nodes[former].serving;
            if gone || self.rng.random_bool(0.2) {
                self.connections[connection] = self.draw_upstream();
            }
        }
    }

    /// Life spans follow a Pareto distribution of shape 1.2 from 1 s on, with
    /// a mean of 6 s.
    fn feed_start(&mut self) {
        #[allow(clippy::cast_precision_loss)]
        let rate = FEEDS * self.case.size.upstreams as f64 / 6.0;
        let gap = self.exponential(Duration::from_secs(1).div_f64(rate));
        self.schedule(gap, Event::FeedStart);
        let connection = self.rng.random_range(0..self.connections.len());
        let node = self.connections[connection];
        self.nodes[node].feeds += 1;
        let life = (1.0 - self.rng.random::<f64>()).powf(-1.0 / 1.2);
        self.schedule(
            Duration::from_secs_f64(life.min(3600.0)),
            Event::FeedEnd(node),
        );
    }
}
