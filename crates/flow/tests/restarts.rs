//! Restarts of agents and balancers, in process: two balancers, three agents with their
//! upstreams, and callers that send on open flows all the while.

mod common;

use std::{
    collections::BTreeMap,
    mem,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{NEAR, SERVICE, address, agreement, answer, bounced, data, opening};
use flow::{
    CallerAction, Claim, FlowListId, FlowListPart, FlowListRecovery, FlowListRecoverySettings,
    FlowListTransfer, FlowListTransferSettings, FlowTable, FlowTableSettings, FlowTuple,
    KeeperCandidates, KeeperNode, KeeperRole, KeptFlowLists, Origin, SearchResults, Segment,
    Steering, SteeringDecision, TrialArbiter, TrialArbiterSettings, TrialRequest, UpstreamAction,
    UpstreamStatus,
};
use types::Slots;

const STEP: Duration = Duration::from_millis(10);
const AGENTS: u8 = 3;
const BALANCERS: u8 = 2;
const FLOWS: u8 = 12;
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of a change in the directory, and of the directory at a process that starts.
const CHANGE_DELAY: Duration = Duration::from_millis(20);
const DIRECTORY_DELAY: Duration = Duration::from_millis(200);

/// Time after SIGTERM until the routers use another balancer.
const ROUTER_DELAY: Duration = Duration::from_secs(1);
const AGENT_DRAIN: Duration = Duration::from_millis(1500);
const BALANCER_DRAIN: Duration = Duration::from_millis(2500);
const SECOND_LIST_DELAY: Duration = Duration::from_millis(1100);
const DOWN_TIME: Duration = Duration::from_millis(100);

#[derive(Clone)]
enum Wire {
    Datagram(u8, Origin),
    NotHeld(u8),
    Query(u8),
    Claim(FlowTuple, Claim),
    Taken(FlowTuple),
    Keep(FlowListPart),
    Kept(FlowListId, u16),
    ListQuery(u64, u16),
    ListPart(Option<FlowListPart>),
    Trial(FlowTuple),
    TrialAnswer(FlowTuple, bool),
}

/// What the process of a node knows.
enum State {
    Agent(Box<Agent>),
    Balancer(Box<Steering>),
}

struct Agent {
    table: FlowTable,
    recovery: Option<FlowListRecovery>,
    transfer: Option<FlowListTransfer>,
    round: u32,
    arbiter: TrialArbiter,
    tried_by: BTreeMap<FlowTuple, SocketAddrV4>,
}

struct Node {
    address: SocketAddrV4,
    incarnation: u64,
    started_at: Instant,
    terminated_at: Option<Instant>,
    is_up: bool,
    kept: KeptFlowLists,
    state: State,
}

impl Node {
    fn new(n: u8, incarnation: u64, now: Instant) -> Self {
        let state = if n < AGENTS {
            let mut table = FlowTable::new(FlowTableSettings::default(), now);
            let upstream = UpstreamStatus {
                ..UpstreamStatus::ready(7, Slots(100))
            };
            table.set_upstream(Some(upstream));
            State::Agent(Box::new(Agent {
                table,
                recovery: Some(FlowListRecovery::new(
                    FlowListRecoverySettings::default(),
                    now,
                )),
                transfer: None,
                round: 0,
                arbiter: TrialArbiter::new(TrialArbiterSettings::default(), now),
                tried_by: BTreeMap::new(),
            }))
        } else {
            State::Balancer(Box::new(common::steering().0))
        };
        Node {
            address: address(n),
            incarnation,
            started_at: now,
            terminated_at: None,
            is_up: true,
            kept: KeptFlowLists::default(),
            state,
        }
    }

    fn drain(&self) -> Duration {
        match self.state {
            State::Agent(_) => AGENT_DRAIN,
            State::Balancer(_) => BALANCER_DRAIN,
        }
    }

    fn has_directory(&self, now: Instant) -> bool {
        now >= self.started_at + DIRECTORY_DELAY
    }
}

/// The deployment. Nodes 0 to 2 are agents, nodes 3 and 4 balancers; flow `n` is open at
/// the upstream of agent `n % 3`.
struct World {
    now: Instant,
    start: Instant,
    nodes: Vec<Node>,
    messages: Vec<(SocketAddrV4, SocketAddrV4, Wire)>,
    /// Datagrams of each flow at wrong upstreams.
    wrong: BTreeMap<u8, u32>,
    /// When the last datagram of each flow reached its upstream.
    reached_at: BTreeMap<u8, Instant>,
    /// One in this many messages about lists is lost.
    loss_period: Option<usize>,
    list_messages: usize,
    /// The routers change the balancer of all flows at this interval.
    rerouting: Option<Duration>,
}

fn initial_seq(n: u8) -> u32 {
    1_000_000 * u32::from(n + 1)
}

fn segment(n: u8) -> Segment {
    data(n, 101, initial_seq(n) + 1)
}

fn text(n: u8) -> Bytes {
    Bytes::copy_from_slice(&[n])
}

impl World {
    /// A deployment that has run for some time, with open flows and hints for them.
    fn new() -> Self {
        let now = Instant::now();
        // The agents' recovery period has passed.
        let long_ago = now.checked_sub(Duration::from_secs(70)).unwrap();
        let mut world = World {
            now,
            start: now,
            nodes: (0..AGENTS + BALANCERS)
                .map(|n| Node::new(n, n.into(), long_ago))
                .collect(),
            messages: Vec::new(),
            wrong: BTreeMap::new(),
            reached_at: BTreeMap::new(),
            loss_period: None,
            list_messages: 0,
            rerouting: None,
        };
        for n in 0..FLOWS {
            let State::Agent(agent) = &mut world.nodes[usize::from(n % AGENTS)].state else {
                panic!("not an agent");
            };
            agent.table.accept_opening(&opening(n), now);
            agent
                .table
                .upstream_datagram(&agreement(n, initial_seq(n)), now);
        }
        world.run(Duration::from_millis(500));
        assert_eq!(world.wrong, BTreeMap::new());
        world
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.deliver_messages();
            self.send_callers_datagrams();
            for n in 0..self.nodes.len() {
                self.advance_process(n);
            }
        }
    }

    fn candidates(&self) -> KeeperCandidates {
        let mut candidates = KeeperCandidates::default();
        for node in &self.nodes {
            let node_state = KeeperNode {
                role: match node.state {
                    State::Agent(_) => KeeperRole::Agent,
                    State::Balancer(_) => KeeperRole::Balancer,
                },
                data_centre: NEAR.parse().unwrap(),
                leaving: node
                    .terminated_at
                    .is_some_and(|at| self.now >= at + CHANGE_DELAY),
            };
            candidates.insert(node.address, node_state);
        }
        candidates
    }

    fn terminate(&mut self, n: usize) {
        self.nodes[n].terminated_at = Some(self.now);
        self.send_list(n);
    }

    /// Ends a process without a notice and starts it again.
    fn kill(&mut self, n: usize) {
        let incarnation = self.nodes[n].incarnation + 100;
        self.nodes[n] = Node::new(u8::try_from(n).unwrap(), incarnation, self.now);
    }

    fn send_list(&mut self, n: usize) {
        let candidates = self.candidates();
        let now = self.now;
        let node = &mut self.nodes[n];
        let State::Agent(agent) = &mut node.state else {
            return;
        };
        let id = FlowListId {
            owner: node.incarnation,
            round: agent.round,
        };
        agent.round += 1;
        let complete = agent.table.is_complete(now) && agent.recovery.is_none();
        let upstream = agent.table.flows_incarnation();
        let parts = FlowListPart::divide(id, complete, upstream, &agent.table.records(now));
        let keepers = candidates.keepers(node.address, &NEAR.parse().unwrap());
        agent.transfer = Some(FlowListTransfer::new(
            FlowListTransferSettings::default(),
            id,
            parts,
            keepers,
        ));
    }

    fn advance_process(&mut self, n: usize) {
        let now = self.now;
        if let Some(at) = self.nodes[n].terminated_at {
            let ends_at = at + self.nodes[n].drain();
            self.nodes[n].is_up = now < ends_at;
            if now >= ends_at + DOWN_TIME {
                self.kill(n);
            } else if now == at + SECOND_LIST_DELAY {
                self.send_list(n);
            }
        }
        let is_restarting = match &self.nodes[n].state {
            State::Agent(agent) => agent.recovery.is_some() || agent.transfer.is_some(),
            State::Balancer(_) => false,
        };
        let candidates = is_restarting.then(|| self.candidates());
        let candidates = candidates.unwrap_or_default();
        let node = &mut self.nodes[n];
        if !node.is_up || !node.has_directory(now) {
            return;
        }
        let (from, mut sent) = (node.address, Vec::new());
        match &mut node.state {
            State::Agent(agent) => {
                let data_centre = NEAR.parse().unwrap();
                if let Some(transfer) = &mut agent.transfer {
                    transfer.add_keepers(candidates.keepers(from, &data_centre));
                    for (keeper, part) in transfer.due(now) {
                        sent.push((keeper, Wire::Keep(part.clone())));
                    }
                }
                if let Some(recovery) = &mut agent.recovery {
                    let asked = candidates.asked(from, &data_centre);
                    recovery.add_nodes(asked.into_iter().map(|(node, _)| node));
                    recovery.set_directory_complete();
                    let queries = recovery.due(now).into_iter();
                    sent.extend(
                        queries.map(|(keeper, index)| {
                            (keeper, Wire::ListQuery(node.incarnation, index))
                        }),
                    );
                    if let Some(recovered) = recovery.result(now) {
                        agent.recovery = None;
                        agent.arbiter.begin(recovered.was_planned, now);
                        agent.table.restore(recovered, now);
                    }
                }
                agent.table.expire(now);
            }
            State::Balancer(steering) => {
                if steering.routes().is_none() {
                    common::set_routes(steering, 1);
                    let pool = steering.pool(&SERVICE.parse().unwrap());
                    for agent in 0..AGENTS {
                        pool.insert(address(agent), common::agent(now));
                    }
                }
                steering.set_directory_complete_until(now + Duration::from_secs(1));
                let results = steering.end_searches(now);
                sent.extend(messages_of(results));
                steering.expire(now);
            }
        }
        self.send(from, sent);
    }

    fn send(&mut self, from: SocketAddrV4, messages: Vec<(SocketAddrV4, Wire)>) {
        let messages = messages.into_iter();
        self.messages
            .extend(messages.map(|(to, message)| (from, to, message)));
    }

    fn send_callers_datagrams(&mut self) {
        for n in 0..FLOWS {
            let elapsed = self.now - self.start + STEP * u32::from(n);
            if !elapsed
                .as_millis()
                .is_multiple_of(SEND_INTERVAL.as_millis())
            {
                continue;
            }
            let interval = self.rerouting.map_or(1, |interval| interval.as_millis());
            let turn = elapsed.as_millis() / interval * u128::from(self.rerouting.is_some());
            let preferred = usize::try_from((u128::from(n) + turn) % 2).unwrap();
            let balancers = [preferred, 1 - preferred].map(|b| usize::from(AGENTS) + b);
            let is_ready = |b: &usize| {
                let node = &self.nodes[*b];
                let is_routed = node
                    .terminated_at
                    .is_none_or(|at| self.now < at + ROUTER_DELAY);
                node.is_up && node.has_directory(self.now) && is_routed
            };
            let Some(b) = balancers.into_iter().find(is_ready) else {
                continue;
            };
            let from = self.nodes[b].address;
            let State::Balancer(steering) = &mut self.nodes[b].state else {
                panic!("not a balancer");
            };
            let decision = steering.steer(&segment(n), &text(n), self.now);
            let sent = messages_of_decision(n, decision);
            self.send(from, sent);
        }
    }

    fn deliver_messages(&mut self) {
        for (from, to, message) in mem::take(&mut self.messages) {
            let n = self.nodes.iter().position(|node| node.address == to);
            let n = n.unwrap();
            let is_about_list = matches!(
                message,
                Wire::Keep(_) | Wire::Kept(..) | Wire::ListQuery(..) | Wire::ListPart(_)
            );
            self.list_messages += usize::from(is_about_list);
            let is_lost = is_about_list
                && self
                    .loss_period
                    .is_some_and(|period| self.list_messages.is_multiple_of(period));
            if is_lost || !self.nodes[n].is_up {
                continue;
            }
            let sent = match self.nodes[n].state {
                State::Agent(_) => self.handle_at_agent(n, from, message),
                State::Balancer(_) => self.handle_at_balancer(n, from, message),
            };
            self.send(to, sent);
        }
    }

    fn handle_at_agent(
        &mut self,
        n: usize,
        from: SocketAddrV4,
        message: Wire,
    ) -> Vec<(SocketAddrV4, Wire)> {
        let now = self.now;
        let node = &mut self.nodes[n];
        let State::Agent(agent) = &mut node.state else {
            panic!("not an agent");
        };
        match message {
            Wire::Datagram(flow, origin) => {
                let seg = segment(flow);
                let key = seg.key_from_caller();
                match agent.table.caller_datagram(&seg, origin, now) {
                    CallerAction::Deliver => {}
                    CallerAction::NotHeld => return vec![(from, Wire::NotHeld(flow))],
                    other => panic!("flow {flow}: {other:?}"),
                }
                if agent.table.is_tried(&key) {
                    agent.tried_by.insert(key, from);
                }
                let is_held = usize::from(flow % AGENTS) == n;
                let reply = if is_held {
                    self.reached_at.insert(flow, now);
                    answer(flow, initial_seq(flow) + 1)
                } else {
                    *self.wrong.entry(flow).or_default() += 1;
                    bounced(seg)
                };
                match agent.table.upstream_datagram(&reply, now) {
                    UpstreamAction::ToCaller { learned } => {
                        let via = agent.tried_by.remove(&key).filter(|_| learned);
                        via.map(|via| (via, Wire::Taken(key))).into_iter().collect()
                    }
                    UpstreamAction::NotHeld => {
                        let via = agent.tried_by.remove(&key).unwrap();
                        vec![(via, Wire::NotHeld(flow))]
                    }
                    other => panic!("flow {flow}: {other:?}"),
                }
            }
            Wire::Query(flow) => {
                let seg = segment(flow);
                let key = seg.key_from_caller();
                let claim = agent.table.claim(&key, &seg, now);
                if claim == Claim::Perhaps && agent.recovery.is_some() {
                    return Vec::new();
                }
                vec![(from, Wire::Claim(key, claim))]
            }
            Wire::Kept(id, index) => {
                if let Some(transfer) = &mut agent.transfer {
                    transfer.acknowledge(from, id, index);
                }
                Vec::new()
            }
            Wire::ListPart(part) => {
                match (&mut agent.recovery, part) {
                    (Some(recovery), Some(part)) => recovery.handle_part(from, part, now),
                    (Some(recovery), None) => recovery.handle_nothing(from),
                    (None, _) => {}
                }
                Vec::new()
            }
            Wire::Trial(key) => {
                let granted = agent.arbiter.grant(key, now);
                vec![(from, Wire::TrialAnswer(key, granted))]
            }
            other => handle_kept(&mut node.kept, from, other, now),
        }
    }

    fn handle_at_balancer(
        &mut self,
        n: usize,
        from: SocketAddrV4,
        message: Wire,
    ) -> Vec<(SocketAddrV4, Wire)> {
        let now = self.now;
        let node = &mut self.nodes[n];
        let State::Balancer(steering) = &mut node.state else {
            panic!("not a balancer");
        };
        let service = SERVICE.parse().unwrap();
        let released = match message {
            Wire::NotHeld(flow) => {
                let key = segment(flow).key_from_caller();
                let decision = steering.handle_not_held(key, from, text(flow), now);
                return messages_of_decision(flow, decision);
            }
            Wire::Claim(key, claim) => steering.handle_claim(key, from, claim, now),
            Wire::Taken(key) => steering.record_holder(key, from, &service, now),
            Wire::TrialAnswer(key, granted) => {
                return messages_of(steering.handle_trial_answer(key, from, granted, now));
            }
            other => return handle_kept(&mut node.kept, from, other, now),
        };
        messages_of(SearchResults {
            released,
            ..SearchResults::default()
        })
    }

    /// Checks that each flow is served and that none got `max_wrong` datagrams more at
    /// wrong upstreams.
    fn check(&self, max_wrong: u32, what: &str) {
        for n in 0..FLOWS {
            let idle = self.now - self.reached_at[&n];
            assert!(idle <= SEND_INTERVAL * 2, "{what}: flow {n} for {idle:?}");
        }
        let most = self.wrong.values().max().copied().unwrap_or_default();
        assert!(most <= max_wrong, "{what}: {:?}", self.wrong);
    }
}

fn handle_kept(
    kept: &mut KeptFlowLists,
    from: SocketAddrV4,
    message: Wire,
    now: Instant,
) -> Vec<(SocketAddrV4, Wire)> {
    match message {
        Wire::Keep(part) => {
            let (id, index) = (part.id, part.index);
            assert!(kept.store(from, part, now));
            vec![(from, Wire::Kept(id, index))]
        }
        Wire::ListQuery(incarnation, index) => {
            vec![(from, Wire::ListPart(kept.part(from, incarnation, index)))]
        }
        _ => panic!("not for this node"),
    }
}

fn messages_of_decision(n: u8, decision: SteeringDecision) -> Vec<(SocketAddrV4, Wire)> {
    match decision {
        SteeringDecision::Forward { agent, origin, .. } => vec![(agent, Wire::Datagram(n, origin))],
        SteeringDecision::Query(agents) => {
            let agents = agents.into_iter();
            agents.map(|(agent, _)| (agent, Wire::Query(n))).collect()
        }
        SteeringDecision::Queued | SteeringDecision::Drop(_) => Vec::new(),
        SteeringDecision::Reset(_) => panic!("flow {n} is reset"),
    }
}

fn messages_of(results: SearchResults) -> Vec<(SocketAddrV4, Wire)> {
    assert_eq!(results.lost_flows, Vec::<Bytes>::new(), "a flow is reset");
    let mut messages = Vec::new();
    for query in results.queries {
        let n = query.payload[0];
        let agents = query.agents.into_iter();
        messages.extend(agents.map(|(agent, _)| (agent, Wire::Query(n))));
    }
    for TrialRequest { key, arbiter } in results.trial_requests {
        messages.push((arbiter, Wire::Trial(key)));
    }
    for release in results.released {
        let n = release.payload[0];
        messages.push((release.agent, Wire::Datagram(n, release.origin)));
    }
    messages
}

/// All orders of `items`.
fn orders(items: &[usize]) -> Vec<Vec<usize>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (i, first) in items.iter().enumerate() {
        let mut rest = items.to_vec();
        rest.remove(i);
        all.extend(orders(&rest).into_iter().map(|mut order| {
            order.insert(0, *first);
            order
        }));
    }
    all
}

/// Guards against datagrams of open flows at wrong upstreams, resets, and flows that are
/// not served any more, when all agents and balancers are restarted in any order (5 to 9
/// flows a day in the scenario `deploy/days/both-roll.toml`).
#[test]
fn restarts_one_a_second_in_any_order_misdeliver_nothing() {
    restart_all_in_any_order(Duration::from_secs(1));
}

/// Guards against the same when most processes stop at the same time.
#[test]
fn overlapping_restarts_in_any_order_misdeliver_nothing() {
    restart_all_in_any_order(Duration::from_millis(300));
}

/// Guards against the same when all processes stop at once.
#[test]
fn restarts_of_all_processes_at_once_misdeliver_nothing() {
    restart_all(&[0, 1, 2, 3, 4], Duration::ZERO, None);
}

/// Guards against a list that is not recovered because messages about it are lost.
#[test]
fn lost_messages_are_sent_again() {
    for period in 2..=6 {
        restart_all(&[0, 3, 1, 4, 2], Duration::from_secs(1), Some(period));
    }
}

fn restart_all_in_any_order(gap: Duration) {
    for order in orders(&[0, 1, 2, 3, 4]) {
        restart_all(&order, gap, None);
    }
}

fn restart_all(order: &[usize], gap: Duration, loss_period: Option<usize>) {
    let mut world = World::new();
    world.loss_period = loss_period;
    for n in order {
        world.terminate(*n);
        world.run(gap);
    }
    world.run(Duration::from_millis(4500));
    let what = format!("{order:?}, gap {gap:?}, loss {loss_period:?}");
    world.check(0, &what);
    for node in &world.nodes {
        if let State::Agent(agent) = &node.state {
            assert!(agent.table.is_complete(world.now), "{what}");
        }
    }
}

/// Guards against the sum of the trials of several balancers: a flow counted as broken
/// after the third datagram at a wrong upstream, while each balancer kept its own limit.
#[test]
fn after_kills_a_flow_is_tried_at_two_wrong_upstreams_at_most() {
    for killed in [vec![0], vec![0, 1], vec![0, 1, 2]] {
        let mut world = World::new();
        world.rerouting = Some(Duration::from_millis(300));
        for n in killed.iter().copied().chain([3, 4]) {
            world.kill(n);
        }
        world.run(Duration::from_secs(15));
        world.check(2, &format!("killed {killed:?}"));
    }
}

/// Guards against an agent that counts its list as complete although a process between
/// it and the list's owner accepted flows and was killed.
#[test]
fn only_the_next_process_gets_a_complete_list() {
    let now = Instant::now();
    let agent = address(1);
    let id = FlowListId { owner: 1, round: 0 };
    let part = FlowListPart::divide(id, true, Some(7), &[]).remove(0);
    let is_complete =
        |kept: &mut KeptFlowLists, run| kept.part(agent, run, 0).map(|part| part.complete);
    let mut asked = KeptFlowLists::default();
    assert!(asked.store(agent, part.clone(), now));
    assert_eq!(is_complete(&mut asked, 2), Some(true));
    assert_eq!(is_complete(&mut asked, 2), Some(true), "a lost answer");
    assert_eq!(is_complete(&mut asked, 3), Some(false));

    let mut listed = KeptFlowLists::default();
    assert!(listed.store(agent, part.clone(), now));
    listed.observe_run(agent, 1);
    listed.observe_run(agent, 2);
    assert_eq!(is_complete(&mut listed, 3), Some(false));

    // The list of a later process replaces it, and late copies do not come back.
    let id = FlowListId { owner: 3, round: 0 };
    let later = FlowListPart::divide(id, true, Some(7), &[]).remove(0);
    assert!(listed.store(agent, later, now));
    assert!(!listed.store(agent, part, now));
    assert_eq!(is_complete(&mut listed, 4), Some(true));
}

/// Guards against a list that is lost with the host of its agent, or that two keepers of
/// one role hold although the other role is there.
#[test]
fn keepers_are_on_other_hosts_and_of_both_roles() {
    let data_centre = NEAR.parse().unwrap();
    let mut candidates = KeeperCandidates::default();
    let keeper = |role, leaving| KeeperNode {
        role,
        data_centre: NEAR.parse().unwrap(),
        leaving,
    };
    for n in 1..=4 {
        candidates.insert(address(n), keeper(KeeperRole::Agent, n == 2));
        let mut balancer = address(n);
        balancer.set_port(7001);
        candidates.insert(balancer, keeper(KeeperRole::Balancer, n != 3));
    }
    let keepers = candidates.keepers(address(1), &data_centre);
    let mut hosts: Vec<_> = keepers.iter().map(|(a, role)| (*role, *a.ip())).collect();
    hosts[..2].sort_unstable();
    let expected = [3, 4].map(|n| (KeeperRole::Agent, *address(n).ip()));
    assert_eq!(hosts[..2], expected);
    // A stopping node is better than none.
    assert_eq!(hosts[2], (KeeperRole::Balancer, *address(3).ip()));
    assert_ne!(hosts[3].1, *address(1).ip());
    assert_eq!(candidates.asked(address(1), &data_centre).len(), 6);
}

/// A list of two parts of the flows of a table with 30 open flows.
fn two_parts(complete: bool) -> Vec<FlowListPart> {
    let (mut table, now) = common::flow_table();
    for n in 0..30 {
        table.accept_opening(&opening(n), now);
        table.upstream_datagram(&agreement(n, initial_seq(n)), now);
    }
    let id = FlowListId { owner: 1, round: 0 };
    FlowListPart::divide(id, complete, Some(7), &table.records(now))
}

/// Guards against a recovery that never ends, or that ends with a list taken for
/// complete, when keepers fail halfway.
#[test]
fn a_recovery_with_missing_parts_is_not_complete() {
    let parts = two_parts(true);
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    let mut recovery = FlowListRecovery::new(FlowListRecoverySettings::default(), now);
    recovery.set_directory_complete();
    recovery.add_nodes([address(1), address(2)]);
    assert_eq!(recovery.due(now), [(address(1), 0), (address(2), 0)]);
    recovery.handle_part(address(1), parts[0].clone(), now);
    assert_eq!(recovery.due(now), [(address(1), 1)]);
    assert_eq!(recovery.result(now), None);
    let at_end = recovery.result(later).unwrap();
    assert_eq!((at_end.complete, at_end.flows.len()), (false, 24));

    // The other keeper has the missing part.
    recovery.handle_part(address(2), parts[0].clone(), now);
    let retry = now + Duration::from_millis(60);
    assert_eq!(recovery.due(retry), [(address(2), 1)]);
    recovery.handle_part(address(2), parts[1].clone(), retry);
    let whole = recovery.result(retry).unwrap();
    assert_eq!((whole.complete, whole.flows.len()), (true, 30));

    // One keeper knows that another process has asked before.
    let mut recovery = FlowListRecovery::new(FlowListRecoverySettings::default(), now);
    recovery.add_nodes([address(1), address(2)]);
    for (node, parts) in [(1, two_parts(true)), (2, two_parts(false))] {
        for part in parts {
            recovery.handle_part(address(node), part, now);
        }
    }
    assert!(!recovery.result(now).unwrap().complete);
}

/// Guards against an agent that answers no query for 1.5 s after a crash, because some of
/// the nodes that it asks for its list have crashed too.
#[test]
fn a_recovery_without_a_list_does_not_wait_for_nodes_that_do_not_run() {
    let now = Instant::now();
    let mut recovery = FlowListRecovery::new(FlowListRecoverySettings::default(), now);
    recovery.add_nodes([address(1), address(2)]);
    recovery.handle_nothing(address(1));
    let after = |ms| now + Duration::from_millis(ms);
    assert_eq!(
        recovery.result(after(300)),
        None,
        "the other node may keep a list"
    );
    assert_eq!(
        recovery.result(after(400)),
        Some(flow::RecoveredFlows::default())
    );
}

/// Guards against callers of an upstream that restarted together with its agent, which
/// wait longer than until the upstream has returned their first datagram.
#[test]
fn flows_in_the_list_of_an_earlier_upstream_are_reset() {
    let (mut table, now) = common::flow_table();
    let seg = segment(1);
    let recovered = flow::RecoveredFlows {
        complete: true,
        upstream: Some(6),
        flows: two_parts(true)
            .into_iter()
            .flat_map(|part| part.flows)
            .collect(),
        was_planned: true,
    };
    table.restore(recovered, now);
    assert_eq!(table.load(now).open_flows, 0);
    let verdict = table.caller_datagram(&seg, Origin::Held, now);
    assert_eq!(verdict, CallerAction::Deliver);
    let returned = table.upstream_datagram(&common::bounced(seg), now);
    assert_eq!(returned, flow::UpstreamAction::Reset);
    let verdict = table.caller_datagram(&seg, Origin::Held, now);
    assert_eq!(verdict, CallerAction::Reset);
}

/// Guards against a restored flow whose caller acknowledges what the upstream sent while
/// no agent ran, and against one that was opened at two upstreams.
#[test]
fn a_restored_flow_accepts_unrecorded_data() {
    let (mut table, now) = common::flow_table();
    let flows = two_parts(true).into_iter().flat_map(|part| part.flows);
    let recovered = flow::RecoveredFlows {
        complete: true,
        upstream: Some(7),
        flows: flows.collect(),
        was_planned: true,
    };
    table.restore(recovered, now);
    let claim = |ack: u32| {
        let seg = data(1, 101, ack);
        table.claim(&seg.key_from_caller(), &seg, now)
    };
    assert_eq!(claim(initial_seq(1) + 2_000_000), Claim::Holds);
    assert_eq!(claim(initial_seq(1) + 100_000_000), Claim::No);
}
