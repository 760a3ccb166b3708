//! The data path of a balancer.

mod link;
mod nodes;
mod searches;

use std::{
    collections::BTreeSet,
    net::{SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
use flow::{
    Claim, DropReason, FlowQuery, FlowTuple, KeptFlowLists, KeptFlowListsSettings, LinkAdmission,
    Origin, QueryBatches, ReleasedDatagram, SearchResults, Segment, Steering, SteeringDecision,
    SteeringSettings, TrialRequest,
};
use prometheus::Registry;
use searches::SearchQuery;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::sleep_until,
};
use types::{BytesPerSecond, DataCentre, ServiceName, UpstreamId};

use super::{ControlUpdate, EgressQueue, Traffic, metrics::RelayMetrics};
use crate::{AgentReport, Codec, Error, Message, Performance, Result, ServiceTag};

/// Interval between removals of expired state.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Size of the receive buffers, as large as any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// An agent that the directory does not list is removed if it has not reported for
/// this long.
const UNLISTED_AGENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Share of the link, in percent, that the claim queries of searches may use.
const MAX_QUERY_LINK_PERCENT: u64 = 10;

/// Bytes of a claim query with its IPv4 and UDP headers.
const QUERY_BYTES: u64 = 72;

/// Maximum rate of claim queries on a link.
fn max_queries_per_second(link_rate: BytesPerSecond) -> u32 {
    u32::try_from(link_rate.0 * MAX_QUERY_LINK_PERCENT / 100 / QUERY_BYTES).unwrap_or(u32::MAX)
}

/// Settings of a [`Balancer`].
#[derive(Debug, Clone)]
pub struct BalancerSettings {
    /// Local address at which callers' datagrams arrive.
    pub ingress_address: SocketAddrV4,
    /// Address at which agents reach the balancer.
    pub peer_address: SocketAddrV4,
    /// Local address that the socket for `peer_address` is bound to.
    pub peer_listen_address: SocketAddrV4,
    /// UDP port of all callers.
    pub caller_port: u16,
    /// Data centre of the balancer.
    pub data_centre: DataCentre,
    /// Rate of the host's link; `None` sends to agents without pacing.
    pub link_rate: Option<BytesPerSecond>,
    /// Whether routes and callers get equal shares of the link.
    pub fair_queueing: bool,
    /// Timeouts and limits of its decisions.
    pub steering: SteeringSettings,
}

/// An opening datagram that waits for the link.
#[derive(Debug)]
struct HeldOpening {
    payload: Bytes,
    arrived_at: Instant,
}

/// The task of a balancer, which owns its sockets and steering state.
pub struct Balancer<C> {
    cfg: BalancerSettings,
    codec: C,
    steering: Steering,
    ingress_socket: UdpSocket,
    peer_socket: UdpSocket,
    egress_queue: EgressQueue,
    /// Queries of searches that go to agents together.
    query_batches: QueryBatches<SearchQuery>,
    /// New flows that wait for the link.
    link_admission: LinkAdmission<HeldOpening>,
    updates: mpsc::Receiver<ControlUpdate>,
    /// Whether new flows can be placed.
    ready: watch::Sender<bool>,
    /// Agents that the directory lists.
    listed_agents: BTreeSet<SocketAddrV4>,
    /// Lists of flows of agents that have stopped.
    kept_flow_lists: KeptFlowLists,
    next_expiry_at: Instant,
    metrics: RelayMetrics,
}

impl<C: Codec> Balancer<C> {
    /// Creates the task and binds its sockets. `ready` receives whether new flows can
    /// be placed.
    ///
    /// # Errors
    ///
    /// A socket cannot be bound, or the registry already has one of the metrics.
    pub fn new(
        cfg: BalancerSettings,
        codec: C,
        updates: mpsc::Receiver<ControlUpdate>,
        ready: watch::Sender<bool>,
        registry: &Registry,
    ) -> Result<Self> {
        let bind = |address: SocketAddrV4| {
            let address = SocketAddr::V4(address);
            net::bind_udp(address).map_err(|e| Error::Bind(address, e))
        };
        let steering = SteeringSettings {
            max_queries_per_second: cfg.link_rate.map_or(
                cfg.steering.max_queries_per_second,
                |link_rate| {
                    max_queries_per_second(link_rate).min(cfg.steering.max_queries_per_second)
                },
            ),
            ..cfg.steering
        };
        Ok(Balancer {
            ingress_socket: bind(cfg.ingress_address)?,
            peer_socket: bind(cfg.peer_listen_address)?,
            egress_queue: EgressQueue::new(cfg.link_rate, Instant::now()),
            query_batches: QueryBatches::default(),
            link_admission: LinkAdmission::new(cfg.link_rate).with_fair_queueing(cfg.fair_queueing),
            steering: Steering::new(steering, cfg.data_centre.clone()),
            cfg,
            codec,
            updates,
            ready,
            listed_agents: BTreeSet::new(),
            kept_flow_lists: KeptFlowLists::new(KeptFlowListsSettings::default()),
            next_expiry_at: Instant::now(),
            metrics: RelayMetrics::new(registry)?,
        })
    }

    /// Runs until the sender of `updates` is dropped.
    pub async fn run(mut self) {
        let mut from_callers = vec![0; MAX_DATAGRAM_BYTES];
        let mut from_agents = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let search_deadline = self.steering.next_deadline().unwrap_or(self.next_expiry_at);
            let deadline = self.next_expiry_at.min(search_deadline);
            let batch_deadline = self.query_batches.next_deadline();
            let deadline = batch_deadline.map_or(deadline, |at| at.min(deadline));
            let link_deadline = self.link_admission.next_deadline();
            let deadline = link_deadline.map_or(deadline, |at| at.min(deadline));
            let egress_deadline = self.egress_queue.next_deadline();
            tokio::select! {
                received = self.ingress_socket.recv_from(&mut from_callers) => {
                    if let Ok((len, _)) = received {
                        self.handle_caller_datagram(&from_callers[..len]).await;
                    }
                }
                received = self.peer_socket.recv_from(&mut from_agents) => {
                    if let Ok((len, SocketAddr::V4(from))) = received {
                        self.handle_agent_message(&from_agents[..len], from).await;
                    }
                }
                update = self.updates.recv() => match update {
                    Some(update) => self.apply_update(update).await,
                    None => return,
                },
                () = sleep_until(egress_deadline.unwrap_or(deadline).into()), if egress_deadline.is_some() => {
                    self.flush().await;
                }
                () = sleep_until(deadline.into()) => self.handle_deadlines(Instant::now()).await,
            }
        }
    }

    async fn handle_caller_datagram(&mut self, datagram: &[u8]) {
        self.metrics.received_datagrams.inc();
        let Some(seg) = self.codec.parse(datagram) else {
            self.metrics
                .dropped_datagrams
                .with_label_values(&["malformed"])
                .inc();
            return;
        };
        let payload = Bytes::copy_from_slice(datagram);
        let now = Instant::now();
        if !seg.is_opening() {
            self.link_admission.observe(&seg, now);
        } else if !self.steering.was_placed(&seg) {
            return self.admit_to_link(&seg, payload, now).await;
        }
        let steer = self.steering.steer(&seg, &payload, now);
        self.apply_decision(steer, &seg, payload).await;
        self.serve_link(now).await;
    }

    async fn apply_decision(&mut self, steer: SteeringDecision, seg: &Segment, payload: Bytes) {
        self.apply_decision_after(steer, seg, payload, Duration::ZERO)
            .await;
    }

    /// Applies a decision about a datagram that waited here for `waited`.
    async fn apply_decision_after(
        &mut self,
        steer: SteeringDecision,
        seg: &Segment,
        payload: Bytes,
        waited: Duration,
    ) {
        let key = seg.key_from_caller();
        match steer {
            SteeringDecision::Forward {
                agent,
                origin,
                service,
            } => {
                if seg.is_opening() {
                    self.metrics
                        .flow_events
                        .with_label_values(&["placed"])
                        .inc();
                    log::info!(
                        event = "placed", flow:% = key, copy = seg.ack, agent:% = agent,
                        service:% = service, set = self.set_number(); "placing a new flow at an agent"
                    );
                }
                if seg.is_opening() {
                    self.send_opening(agent, origin, &service, key, waited, payload)
                        .await;
                } else {
                    self.send_to_agent(agent, origin, &service, key, payload)
                        .await;
                }
            }
            SteeringDecision::Query(agents) => {
                self.metrics
                    .flow_events
                    .with_label_values(&["searched"])
                    .inc();
                log::info!(
                    event = "searching", flow:% = key, agents = agents.len();
                    "agent of the flow is unknown; querying agents"
                );
                self.send_claim_queries(vec![FlowQuery { payload, agents }])
                    .await;
            }
            SteeringDecision::Queued => {}
            SteeringDecision::Reset(cause) => self.reset_flow(&payload, cause.as_str()).await,
            SteeringDecision::Drop(cause) => self.drop_datagram(seg, cause),
        }
    }

    /// Sends the caller a reset of its flow.
    async fn reset_flow(&self, payload: &Bytes, cause: &str) {
        let Some(seg) = self.codec.parse(payload) else {
            return;
        };
        self.metrics.flow_events.with_label_values(&["reset"]).inc();
        log::info!(
            event = "reset", flow:% = seg.key_from_caller(), cause = cause,
            set = self.set_number(); "resetting the flow"
        );
        let to = SocketAddrV4::new(*seg.source.ip(), self.cfg.caller_port);
        // The network may lose the datagram too, so a failed send is ignored.
        let _ = self
            .ingress_socket
            .send_to(&self.codec.reset(&seg), to)
            .await;
    }

    fn set_number(&self) -> u64 {
        self.steering.routes().map_or(0, |routes| routes.number.0)
    }

    fn drop_datagram(&self, seg: &Segment, cause: DropReason) {
        self.metrics
            .dropped_datagrams
            .with_label_values(&[cause.as_str()])
            .inc();
        log::info!(
            event = "dropped", flow:% = seg.key_from_caller(), cause = cause.as_str(),
            opening = u64::from(seg.is_opening()), set = self.set_number(); "dropping a datagram of a caller"
        );
    }

    async fn send_to_agent(
        &mut self,
        agent: SocketAddrV4,
        origin: Origin,
        service: &ServiceName,
        key: FlowTuple,
        payload: Bytes,
    ) {
        self.metrics
            .sent_datagrams
            .with_label_values(&["agent"])
            .inc();
        let message = Message::Datagram {
            tag: ServiceTag::of(service),
            origin,
            via: self.cfg.peer_address,
            declined_by: Vec::new(),
            payload,
        };
        self.send_message(agent, self.traffic_of(key), &message)
            .await;
    }

    fn traffic_of(&self, key: FlowTuple) -> Traffic {
        Traffic::Flow(key, self.steering.targets(key.service).priority)
    }

    /// Sends an opening datagram to an agent, with the targets of its route.
    async fn send_opening(
        &mut self,
        agent: SocketAddrV4,
        origin: Origin,
        service: &ServiceName,
        key: FlowTuple,
        waited: Duration,
        payload: Bytes,
    ) {
        self.metrics
            .sent_datagrams
            .with_label_values(&["agent"])
            .inc();
        let message = Message::Opening {
            tag: ServiceTag::of(service),
            origin,
            via: self.cfg.peer_address,
            declined_by: Vec::new(),
            targets: self.steering.targets(key.service),
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            payload,
        };
        self.send_message(agent, self.traffic_of(key), &message)
            .await;
    }

    async fn send_message(&mut self, agent: SocketAddrV4, traffic: Traffic, message: &Message) {
        match wire::encode(message) {
            Ok(datagram) => {
                if let Some((to, _)) = self.egress_queue.push(traffic, agent, datagram) {
                    self.metrics
                        .dropped_datagrams
                        .with_label_values(&["link_full"])
                        .inc();
                    log::warn!(event = "link_full", agent:% = to; "egress queue is full; dropping a datagram to an agent");
                }
                self.flush().await;
            }
            Err(e) => {
                log::error!(event = "unencodable_message", error:% = e; "cannot encode a message to an agent");
            }
        }
    }

    /// Sends the queued datagrams that the link can transmit now.
    async fn flush(&mut self) {
        while let Some((to, datagram)) = self.egress_queue.pop(Instant::now()) {
            // The network may lose the datagram too, so a failed send is ignored.
            let _ = self.peer_socket.send_to(&datagram, to).await;
        }
    }

    async fn send_released(&mut self, released: Vec<ReleasedDatagram>) {
        for release in released {
            let ReleasedDatagram {
                agent,
                origin,
                service,
                payload,
            } = release;
            let Some(seg) = self.codec.parse(&payload) else {
                continue;
            };
            let key = seg.key_from_caller();
            self.send_to_agent(agent, origin, &service, key, payload)
                .await;
        }
    }

    async fn handle_agent_message(&mut self, datagram: &[u8], from: SocketAddrV4) {
        let now = Instant::now();
        let message = match wire::decode(datagram) {
            Ok(message) => message,
            Err(e) => {
                log::debug!(event = "bad_message", from:% = from, error:% = e; "dropping a datagram that is not a valid message of an agent");
                self.metrics
                    .dropped_datagrams
                    .with_label_values(&["malformed"])
                    .inc();
                return;
            }
        };
        match message {
            Message::Report(report) => self.handle_report(from, &report, now),
            Message::Performance(performance) => self.handle_performance(from, performance),
            Message::NotHeld { payload } => {
                let Some(seg) = self.codec.parse(&payload) else {
                    return;
                };
                let key = seg.key_from_caller();
                log::info!(event = "not_held", flow:% = key, agent:% = from; "agent does not hold the flow");
                let steer = self
                    .steering
                    .handle_not_held(key, from, payload.clone(), now);
                self.apply_decision(steer, &seg, payload).await;
            }
            Message::Claim { key, claim } => {
                if claim != Claim::No {
                    log::info!(event = "claim", flow:% = key, agent:% = from, claim:? = claim; "agent replied that it holds or may hold the flow");
                }
                let released = self.steering.handle_claim(key, from, claim, now);
                self.send_released(released).await;
            }
            Message::Claims {
                service,
                holds,
                perhaps,
                no,
            } => {
                self.handle_claims(from, service, [holds, perhaps, no], now)
                    .await;
            }
            Message::FlowTaken { key, service } => {
                log::info!(event = "taken", flow:% = key, agent:% = from; "agent reports that it holds the flow");
                let released = self.steering.record_holder(key, from, &service, now);
                self.send_released(released).await;
            }
            Message::HeldFlows { service, keys } => {
                log::info!(
                    event = "told", agent:% = from, service:% = service, flows = keys.len();
                    "agent listed the flows that it holds"
                );
                let released = self
                    .steering
                    .record_reported_flows(keys, from, &service, now);
                self.send_released(released).await;
            }
            Message::KeepFlows(part) => {
                let (id, index) = (part.id, part.index);
                if self.kept_flow_lists.store(from, part, now) {
                    self.send_message(from, Traffic::Control, &Message::FlowsKept { id, index })
                        .await;
                }
            }
            Message::KeptFlowsQuery { incarnation, index } => {
                let part = self.kept_flow_lists.part(from, incarnation, index);
                self.send_message(from, Traffic::Control, &Message::KeptFlows(part))
                    .await;
            }
            Message::TrialAnswer { key, granted } => {
                let results = self.steering.handle_trial_answer(key, from, granted, now);
                self.apply_search_results(results).await;
            }
            Message::Datagram { .. }
            | Message::Opening { .. }
            | Message::ClaimQuery { .. }
            | Message::ClaimQueries { .. }
            | Message::FlowsKept { .. }
            | Message::KeptFlows(_)
            | Message::TrialRequest { .. } => {
                self.metrics
                    .dropped_datagrams
                    .with_label_values(&["not_for_balancers"])
                    .inc();
            }
        }
        // The replies of all agents may have arrived before the deadline.
        if self.steering.next_deadline().is_some_and(|at| now >= at) {
            self.handle_deadlines(now).await;
        }
    }

    fn handle_report(&mut self, from: SocketAddrV4, report: &AgentReport, now: Instant) {
        let candidate = report.clone().candidate(now);
        let pool = self.steering.pool(&report.service);
        let known = pool.get(from).map(|known| (known.id, known.accepting));
        if known.is_some_and(|(id, _)| id != candidate.id) {
            // The new process may be of an earlier version.
            self.steering.set_batching(from, false);
        }
        let pool = self.steering.pool(&report.service);
        if known != Some((candidate.id, candidate.accepting)) {
            log::info!(
                event = "agent", agent:% = from, service:% = report.service, run = report.incarnation,
                accepting = u64::from(report.accepting), slots = report.slots.0;
                "agent is new, has restarted, or has changed whether it accepts flows"
            );
        }
        pool.apply_report(from, candidate);
        self.update_readiness();
    }

    fn handle_performance(&mut self, from: SocketAddrV4, performance: Performance) {
        let Performance {
            incarnation,
            service_time,
            share,
        } = performance;
        let id = UpstreamId(incarnation);
        let mut is_known = false;
        for pool in self.steering.pools_mut() {
            is_known |= pool.apply_performance(from, id, service_time, share);
        }
        if is_known {
            self.steering.set_batching(from, true);
        }
    }

    async fn apply_search_results(&mut self, results: SearchResults) {
        self.send_search_queries(results.queries).await;
        for payload in results.lost_flows {
            self.reset_flow(&payload, "held_by_no_agent").await;
        }
        for TrialRequest { key, arbiter } in results.trial_requests {
            self.send_message(arbiter, Traffic::Control, &Message::TrialRequest { key })
                .await;
        }
        for release in &results.released {
            if let Some(seg) = self.codec.parse(&release.payload) {
                log::info!(
                    event = "tried", flow:% = seg.key_from_caller(), agent:% = release.agent;
                    "no agent claims the flow; delivering on trial to an agent whose upstream may hold it"
                );
            }
        }
        self.send_released(results.released).await;
    }

    async fn handle_deadlines(&mut self, now: Instant) {
        self.serve_link(now).await;
        for (target, queries) in self.query_batches.take_due(now) {
            self.send_batch(target, queries).await;
        }
        let ended = self.steering.end_searches(now);
        self.apply_search_results(ended).await;
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now + EXPIRY_INTERVAL;
        self.steering.expire(now);
        self.kept_flow_lists.expire(now);
        self.link_admission.expire(now);
        self.query_batches.expire(now);
        let listed_agents = &self.listed_agents;
        for pool in self.steering.pools_mut() {
            pool.retain(|address, agent| {
                listed_agents.contains(&address) || now < agent.reported_at + UNLISTED_AGENT_TIMEOUT
            });
        }
        self.metrics
            .known_flows
            .set(i64::try_from(self.steering.hint_count()).unwrap_or(i64::MAX));
        self.update_readiness();
    }
}
