//! Orders, feeds and uploads through one link of 4.8 Mbit/s and its upstreams, before,
//! during and after a burst of uploads, under different rules.
//!
//! `cargo test -p relay --test link_load -- --nocapture` prints what each kind gets. The
//! load is a sixteenth of that of a deployment with sixteen such links. A refused caller
//! tries again over the same link, as if all the others were equally loaded.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use flow::{FlowTuple, LinkAdmission, Segment};
use rand::{Rng, SeedableRng, rngs::StdRng};
use relay::{EgressQueue, Traffic};
use types::{BytesPerSecond, Priority, RequestTargets};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A kind of request.
struct Kind {
    name: &'static str,
    per_second: f64,
    datagrams: u32,
    last_len: u16,
    opens_flow: bool,
    work: Duration,
    objective: Duration,
    timeout: Duration,
    priority: u8,
    upstream: usize,
}

const ORDER: usize = 0;
const FEED: usize = 1;
const UPLOAD: usize = 2;
const KINDS: [Kind; 3] = [
    Kind {
        name: "order",
        per_second: 325.0 / 16.0,
        datagrams: 1,
        last_len: 900,
        opens_flow: true,
        work: ms(29),
        objective: ms(250),
        timeout: ms(2000),
        priority: 1,
        upstream: 0,
    },
    Kind {
        name: "feed",
        per_second: 1138.0 / 16.0,
        datagrams: 1,
        last_len: 120,
        opens_flow: false,
        work: ms(22),
        objective: ms(250),
        timeout: ms(1500),
        priority: 2,
        upstream: 0,
    },
    Kind {
        name: "upload",
        per_second: 97.5 / 16.0,
        datagrams: 34,
        last_len: 400,
        opens_flow: true,
        work: ms(5),
        objective: ms(800),
        timeout: ms(6000),
        priority: 2,
        upstream: 1,
    },
];
/// Slots of the upstreams: a sixteenth of 38 and of 10 upstreams with two slots.
const SLOTS: [usize; 2] = [5, 1];

const BURST: std::ops::Range<Duration> = ms(3000)..ms(9000);
const BURST_FACTOR: f64 = 2.5;
const ARRIVALS_END: Duration = ms(15_000);
/// One way to callers, and from a balancer to an agent.
const PATH: Duration = ms(2);
/// What the network holds in front of a link.
const NETWORK_QUEUE: Duration = ms(50);
const HEADER_BYTES: usize = 34 + 28;
const WINDOW: u32 = 16;
const MAX_ATTEMPTS: u32 = 3;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Rule {
    /// One queue in the order of arrival.
    Fifo,
    /// By priority, and in the order of arrival within one.
    StrictPriority,
    /// The rule of [`EgressQueue`], without admission.
    Fair,
    /// With admission of large flows.
    FairWithAdmission,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Copy(usize, u32, u32),
    AtBalancer(usize, u32, Part, u32),
    Wake,
    AtAgent(usize, u32, Part),
    Opened(usize, u32),
    Refused(usize, u32),
    Acknowledged(usize, u32),
    Retransmit(usize, u32, u32),
    Worked(usize),
    Answered(usize),
}

/// An opening, or a datagram of the body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    Opening,
    Body(u32),
}

struct Request {
    kind: usize,
    start: Duration,
    attempt: u32,
    attempt_start: Duration,
    opened: bool,
    sent: u32,
    acknowledged: u64,
    received: u64,
    finished: Option<Duration>,
}

struct Play {
    rule: Rule,
    epoch: Instant,
    now: Duration,
    order: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    requests: Vec<Request>,
    link: BytesPerSecond,
    inbound_free_at: Duration,
    outbound_free_at: Duration,
    egress: EgressQueue,
    admission: LinkAdmission<(usize, u32)>,
    /// Instants at which the balancer is woken.
    wakes: BTreeSet<Duration>,
    busy: [usize; 2],
    waiting: [BTreeMap<u8, VecDeque<usize>>; 2],
}

impl Play {
    fn new(rule: Rule) -> Self {
        let link = BytesPerSecond::from_megabits(4.8).unwrap();
        let epoch = Instant::now();
        let admission = (rule == Rule::FairWithAdmission).then_some(link);
        Play {
            rule,
            epoch,
            now: Duration::ZERO,
            order: 0,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            link,
            inbound_free_at: Duration::ZERO,
            outbound_free_at: Duration::ZERO,
            egress: EgressQueue::new(Some(link), epoch),
            admission: LinkAdmission::new(admission),
            wakes: BTreeSet::new(),
            busy: [0; 2],
            waiting: Default::default(),
        }
    }

    fn run(mut self, seed: u64) -> Vec<Request> {
        let mut random = StdRng::seed_from_u64(seed);
        for (kind, params) in KINDS.iter().enumerate() {
            let mut at = Duration::ZERO;
            while at < ARRIVALS_END {
                let factor = if kind == UPLOAD && BURST.contains(&at) {
                    BURST_FACTOR
                } else {
                    1.0
                };
                let mean = 1.0 / (params.per_second * factor);
                at += Duration::from_secs_f64(mean * -(1.0 - random.random::<f64>()).ln());
                self.requests.push(Request {
                    kind,
                    start: at,
                    attempt: 0,
                    attempt_start: at,
                    opened: false,
                    sent: 0,
                    acknowledged: 0,
                    received: 0,
                    finished: None,
                });
                self.schedule(at, Event::Start(self.requests.len() - 1));
            }
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.requests
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn instant(&self) -> Instant {
        self.epoch + self.now
    }

    fn kind(&self, id: usize) -> &'static Kind {
        &KINDS[self.requests[id].kind]
    }

    fn is_live(&self, id: usize, attempt: u32) -> bool {
        let request = &self.requests[id];
        request.attempt == attempt
            && request.finished.is_none()
            && self.now < request.start + self.kind(id).timeout
    }

    fn body_len(&self, id: usize, n: u32) -> u16 {
        let kind = self.kind(id);
        if n + 1 == kind.datagrams {
            kind.last_len
        } else {
            1200
        }
    }

    fn segment(&self, id: usize, attempt: u32, part: Part, copy: u32) -> Segment {
        let caller_port = u16::try_from(id * 3 + usize::try_from(attempt).unwrap()).unwrap();
        let kind = u8::try_from(self.requests[id].kind).unwrap();
        let seg = Segment {
            source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), caller_port),
            destination: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, kind), 443),
            ..Segment::default()
        };
        match part {
            Part::Opening => Segment {
                opens: true,
                ack: copy,
                waited: self.now.saturating_sub(self.requests[id].attempt_start),
                ..seg
            },
            Part::Body(n) => Segment {
                seq: 101 + n * 1200,
                len: self.body_len(id, n),
                acknowledges: true,
                ..seg
            },
        }
    }

    /// Bytes of a datagram without the headers of the network.
    fn payload_bytes(&self, id: usize, part: Part) -> usize {
        let len = match part {
            Part::Opening => 0,
            Part::Body(n) => usize::from(self.body_len(id, n)),
        };
        len + 34
    }

    fn send(&mut self, id: usize, attempt: u32, part: Part, copy: u32) {
        let bytes = self.payload_bytes(id, part) + HEADER_BYTES - 34;
        let free_at = self.inbound_free_at.max(self.now);
        if free_at <= self.now + NETWORK_QUEUE {
            self.inbound_free_at = free_at + self.link.transmission_time(bytes);
            let at = self.inbound_free_at + PATH;
            self.schedule(at, Event::AtBalancer(id, attempt, part, copy));
        }
        if let Part::Body(n) = part {
            let timeout = ms(200) * 2_u32.pow(copy.min(3));
            self.schedule(self.now + timeout, Event::Retransmit(id, n, copy + 1));
        }
    }

    fn start_attempt(&mut self, id: usize) {
        self.requests[id].attempt_start = self.now;
        let attempt = self.requests[id].attempt;
        if !self.kind(id).opens_flow {
            self.requests[id].opened = true;
            return self.send_window(id);
        }
        for (copy, delay) in [(0, 0), (1, 200), (2, 600), (3, 1400)] {
            self.schedule(self.now + ms(delay), Event::Copy(id, attempt, copy));
        }
    }

    fn retry(&mut self, id: usize) {
        self.requests[id].attempt += 1;
        if self.requests[id].attempt < MAX_ATTEMPTS {
            self.start_attempt(id);
        }
    }

    fn send_window(&mut self, id: usize) {
        while self.requests[id].sent < self.kind(id).datagrams
            && self.requests[id].sent < self.requests[id].acknowledged.count_ones() + WINDOW
        {
            let n = self.requests[id].sent;
            self.requests[id].sent += 1;
            self.send(id, self.requests[id].attempt, Part::Body(n), 0);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(id) => self.start_attempt(id),
            Event::Copy(id, attempt, copy) => {
                if self.is_live(id, attempt) && !self.requests[id].opened {
                    if copy < 3 {
                        self.send(id, attempt, Part::Opening, copy);
                    } else {
                        self.retry(id);
                    }
                }
            }
            Event::AtBalancer(id, attempt, part, copy) => self.balance(id, attempt, part, copy),
            Event::Wake => {
                self.wakes.remove(&self.now);
                self.serve_link();
                self.flush();
            }
            Event::AtAgent(id, attempt, part) => self.deliver(id, attempt, part),
            Event::Opened(id, attempt) => {
                if self.is_live(id, attempt) && !self.requests[id].opened {
                    self.requests[id].opened = true;
                    self.send_window(id);
                }
            }
            Event::Refused(id, attempt) => {
                if self.is_live(id, attempt) {
                    assert!(!self.requests[id].opened, "an open flow is never refused");
                    self.retry(id);
                }
            }
            Event::Acknowledged(id, n) => {
                self.requests[id].acknowledged |= 1 << n;
                if self.is_live(id, self.requests[id].attempt) {
                    self.send_window(id);
                }
            }
            Event::Retransmit(id, n, copy) => {
                let attempt = self.requests[id].attempt;
                if self.is_live(id, attempt) && self.requests[id].acknowledged & (1 << n) == 0 {
                    self.send(id, attempt, Part::Body(n), copy);
                }
            }
            Event::Worked(id) => {
                let upstream = self.kind(id).upstream;
                self.busy[upstream] -= 1;
                self.schedule(self.now + PATH, Event::Answered(id));
                self.work(upstream);
            }
            Event::Answered(id) => {
                self.requests[id].finished.get_or_insert(self.now);
            }
        }
    }

    fn balance(&mut self, id: usize, attempt: u32, part: Part, copy: u32) {
        let seg = self.segment(id, attempt, part, copy);
        let now = self.instant();
        if part == Part::Opening {
            let kind = self.kind(id);
            let targets = RequestTargets {
                objective: kind.objective,
                timeout: kind.timeout,
                priority: Priority(kind.priority),
            };
            let item = (id, attempt);
            if self.admission.admit(&seg, targets, item, now).is_some() {
                self.forward(id, attempt, part);
            }
        } else {
            self.admission.observe(&seg, now);
            self.forward(id, attempt, part);
        }
        self.serve_link();
    }

    fn serve_link(&mut self) {
        let now = self.instant();
        while let Some((id, attempt)) = self.admission.take_admitted(now) {
            self.forward(id, attempt, Part::Opening);
        }
        for (id, attempt) in self.admission.take_refused(now) {
            self.schedule(self.now + PATH, Event::Refused(id, attempt));
        }
        if let Some(at) = self.admission.next_deadline() {
            self.wake_at(at);
        }
    }

    fn forward(&mut self, id: usize, attempt: u32, part: Part) {
        let key = self.segment(id, attempt, part, 0).key_from_caller();
        let priority = Priority(self.kind(id).priority);
        // All flows of a priority as one, in the order of arrival.
        let one_flow = FlowTuple {
            caller: key.service,
            service: key.service,
        };
        let traffic = match self.rule {
            Rule::Fifo => Traffic::Control,
            Rule::StrictPriority => Traffic::Flow(one_flow, priority),
            Rule::Fair | Rule::FairWithAdmission => Traffic::Flow(key, priority),
        };
        // The datagram carries its identity in the place of its bytes.
        let mut datagram = vec![0; self.payload_bytes(id, part) + 40];
        let n = if let Part::Body(n) = part { n + 1 } else { 0 };
        let words = [u32::try_from(id).unwrap(), attempt, n];
        for (bytes, word) in datagram.chunks_mut(4).zip(words) {
            bytes.copy_from_slice(&word.to_be_bytes());
        }
        let _ = self.egress.push(traffic, key.service, datagram);
        self.flush();
    }

    fn flush(&mut self) {
        while let Some((_, datagram)) = self.egress.pop(self.instant()) {
            let word = |at: usize| u32::from_be_bytes(datagram[at..at + 4].try_into().unwrap());
            let id = usize::try_from(word(0)).unwrap();
            let part = word(8).checked_sub(1).map_or(Part::Opening, Part::Body);
            let time = self.link.transmission_time(datagram.len() + 28);
            self.outbound_free_at = self.outbound_free_at.max(self.now) + time;
            let at = self.outbound_free_at + PATH;
            self.schedule(at, Event::AtAgent(id, word(4), part));
        }
        if let Some(at) = self.egress.next_deadline() {
            self.wake_at(at);
        }
    }

    fn wake_at(&mut self, at: Instant) {
        let at = at.saturating_duration_since(self.epoch);
        let at = at.max(self.now + Duration::from_micros(1));
        if self.wakes.first().is_none_or(|next| at < *next) {
            self.wakes.insert(at);
            self.schedule(at, Event::Wake);
        }
    }

    fn deliver(&mut self, id: usize, attempt: u32, part: Part) {
        let Part::Body(n) = part else {
            return self.schedule(self.now + PATH, Event::Opened(id, attempt));
        };
        self.schedule(self.now + PATH, Event::Acknowledged(id, n));
        let all = (1_u64 << self.kind(id).datagrams) - 1;
        let before = self.requests[id].received;
        self.requests[id].received |= 1 << n;
        if before != all && self.requests[id].received == all {
            let kind = self.kind(id);
            let level = if self.rule == Rule::Fifo {
                0
            } else {
                kind.priority
            };
            let waiting = self.waiting[kind.upstream].entry(level).or_default();
            waiting.push_back(id);
            self.work(kind.upstream);
        }
    }

    fn work(&mut self, upstream: usize) {
        while self.busy[upstream] < SLOTS[upstream] {
            let mut levels = self.waiting[upstream].values_mut();
            let Some(id) = levels.find_map(VecDeque::pop_front) else {
                return;
            };
            self.busy[upstream] += 1;
            self.schedule(self.now + self.kind(id).work, Event::Worked(id));
        }
    }
}

/// What the requests of a kind got.
struct Outcome {
    in_objective: f64,
    late: f64,
    /// `None` if more than one in a hundred got no answer.
    p99: Option<Duration>,
}

fn outcome(requests: &[Request], kind: usize, span: &std::ops::Range<Duration>) -> Outcome {
    let params = &KINDS[kind];
    let asked = requests
        .iter()
        .filter(|r| r.kind == kind && span.contains(&r.start));
    let mut times: Vec<Duration> = asked
        .map(|r| {
            r.finished
                .map_or(Duration::MAX, |at| at.saturating_sub(r.start))
        })
        .collect();
    times.sort_unstable();
    let share = |limit: Duration| {
        let within = times.iter().filter(|time| **time <= limit).count();
        f64::from(u32::try_from(within).unwrap()) / f64::from(u32::try_from(times.len()).unwrap())
    };
    let in_objective = share(params.objective);
    Outcome {
        in_objective,
        late: share(params.timeout) - in_objective,
        p99: Some(times[times.len() * 99 / 100]).filter(|p99| *p99 < Duration::MAX),
    }
}

/// Guards against a burst of uploads that makes orders and feeds late, that is served
/// worse than without the rule, or that keeps the link overloaded after it has ended.
#[test]
fn a_burst_of_uploads_delays_nothing_else() {
    let after = BURST.end + ms(2000)..ARRIVALS_END;
    let spans = [
        ("before", ms(500)..BURST.start),
        ("burst", BURST),
        ("after", after.clone()),
    ];
    let mut uploads_in_objective = Vec::new();
    for rule in [
        Rule::Fifo,
        Rule::StrictPriority,
        Rule::Fair,
        Rule::FairWithAdmission,
    ] {
        let plays = SEEDS.map(|seed| Play::new(rule).run(seed));
        let requests: Vec<Request> = plays.into_iter().flatten().collect();
        for (kind, params) in KINDS.iter().enumerate() {
            for (name, span) in &spans {
                let got = outcome(&requests, kind, span);
                let p99 = got.p99.map_or("none".into(), |p99| format!("{p99:.0?}"));
                println!(
                    "| {rule:?} | {} | {name} | {:.3} | {:.3} | {:.3} | {} |",
                    params.name,
                    got.in_objective,
                    got.late,
                    1.0 - got.in_objective - got.late,
                    p99
                );
            }
        }
        uploads_in_objective.push(outcome(&requests, UPLOAD, &BURST).in_objective);
        if rule == Rule::FairWithAdmission {
            for kind in [ORDER, FEED] {
                assert!(outcome(&requests, kind, &BURST).in_objective >= 0.99);
            }
            assert!(outcome(&requests, UPLOAD, &after).in_objective >= 0.99);
        }
    }
    let chosen = uploads_in_objective.pop().unwrap();
    assert!(uploads_in_objective.iter().all(|other| chosen >= *other));
}
