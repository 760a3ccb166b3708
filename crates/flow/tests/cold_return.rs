//! The return of an evacuated data centre at full load, simulated through the decisions
//! of balancers and agents.
//!
//! The callers ask for more than the other data centre can do, and the upstreams that
//! return are cold. `cargo test -p flow --test cold_return -- --nocapture` prints what
//! callers get in each second.

mod common;

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use common::{address, agreement, answer, data, opening};
use flow::{
    AdmittedShare, AgentPool, AgentStatus, CallerAction, ColdBound, FlowTable, FlowTableSettings,
    OpeningQueue, OpeningQueueSettings, Origin, Segment, UpstreamStatus,
};
use types::{DataCentre, Priority, RequestRate, RequestTargets, ServiceLimits, Slots, UpstreamId};

/// Agents of each of the two data centres.
const AGENTS: u8 = 12;
const BALANCERS: usize = 4;
const SLOTS: u32 = 3;
/// Requests that an upstream queues itself; it rejects those beyond. A cold one queues few,
/// so that it rejects at once and its agent sees free slots.
const UPSTREAM_QUEUE: usize = 8;
const COLD_UPSTREAM_QUEUE: usize = 2;
const WARM_SERVICE: Duration = Duration::from_millis(50);
/// Three slots serve 20 requests a second while cold, the stated rate.
const COLD_SERVICE: Duration = Duration::from_millis(150);
const COLD_RATE: f64 = 20.0;
/// The returned upstreams are cold for this long.
const COLD_MS: u64 = 5000;
/// When the evacuation ends, and when the last flow arrives.
const RETURN_MS: u64 = 2000;
const END_MS: u64 = 9000;
/// Flows in ten milliseconds: 900 a second, of 1,440 that all upstreams serve when warm and
/// 720 that the rest serves.
const FLOWS_PER_10_MS: u32 = 9;
const OBJECTIVE: Duration = Duration::from_millis(250);
/// Reports of changed loads arrive this often in the data centre, and in the other one.
const NEAR_REPORT_MS: u64 = 50;
const FAR_REPORT_MS: u64 = 200;
/// Agents that a new flow is offered to.
const MAX_ATTEMPTS: usize = 3;

/// What the callers of one second get.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    in_objective: u32,
    late: u32,
    refused: u32,
    rejected: u32,
    urgent_in_objective: u32,
}

/// A new flow on its way.
#[derive(Debug, Clone)]
struct NewFlow {
    number: u32,
    sent_at: Instant,
    declined_by: Vec<SocketAddrV4>,
}

impl NewFlow {
    /// `seg` as a datagram of this flow.
    fn datagram(&self, seg: Segment) -> Segment {
        let caller = SocketAddrV4::new((0x6440_0000 + self.number).into(), 40_000);
        let mut seg = seg;
        if seg.source == common::service_address() {
            seg.destination = caller;
        } else {
            seg.source = caller;
        }
        seg
    }

    fn is_urgent(&self) -> bool {
        self.number.is_multiple_of(3)
    }

    fn targets(&self) -> RequestTargets {
        RequestTargets {
            objective: OBJECTIVE,
            timeout: Duration::from_secs(2),
            priority: Priority(if self.is_urgent() { 1 } else { 2 }),
        }
    }
}

/// An agent and its upstream.
struct Host {
    address: SocketAddrV4,
    data_centre: DataCentre,
    table: FlowTable,
    pool: AgentPool,
    queue: OpeningQueue<NewFlow>,
    serving: Vec<(Instant, NewFlow)>,
    upstream_queue: VecDeque<NewFlow>,
    cold_until: Instant,
    /// When the upstream got the first datagrams of flows while it was cold.
    cold_flows: Vec<Instant>,
}

impl Host {
    fn deliver(&mut self, flow: NewFlow, now: Instant, tally: &mut Tally) {
        if now < self.cold_until {
            self.cold_flows.push(now);
        }
        self.table
            .upstream_datagram(&flow.datagram(agreement(0, 5000)), now);
        let request = flow.datagram(data(0, 101, 5001));
        self.table.caller_datagram(&request, Origin::Held, now);
        let room = if now < self.cold_until {
            COLD_UPSTREAM_QUEUE
        } else {
            UPSTREAM_QUEUE
        };
        if self.serving.len() + self.upstream_queue.len() < SLOTS as usize + room {
            self.upstream_queue.push_back(flow);
        } else {
            tally.second_of(&flow).rejected += 1;
            self.end(&flow, now);
        }
    }

    /// The upstream answers or rejects the request and closes the flow.
    fn end(&mut self, flow: &NewFlow, now: Instant) {
        let last = Segment {
            resets: true,
            ..answer(0, 5001)
        };
        self.table.upstream_datagram(&flow.datagram(last), now);
    }

    fn serve(&mut self, now: Instant, tally: &mut Tally) {
        let (done, serving) = std::mem::take(&mut self.serving)
            .into_iter()
            .partition(|(end, _)| *end <= now);
        self.serving = serving;
        for (_, flow) in done {
            self.end(&flow, now);
            let in_time = now <= flow.sent_at + OBJECTIVE;
            let outcome = tally.second_of(&flow);
            outcome.in_objective += u32::from(in_time);
            outcome.late += u32::from(!in_time);
            outcome.urgent_in_objective += u32::from(in_time && flow.is_urgent());
        }
        let service = if now < self.cold_until {
            COLD_SERVICE
        } else {
            WARM_SERVICE
        };
        while self.serving.len() < SLOTS as usize {
            let Some(flow) = self.upstream_queue.pop_front() else {
                return;
            };
            self.serving.push((now + service, flow));
        }
    }

    fn status(&self, now: Instant) -> AgentStatus {
        let waiting = self.queue.waiting_in_time(self.table.pace(), now);
        let waiting = u32::try_from(waiting).unwrap();
        let (slots, load) = self.table.reported_load(waiting, now);
        AgentStatus {
            id: UpstreamId(1),
            data_centre: self.data_centre.clone(),
            slots,
            accepting: self.table.accepts_new_flows(now),
            load,
            service_time: None,
            share: AdmittedShare::default(),
            reported_at: now,
            placed_since_report: 0,
        }
    }
}

/// Outcomes by the second in which the flow was sent.
struct Tally {
    start: Instant,
    seconds: BTreeMap<u64, Outcome>,
}

impl Tally {
    fn second_of(&mut self, flow: &NewFlow) -> &mut Outcome {
        let second = flow.sent_at.duration_since(self.start).as_secs();
        self.seconds.entry(second).or_default()
    }
}

struct Simulation {
    hosts: Vec<Host>,
    /// The agents as each balancer knows them, with its data centre.
    balancers: Vec<(DataCentre, AgentPool)>,
    tally: Tally,
}

impl Simulation {
    fn new(bound: Option<ColdBound>) -> Self {
        let start = Instant::now() + Duration::from_mins(1);
        let settings = FlowTableSettings {
            cold_bound: bound,
            ..FlowTableSettings::default()
        };
        let cold_until = start + Duration::from_millis(RETURN_MS + COLD_MS);
        let data_centre = |n: usize| if n.is_multiple_of(2) { "near" } else { "far" };
        let host = |n: u8| {
            let name = data_centre(n.into());
            let cold_until = if name == "near" { cold_until } else { start };
            let mut table = FlowTable::new(settings, start);
            table.set_limits(ServiceLimits {
                cold_rate: RequestRate::from_per_second(COLD_RATE),
            });
            table.set_upstream(None);
            let upstream = UpstreamStatus {
                slow_start_until: Some(cold_until),
                ..UpstreamStatus::ready(1, Slots(SLOTS))
            };
            table.set_upstream(Some(upstream));
            Host {
                address: address(n),
                data_centre: name.parse().unwrap(),
                table,
                pool: AgentPool::default(),
                queue: OpeningQueue::new(OpeningQueueSettings::default()),
                serving: Vec::new(),
                upstream_queue: VecDeque::new(),
                cold_until,
                cold_flows: Vec::new(),
            }
        };
        let balancer = |n| (data_centre(n).parse().unwrap(), AgentPool::default());
        Simulation {
            hosts: (0..2 * AGENTS).map(host).collect(),
            balancers: (0..BALANCERS).map(balancer).collect(),
            tally: Tally {
                start,
                seconds: BTreeMap::new(),
            },
        }
    }

    fn set_evacuated(&mut self, names: &[&str]) {
        let evacuated = names.iter().map(|name| name.parse().unwrap()).collect();
        for host in &mut self.hosts {
            host.pool.set_evacuated(&evacuated);
            host.table
                .set_evacuated(evacuated.contains(&host.data_centre));
        }
        for (_, pool) in &mut self.balancers {
            pool.set_evacuated(&evacuated);
        }
    }

    /// The agents report to those in their data centre, and to all every fourth time.
    fn report(&mut self, to_all: bool, now: Instant) {
        let reports: Vec<(SocketAddrV4, AgentStatus)> = self
            .hosts
            .iter()
            .map(|host| (host.address, host.status(now)))
            .collect();
        let agents = self.hosts.iter_mut();
        let agents = agents.map(|host| (Some(host.address), &host.data_centre, &mut host.pool));
        let balancers = self.balancers.iter_mut();
        let balancers = balancers.map(|(data_centre, pool)| (None, &*data_centre, pool));
        for (receiver, data_centre, pool) in agents.chain(balancers) {
            for (sender, status) in &reports {
                if receiver != Some(*sender) && (to_all || status.data_centre == *data_centre) {
                    pool.insert(*sender, status.clone());
                }
            }
        }
    }

    /// A balancer places a flow.
    fn place(&mut self, flow: NewFlow, now: Instant) {
        let balancer = flow.number as usize % self.balancers.len();
        let (data_centre, pool) = &mut self.balancers[balancer];
        let hash = flow.datagram(opening(0)).key_from_caller().stable_hash();
        match pool.place(data_centre, hash, &[], now) {
            Some(agent) => self.offer(agent, flow, Origin::Placed, now),
            None => self.tally.second_of(&flow).refused += 1,
        }
    }

    /// An agent gets a new flow from a balancer or another agent.
    fn offer(&mut self, agent: SocketAddrV4, flow: NewFlow, origin: Origin, now: Instant) {
        let host = self.host(agent);
        let seg = flow.datagram(opening(0));
        match host.table.caller_datagram(&seg, origin, now) {
            CallerAction::Deliver => self.deliver(agent, flow, now),
            CallerAction::Wait => self.queue(agent, flow, now),
            CallerAction::PassOn => {
                let Some(flow) = self.forward(agent, flow, now) else {
                    return;
                };
                if self.host(agent).table.free_admissions(now) > 0 {
                    self.host(agent).table.accept_opening(&seg, now);
                    self.deliver(agent, flow, now);
                } else {
                    self.queue(agent, flow, now);
                }
            }
            other => panic!("{other:?} for an opening"),
        }
    }

    fn host(&mut self, agent: SocketAddrV4) -> &mut Host {
        let host = self.hosts.iter_mut().find(|host| host.address == agent);
        host.unwrap()
    }

    fn deliver(&mut self, agent: SocketAddrV4, flow: NewFlow, now: Instant) {
        let host = self.hosts.iter_mut().find(|host| host.address == agent);
        host.unwrap().deliver(flow, now, &mut self.tally);
    }

    /// Forwards a flow to another agent with a free slot, or returns it.
    fn forward(&mut self, agent: SocketAddrV4, flow: NewFlow, now: Instant) -> Option<NewFlow> {
        let mut declined_by = flow.declined_by.clone();
        declined_by.push(agent);
        let host = self.host(agent);
        if declined_by.len() > MAX_ATTEMPTS || !host.pool.has_free_slot(&declined_by, now) {
            return Some(flow);
        }
        let hash = flow.datagram(opening(0)).key_from_caller().stable_hash();
        let data_centre = host.data_centre.clone();
        let Some(peer) = host.pool.place(&data_centre, hash, &declined_by, now) else {
            return Some(flow);
        };
        let flow = NewFlow {
            declined_by,
            ..flow
        };
        self.offer(peer, flow, Origin::Passed, now);
        None
    }

    fn queue(&mut self, agent: SocketAddrV4, flow: NewFlow, now: Instant) {
        let seg = flow.datagram(opening(0));
        let (sent_at, targets) = (flow.sent_at, flow.targets());
        self.host(agent).queue.push(&seg, sent_at, targets, flow);
        self.refuse_hopeless(agent, now);
    }

    fn refuse_hopeless(&mut self, agent: SocketAddrV4, now: Instant) {
        let host = self.host(agent);
        let (first, interval) = host.table.admission_schedule(now);
        let pace = host.table.pace();
        for flow in host.queue.take_hopeless_from(first, interval, pace, now) {
            self.tally.second_of(&flow).refused += 1;
        }
    }

    fn serve_waiting(&mut self, agent: SocketAddrV4, now: Instant) {
        for _ in 0..self.host(agent).table.free_admissions(now) {
            let host = self.host(agent);
            let Some(flow) = host.queue.pop(host.table.pace(), now) else {
                break;
            };
            host.table.accept_opening(&flow.datagram(opening(0)), now);
            self.deliver(agent, flow, now);
        }
        while self.host(agent).pool.has_free_slot(&[agent], now) {
            let host = self.host(agent);
            let Some(flow) = host.queue.pop(host.table.pace(), now) else {
                break;
            };
            if let Some(flow) = self.forward(agent, flow, now) {
                self.queue(agent, flow, now);
                break;
            }
        }
        self.refuse_hopeless(agent, now);
    }

    fn run(mut self) -> Self {
        let start = self.tally.start;
        let agents: Vec<SocketAddrV4> = self.hosts.iter().map(|host| host.address).collect();
        self.set_evacuated(&["near"]);
        let mut sent = 0;
        // The last flows end within three seconds after the last one was sent.
        for ms in 0..END_MS + 3000 {
            let now = start + Duration::from_millis(ms);
            if ms == RETURN_MS {
                self.set_evacuated(&[]);
            }
            if ms.is_multiple_of(NEAR_REPORT_MS) || ms == RETURN_MS {
                self.report(ms.is_multiple_of(FAR_REPORT_MS), now);
            }
            for host in &mut self.hosts {
                host.serve(now, &mut self.tally);
            }
            for agent in &agents {
                self.serve_waiting(*agent, now);
            }
            if ms < END_MS && ms.is_multiple_of(10) {
                for _ in 0..FLOWS_PER_10_MS {
                    sent += 1;
                    let flow = NewFlow {
                        number: sent,
                        sent_at: now,
                        declined_by: Vec::new(),
                    };
                    self.place(flow, now);
                }
            }
            if ms.is_multiple_of(1000) {
                for host in &mut self.hosts {
                    host.table.expire(now);
                }
            }
        }
        self
    }

    /// Most flows that a cold upstream got in any second, both ends included.
    fn most_cold_flows(&self) -> usize {
        let most = |host: &Host| {
            let flows = &host.cold_flows;
            let in_span = |from: &Instant| {
                let until = *from + Duration::from_secs(1);
                flows
                    .iter()
                    .filter(|at| *at >= from && **at <= until)
                    .count()
            };
            flows.iter().map(in_span).max().unwrap_or(0)
        };
        self.hosts.iter().map(most).max().unwrap_or(0)
    }

    fn total(&self) -> Outcome {
        let mut total = Outcome::default();
        for outcome in self.tally.seconds.values() {
            total.in_objective += outcome.in_objective;
            total.late += outcome.late;
            total.refused += outcome.refused;
            total.rejected += outcome.rejected;
            total.urgent_in_objective += outcome.urgent_in_objective;
        }
        total
    }

    fn table(&self) -> String {
        let mut text =
            String::from("second  in objective  urgent of them  late  refused  rejected\n");
        for (second, o) in &self.tally.seconds {
            writeln!(
                text,
                "{second:6}  {:12}  {:14}  {:4}  {:7}  {:8}",
                o.in_objective, o.urgent_in_objective, o.late, o.refused, o.rejected
            )
            .unwrap();
        }
        text
    }
}

/// Guards against a returned data centre whose cold upstreams are filled by the callers
/// that the others cannot serve: what they get stays within the bound in any second, and
/// more callers get an answer, the urgent ones at least as many in their objective.
#[test]
fn cold_upstreams_of_a_returning_data_centre_are_not_filled() {
    let bound = ColdBound::new(1.5, 5.0).unwrap();
    let most = bound.max_flows(RequestRate::from_per_second(COLD_RATE));
    let unlimited = Simulation::new(None).run();
    let limited = Simulation::new(Some(bound)).run();
    for (name, played) in [("without", &unlimited), ("with", &limited)] {
        eprintln!(
            "{name} the limit; at most {} flows in a second at a cold upstream, {most} allowed\n{}",
            played.most_cold_flows(),
            played.table()
        );
    }
    for played in [&unlimited, &limited] {
        let total = played.total();
        let flows = u32::try_from(END_MS / 10).unwrap() * FLOWS_PER_10_MS;
        let ended = total.in_objective + total.late + total.refused + total.rejected;
        assert_eq!(ended, flows, "each flow ends once");
    }
    assert!(unlimited.most_cold_flows() > most, "the load needs a limit");
    assert!(limited.most_cold_flows() <= most);
    let (before, after) = (unlimited.total(), limited.total());
    let answered = |total: Outcome| total.in_objective + total.late;
    assert!(answered(after) >= answered(before), "{after:?}");
    assert!(after.urgent_in_objective >= before.urgent_in_objective);
    assert_eq!(after.rejected, 0, "refusals tell that nothing ran");
}
