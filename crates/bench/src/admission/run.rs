//! The event loop of the simulation.

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

use super::{Case, Figures, PlacementPolicy, Scenario};

/// Mean service time of a request.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Time after which a caller cancels its request.
const CALLER_TIMEOUT: Duration = Duration::from_millis(500);
/// One-way delay within a data centre.
const INTRA_DATA_CENTRE_DELAY: Duration = Duration::from_micros(250);
/// Connections for each upstream; few enough that a hash spreads them unevenly.
const CONNECTIONS_PER_UPSTREAM: usize = 20;
/// Number of balancers; in the baselines each places requests by its own counts.
const BALANCERS: usize = 4;
/// Interval between two publications of load counts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Age of published load counts on arrival.
const PUBLICATION_DELAY: Duration = Duration::from_secs(1);
/// Age of published load counts on arrival in [`Scenario::StaleLoad`].
const STALE_PUBLICATION_DELAY: Duration = Duration::from_secs(5);
/// Time for which a cold upstream is slow, and for which its share grows.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Factor by which the service times of a cold upstream are longer.
const COLD_SERVICE_TIME_FACTOR: f64 = 4.0;
/// Mean number of open feeds for each upstream.
const MEAN_FEEDS_PER_UPSTREAM: f64 = 20.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// An upstream completes a request.
    Complete(usize, usize),
    /// The caller cancels a request that has timed out.
    CallerTimeout(usize),
    Tick(usize),
    /// A peer is asked for a slot: peer, request, reservation.
    Ask(usize, usize, ReservationId),
    /// The answer of a peer: peer, request, reservation, and on a refusal the
    /// slots, requests in flight and queued requests of the peer.
    Answer(usize, usize, ReservationId, Option<(u32, u32, u32)>),
    ForwardRequest(usize, usize, ReservationId),
    Release(usize, ReservationId),
    /// A peer offers a slot: receiver, sender, reservation.
    Offer(usize, usize, ReservationId),
    Publish,
    /// Published load counts of an upstream arrive at all others: upstream,
    /// slots, requests in flight, queued requests.
    Publication(usize, u32, u32, u32),
    Leave,
    ReplaceConnections,
    FeedStart,
    FeedEnd(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Waiting,
    /// In progress or queued at an upstream.
    AtUpstream(usize),
    Ended,
}

struct Request {
    home: usize,
    arrived: Duration,
    deadline: Duration,
    state: RequestState,
    /// Service time at an upstream that is not cold.
    service_time: Duration,
}

struct Node {
    admission: Option<Admission>,
    running: BTreeSet<usize>,
    /// Queue inside the upstream, which only the baselines use.
    upstream_queue: VecDeque<usize>,
    /// Requests at the agent without a final decision.
    waiting_at_agent: u32,
    feeds: u32,
    serving: bool,
    /// Last load that the balancers received.
    reported_load: u32,
    accounted_until: Duration,
    next_tick: Option<Duration>,
}

struct Run<'a> {
    case: &'a Case,
    policy: &'a PlacementPolicy,
    base: Instant,
    now: Duration,
    /// Random numbers for arrivals and service times, the same for all variants.
    arrivals: SmallRng,
    /// Random numbers for all other choices.
    rng: SmallRng,
    event_queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// Upstream of each connection.
    connections: Vec<usize>,
    /// Next upstream of each balancer in [`PlacementPolicy::RoundRobin`].
    next_in_turn: [usize; BALANCERS],
    /// Requests that each balancer has sent to each upstream since its last
    /// report.
    sent_since_report: Vec<[u32; BALANCERS]>,
    figures: Figures,
}

/// Simulates one case.
#[must_use]
pub fn run(case: &Case, policy: &PlacementPolicy) -> Figures {
    let mut run = Run::new(case, policy);
    run.start();
    while let Some(Reverse((at, _, event))) = run.event_queue.pop() {
        if at > case.duration {
            break;
        }
        run.now = at;
        run.handle(event);
    }
    run.now = case.duration;
    for node in 0..run.nodes.len() {
        run.account_time(node);
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

fn load_counts(loads: &ClassLoads) -> (u32, u32, u32) {
    let load = loads.values().next().copied().unwrap_or_default();
    (load.slots.0, load.in_flight.0, load.queued.0)
}

impl<'a> Run<'a> {
    fn new(case: &'a Case, policy: &'a PlacementPolicy) -> Self {
        let count = case.size.upstreams;
        let mut run = Run {
            case,
            policy,
            base: Instant::now(),
            now: Duration::ZERO,
            arrivals: SmallRng::seed_from_u64(case.seed),
            rng: SmallRng::seed_from_u64(case.seed ^ 0x5eed),
            event_queue: BinaryHeap::new(),
            sequence: 0,
            nodes: Vec::new(),
            requests: Vec::new(),
            connections: Vec::new(),
            next_in_turn: std::array::from_fn(|i| i),
            sent_since_report: vec![[0; BALANCERS]; count],
            figures: Figures::new(case.duration),
        };
        run.nodes = (0..count).map(|node| run.node(node)).collect();
        run.connections = (0..count * CONNECTIONS_PER_UPSTREAM)
            .map(|_| run.draw_upstream())
            .collect();
        run
    }

    fn node(&self, node: usize) -> Node {
        Node {
            admission: self.admission(node),
            running: BTreeSet::new(),
            upstream_queue: VecDeque::new(),
            waiting_at_agent: 0,
            feeds: 0,
            serving: true,
            reported_load: 0,
            accounted_until: Duration::ZERO,
            next_tick: None,
        }
    }

    fn admission(&self, node: usize) -> Option<Admission> {
        let PlacementPolicy::Admit(settings) = self.policy else {
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
        self.schedule(Duration::from_secs(1), Event::ReplaceConnections);
        match self.case.scenario {
            Scenario::Leaving => self.schedule(self.case.duration / 3, Event::Leave),
            Scenario::Feeds => self.schedule(Duration::ZERO, Event::FeedStart),
            _ => {}
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let entry = (self.now + delay, self.sequence, event);
        self.event_queue.push(Reverse(entry));
    }

    /// Schedules the arrival of a message between two agents.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        self.figures.messages += 1;
        let near = from % 3 == to % 3;
        self.schedule(
            if near {
                INTRA_DATA_CENTRE_DELAY
            } else {
                self.case.size.inter_data_centre_delay
            },
            event,
        );
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Adds the time since the last change of the upstream to the results.
    fn account_time(&mut self, node: usize) {
        let slots = self.slots(node);
        let at = &mut self.nodes[node];
        let time = self.now.saturating_sub(at.accounted_until);
        at.accounted_until = self.now;
        let at_upstream =
            u32::try_from(at.running.len() + at.upstream_queue.len()).unwrap_or(u32::MAX);
        self.figures
            .excess
            .add(at_upstream.saturating_sub(slots), time);
        let backlog = (at_upstream + at.waiting_at_agent).saturating_sub(slots);
        self.figures.backlog.add(backlog, time);
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.arrivals.random::<f64>()).ln())
    }

    /// Draws the upstream of a new connection, in proportion to the shares.
    fn draw_upstream(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..self.case.size.upstreams);
            let warm = self.now.as_secs_f64() / WARM_UP_TIME.as_secs_f64();
            let share_is_ramped =
                matches!(self.policy, PlacementPolicy::Admit(_)) && self.is_cold(node);
            let share = if share_is_ramped {
                warm.max(0.125)
            } else {
                1.0
            };
            let known = self.nodes.get(node).is_none_or(|at| at.serving);
            if known && self.rng.random_bool(share) {
                return node;
            }
        }
    }

    fn is_cold(&self, node: usize) -> bool {
        self.case.scenario == Scenario::Cold && node == 0 && self.now < WARM_UP_TIME
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Complete(node, request) => self.complete(node, request),
            Event::CallerTimeout(request) => self.handle_caller_timeout(request),
            Event::Tick(node) => self.call_admission(node, Admission::tick),
            Event::Ask(node, request, id) => self.ask(node, request, id),
            Event::Answer(node, request, id, full) => self.answer(node, request, id, full),
            Event::ForwardRequest(node, request, id) => self.receive_forwarded(node, request, id),
            Event::Release(node, id) => self.call_admission(node, |a, now| a.release(now, id)),
            Event::Offer(node, from, id) => self.offer(node, from, id),
            Event::Publish => self.publish(),
            Event::Publication(node, slots, in_flight, queued) => {
                self.receive_publication(node, slots, in_flight, queued);
            }
            Event::Leave => {
                self.nodes[0].serving = false;
                self.call_admission(0, |a, now| a.set_leaving(now, true));
            }
            Event::ReplaceConnections => self.replace_connections(),
            Event::FeedStart => self.feed_start(),
            Event::FeedEnd(node) => self.nodes[node].feeds -= 1,
        }
    }

    fn arrive(&mut self) {
        let size = self.case.size;
        let gone = usize::from(self.case.scenario == Scenario::Leaving);
        #[allow(clippy::cast_precision_loss)]
        let slots = f64::from(size.slots) * (size.upstreams - gone) as f64;
        let gap = self.exponential(MEAN_SERVICE_TIME.div_f64(slots * self.case.load));
        self.schedule(gap, Event::Arrive);
        let connection = self.arrivals.random_range(0..self.connections.len());
        let service_time = self.exponential(MEAN_SERVICE_TIME);
        let home = self.choose_upstream(connection);
        let id = self.requests.len();
        self.requests.push(Request {
            home,
            arrived: self.now,
            deadline: self.now + CALLER_TIMEOUT,
            state: RequestState::Waiting,
            service_time,
        });
        self.figures.arrived += 1;
        self.schedule(CALLER_TIMEOUT, Event::CallerTimeout(id));
        self.account_time(home);
        if self.nodes[home].admission.is_none() {
            self.deliver(home, id);
            return;
        }
        self.nodes[home].waiting_at_agent += 1;
        let mut info = RequestInfo::new(RequestId(id as u64), ClassName::default());
        info.deadline = Some(self.base + self.requests[id].deadline);
        self.call_admission(home, |a, now| {
            let decision = a.arrive(now, info);
            let id = RequestId(id as u64);
            vec![DeferredDecision { id, decision }]
        });
    }

    fn choose_upstream(&mut self, connection: usize) -> usize {
        let balancer = self.rng.random_range(0..BALANCERS);
        let count = self.case.size.upstreams;
        match self.policy {
            PlacementPolicy::Admit(_) | PlacementPolicy::Hash => self.connections[connection],
            PlacementPolicy::OneQueue => 0,
            PlacementPolicy::RoundRobin => loop {
                let node = self.next_in_turn[balancer] % count;
                self.next_in_turn[balancer] += 1;
                if self.nodes[node].serving {
                    return node;
                }
            },
            PlacementPolicy::LeastLoad => {
                let tie: Vec<u32> = (0..count).map(|_| self.rng.random()).collect();
                let load =
                    |n: &usize| self.nodes[*n].reported_load + self.sent_since_report[*n][balancer];
                let best = (0..count)
                    .filter(|n| self.nodes[*n].serving)
                    .min_by_key(|n| (load(n), tie[*n]));
                let node = best.unwrap_or_default();
                self.sent_since_report[node][balancer] += 1;
                node
            }
        }
    }

    /// Delivers a request to an upstream without admission (baselines).
    fn deliver(&mut self, node: usize, request: usize) {
        self.requests[request].state = RequestState::AtUpstream(node);
        let slots = usize::try_from(self.slots(node)).unwrap_or(usize::MAX);
        if self.nodes[node].running.len() < slots {
            self.serve(node, request);
        } else {
            self.nodes[node].upstream_queue.push_back(request);
        }
    }

    fn upstreams(&self) -> u32 {
        u32::try_from(self.case.size.upstreams).unwrap_or(u32::MAX)
    }

    fn slots(&self, node: usize) -> u32 {
        match self.policy {
            PlacementPolicy::OneQueue if node == 0 => self.case.size.slots * self.upstreams(),
            PlacementPolicy::OneQueue => 0,
            _ => self.case.size.slots,
        }
    }

    fn serve(&mut self, node: usize, request: usize) {
        self.requests[request].state = RequestState::AtUpstream(node);
        self.nodes[node].running.insert(request);
        let delay = self.now.saturating_sub(self.requests[request].arrived);
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.figures.start_delay.saturating_record(micros.max(1));
        let factor = if self.is_cold(node) {
            COLD_SERVICE_TIME_FACTOR
        } else {
            1.0
        };
        let time = self.requests[request].service_time.mul_f64(factor);
        self.schedule(time, Event::Complete(node, request));
    }

    fn complete(&mut self, node: usize, request: usize) {
        if !self.nodes[node].running.contains(&request) {
            return;
        }
        self.figures.completed += 1;
        self.leave_upstream(node, request);
        let id = RequestId(request as u64);
        self.call_admission(node, |a, now| a.finish(now, id, RequestOutcome::Completed));
    }

    fn leave_upstream(&mut self, node: usize, request: usize) {
        self.account_time(node);
        self.requests[request].state = RequestState::Ended;
        self.nodes[node].running.remove(&request);
        self.nodes[node]
            .upstream_queue
            .retain(|queued| *queued != request);
        let slots = usize::try_from(self.slots(node)).unwrap_or(usize::MAX);
        if self.nodes[node].running.len() < slots
            && let Some(next) = self.nodes[node].upstream_queue.pop_front()
        {
            self.serve(node, next);
        }
    }

    /// Cancels a request that has timed out at its upstream.
    fn handle_caller_timeout(&mut self, request: usize) {
        if let RequestState::AtUpstream(node) = self.requests[request].state {
            self.figures.timed_out += 1;
            self.leave_upstream(node, request);
            let id = RequestId(request as u64);
            self.call_admission(node, |a, now| a.cancel(now, id));
        }
    }

    /// Calls the admission of an upstream and carries out its decisions.
    fn call_admission(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut Admission, Instant) -> Vec<DeferredDecision>,
    ) {
        let now = self.instant();
        self.account_time(node);
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
            self.nodes[node].waiting_at_agent -= 1;
        }
        match decision {
            Decision::Run => self.serve(node, request),
            Decision::AskPeer { peer } => {
                self.sequence += 1;
                let id = ReservationId(self.sequence);
                self.send(node, node_of(peer), Event::Ask(node_of(peer), request, id));
            }
            Decision::Refuse(_) => {
                self.requests[request].state = RequestState::Ended;
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
        self.call_admission(node, |a, now| {
            if let ReservationAnswer::Refused(loads) =
                a.reserve(now, id, from, &ClassName::default(), deadline)
            {
                full = Some(load_counts(&loads));
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
        self.call_admission(home, |a, now| {
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
            Some(Decision::Forward { .. }) => {
                self.send(home, peer, Event::ForwardRequest(peer, request, id));
            }
            Some(Decision::Release { .. }) => self.send(home, peer, Event::Release(peer, id)),
            _ => {}
        }
    }

    fn offer(&mut self, node: usize, from: usize, id: ReservationId) {
        let mut passed = None;
        self.call_admission(node, |a, _| {
            let wake = a.accept_offer(peer_id(from), &ClassName::default());
            passed = wake.map(|wake| usize::try_from(wake.id.0).unwrap_or_default());
            wake.into_iter().collect()
        });
        let event = match passed {
            Some(request) => Event::ForwardRequest(from, request, id),
            None => Event::Release(from, id),
        };
        self.send(node, from, event);
    }

    fn receive_forwarded(&mut self, node: usize, request: usize, id: ReservationId) {
        let mut claimed = ClaimAnswer::Lapsed;
        self.call_admission(node, |a, now| {
            claimed = a.claim(now, id, RequestId(request as u64));
            Vec::new()
        });
        if claimed == ClaimAnswer::Run {
            self.serve(node, request);
        } else {
            self.figures.lapsed_reservations += 1;
            self.figures.refused += 1;
            self.figures.refused_while_free += u64::from(self.any_slot_free());
            self.requests[request].state = RequestState::Ended;
        }
    }

    fn publish(&mut self) {
        self.schedule(PUBLISH_INTERVAL, Event::Publish);
        let late = self.case.scenario == Scenario::StaleLoad;
        let age = if late {
            STALE_PUBLICATION_DELAY
        } else {
            PUBLICATION_DELAY
        };
        for node in 0..self.nodes.len() {
            let wrong = self.case.scenario == Scenario::WrongLoad && node == 0;
            let at = &self.nodes[node];
            let at_upstream =
                u32::try_from(at.running.len() + at.upstream_queue.len()).unwrap_or(u32::MAX);
            let own = at.admission.as_ref().map(|a| load_counts(&a.loads()));
            let reported = if wrong { 0 } else { at_upstream + at.feeds };
            // Agents announce their own counts, not the load report of the upstream.
            let (slots, in_flight, queued) = own.unwrap_or((self.case.size.slots, reported, 0));
            self.schedule(age, Event::Publication(node, slots, in_flight, queued));
            if wrong {
                let report = LoadReport {
                    slots: Slots(self.case.size.slots * 10),
                    in_flight: Slots(0),
                };
                self.call_admission(node, |a, now| {
                    a.apply_report(now, &ClassName::default(), report)
                });
            }
        }
    }

    fn receive_publication(&mut self, node: usize, slots: u32, in_flight: u32, queued: u32) {
        self.nodes[node].reported_load = in_flight;
        self.sent_since_report[node] = [0; BALANCERS];
        let loads = loads_of(slots, in_flight, queued);
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            self.call_admission(other, |a, now| {
                a.update_peer_loads(now, peer_id(node), &loads)
            });
        }
    }

    /// Replaces a fifth of the connections each second. With
    /// [`PlacementPolicy::Hash`] also replaces the connections of an upstream
    /// that is no longer in the table.
    fn replace_connections(&mut self) {
        self.schedule(Duration::from_secs(1), Event::ReplaceConnections);
        for connection in 0..self.connections.len() {
            let former = self.connections[connection];
            let gone = matches!(self.policy, PlacementPolicy::Hash) && !self.nodes[former].serving;
            if gone || self.rng.random_bool(0.2) {
                self.connections[connection] = self.draw_upstream();
            }
        }
    }

    /// Starts a feed. Durations follow a Pareto distribution with shape 1.2 and
    /// a minimum of 1 s, which has a mean of 6 s.
    fn feed_start(&mut self) {
        #[allow(clippy::cast_precision_loss)]
        let rate = MEAN_FEEDS_PER_UPSTREAM * self.case.size.upstreams as f64 / 6.0;
        let gap = self.exponential(Duration::from_secs(1).div_f64(rate));
        self.schedule(gap, Event::FeedStart);
        let connection = self.rng.random_range(0..self.connections.len());
        let node = self.connections[connection];
        self.nodes[node].feeds += 1;
        let feed_seconds = (1.0 - self.rng.random::<f64>()).powf(-1.0 / 1.2);
        self.schedule(
            Duration::from_secs_f64(feed_seconds.min(3600.0)),
            Event::FeedEnd(node),
        );
    }
}
