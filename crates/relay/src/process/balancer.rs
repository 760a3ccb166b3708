//! The data path of a balancer.

use std::{
    collections::BTreeSet,
    net::{SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
use directory::{Node, NodeRole, ViewChanges};
use flow::{
    AgentStatus, Claim, DropReason, Load, Origin, ReleasedDatagram, Segment, Steering,
    SteeringDecision, SteeringSettings,
};
use prometheus::Registry;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::sleep_until,
};
use types::{BytesPerSecond, DataCentre, ServiceName, Slots, UpstreamId};

use super::{ControlUpdate, Egress, metrics::Metrics};
use crate::{AgentReport, Codec, Error, Message, Result, ServiceTag};

/// Pause between two rounds of forgetting what is over.
const EXPIRE: Duration = Duration::from_millis(250);

/// Largest datagram in bytes.
const DATAGRAM: usize = 64 * 1024;

/// An agent that is not listed and did not report for this long is forgotten.
const FORGET: Duration = Duration::from_secs(5);

/// Part of the link, in percent, that questions of searches may take.
const QUESTIONS_PERCENT: u64 = 10;

/// Bytes of a question with the headers below it.
const QUESTION: u64 = 72;

/// Questions that a link can take in a second.
fn questions(link: BytesPerSecond) -> u32 {
    u32::try_from(link.0 * QUESTIONS_PERCENT / 100 / QUESTION).unwrap_or(u32::MAX)
}

/// Settings of a [`Balancer`].
#[derive(Debug, Clone)]
pub struct BalancerSettings {
    /// Where callers' datagrams arrive.
    pub ingress_address: SocketAddrV4,
    /// Where agents reach the balancer.
    pub peer_address: SocketAddrV4,
    /// Local address for it.
    pub peer_listen_address: SocketAddrV4,
    /// Port of callers.
    pub caller_port: u16,
    /// Where the balancer is.
    pub data_centre: DataCentre,
    /// Rate of the host's link; `None` if it needs no care.
    pub link_rate: Option<BytesPerSecond>,
    /// Times and bounds of its decisions.
    pub steering: SteeringSettings,
}

/// The task of a balancer: it owns the sockets and the decisions.
pub struct Balancer<C> {
    cfg: BalancerSettings,
    codec: C,
    steering: Steering,
    ingress: UdpSocket,
    peers: UdpSocket,
    egress: Egress,
    updates: mpsc::Receiver<ControlUpdate>,
    /// Whether new flows can be placed.
    ready: watch::Sender<bool>,
    /// Agents that the directory lists.
    listed: BTreeSet<SocketAddrV4>,
    expire_at: Instant,
    metrics: Metrics,
}

impl<C: Codec> Balancer<C> {
    /// Opens the sockets. `ready` tells whether new flows can be placed.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened.
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
            max_queries_per_second: cfg
                .link_rate
                .map_or(cfg.steering.max_queries_per_second, |link| {
                    questions(link).min(cfg.steering.max_queries_per_second)
                }),
            ..cfg.steering
        };
        Ok(Balancer {
            ingress: bind(cfg.ingress_address)?,
            peers: bind(cfg.peer_listen_address)?,
            egress: Egress::new(cfg.link_rate, Instant::now()),
            steering: Steering::new(steering, cfg.data_centre.clone()),
            cfg,
            codec,
            updates,
            ready,
            listed: BTreeSet::new(),
            expire_at: Instant::now(),
            metrics: Metrics::new(registry)?,
        })
    }

    /// Runs until the sender of updates is gone.
    pub async fn run(mut self) {
        let mut from_callers = vec![0; DATAGRAM];
        let mut from_agents = vec![0; DATAGRAM];
        loop {
            let search_ends = self.steering.next_deadline().unwrap_or(self.expire_at);
            let deadline = self.expire_at.min(search_ends);
            let link_free = self.egress.next_deadline();
            tokio::select! {
                received = self.ingress.recv_from(&mut from_callers) => {
                    if let Ok((len, _)) = received {
                        self.on_caller(&from_callers[..len]).await;
                    }
                }
                received = self.peers.recv_from(&mut from_agents) => {
                    if let Ok((len, SocketAddr::V4(from))) = received {
                        self.on_agent(&from_agents[..len], from).await;
                    }
                }
                update = self.updates.recv() => match update {
                    Some(update) => self.update(update),
                    None => return,
                },
                () = sleep_until(link_free.unwrap_or(deadline).into()), if link_free.is_some() => {
                    self.flush().await;
                }
                () = sleep_until(deadline.into()) => self.deadline_reached(Instant::now()).await,
            }
        }
    }

    async fn on_caller(&mut self, datagram: &[u8]) {
        self.metrics.received.inc();
        let Some(seg) = self.codec.parse(datagram) else {
            self.metrics.dropped.with_label_values(&["malformed"]).inc();
            return;
        };
        let payload = Bytes::copy_from_slice(datagram);
        let steer = self.steering.steer(&seg, &payload, Instant::now());
        self.carry_out(steer, &seg, payload).await;
    }

    async fn carry_out(&mut self, steer: SteeringDecision, seg: &Segment, payload: Bytes) {
        let key = seg.key_from_caller();
        match steer {
            SteeringDecision::Forward {
                agent,
                origin,
                service,
            } => {
                if seg.is_opening() {
                    self.metrics.flows.with_label_values(&["placed"]).inc();
                    log::info!(
                        event = "placed", flow:% = key, copy = seg.ack, agent:% = agent,
                        service:% = service, set = self.set_number(); "new flow placed"
                    );
                }
                self.send(agent, origin, &service, payload).await;
            }
            SteeringDecision::Query(agents) => {
                self.metrics.flows.with_label_values(&["searched"]).inc();
                log::info!(
                    event = "searching", flow:% = key, agents = agents.len();
                    "holder of a flow is not known; asking the agents"
                );
                self.ask(&payload, agents).await;
            }
            SteeringDecision::Queued => {}
            SteeringDecision::Reset => self.break_off(&payload, "no_rule").await,
            SteeringDecision::Drop(cause) => self.drop_datagram(seg, cause),
        }
    }

    /// Breaks off the flow of a caller's datagram.
    async fn break_off(&self, payload: &Bytes, cause: &str) {
        let Some(seg) = self.codec.parse(payload) else {
            return;
        };
        self.metrics.flows.with_label_values(&["reset"]).inc();
        log::info!(
            event = "reset", flow:% = seg.key_from_caller(), cause = cause,
            set = self.set_number(); "flow broken off"
        );
        let to = SocketAddrV4::new(*seg.source.ip(), self.cfg.caller_port);
        // A datagram may be lost anyway.
        let _ = self.ingress.send_to(&self.codec.reset(&seg), to).await;
    }

    async fn ask(&mut self, payload: &Bytes, agents: Vec<(SocketAddrV4, ServiceName)>) {
        let head = Bytes::copy_from_slice(self.codec.header(payload));
        for (agent, service) in agents {
            let tag = ServiceTag::of(&service);
            let head = head.clone();
            self.tell(agent, &Message::Ask { tag, head }).await;
        }
    }

    fn set_number(&self) -> u64 {
        self.steering.routes().map_or(0, |routes| routes.number.0)
    }

    fn drop_datagram(&self, seg: &Segment, cause: DropReason) {
        self.metrics
            .dropped
            .with_label_values(&[cause.as_str()])
            .inc();
        log::info!(
            event = "dropped", flow:% = seg.key_from_caller(), cause = cause.as_str(),
            opening = u64::from(seg.is_opening()), set = self.set_number(); "datagram dropped"
        );
    }

    async fn send(
        &mut self,
        agent: SocketAddrV4,
        origin: Origin,
        service: &ServiceName,
        payload: Bytes,
    ) {
        self.metrics.sent.with_label_values(&["agent"]).inc();
        let message = Message::Datagram {
            tag: ServiceTag::of(service),
            origin,
            via: self.cfg.peer_address,
            declined: Vec::new(),
            payload,
        };
        self.tell(agent, &message).await;
    }

    async fn tell(&mut self, agent: SocketAddrV4, message: &Message) {
        match wire::encode(message) {
            Ok(datagram) => {
                if !self.egress.push(agent, datagram) {
                    self.metrics.dropped.with_label_values(&["link_full"]).inc();
                    log::warn!(event = "link_full", agent:% = agent; "link cannot take a datagram in time");
                }
                self.flush().await;
            }
            Err(e) => log::error!(event = "unencodable_message", error:% = e; "cannot encode"),
        }
    }

    /// Sends what the link can take.
    async fn flush(&mut self) {
        while let Some((to, datagram)) = self.egress.pop(Instant::now()) {
            // A datagram may be lost anyway.
            let _ = self.peers.send_to(&datagram, to).await;
        }
    }

    async fn release(&mut self, released: Vec<ReleasedDatagram>) {
        for release in released {
            let ReleasedDatagram {
                agent,
                origin,
                service,
                payload,
            } = release;
            self.send(agent, origin, &service, payload).await;
        }
    }

    async fn on_agent(&mut self, datagram: &[u8], from: SocketAddrV4) {
        let now = Instant::now();
        let message = match wire::decode(datagram) {
            Ok(message) => message,
            Err(e) => {
                log::debug!(event = "bad_message", from:% = from, error:% = e; "no message of an agent");
                self.metrics.dropped.with_label_values(&["malformed"]).inc();
                return;
            }
        };
        match message {
            Message::Report(report) => self.report(from, &report, now),
            Message::NotHeld { payload } => {
                let Some(seg) = self.codec.parse(&payload) else {
                    return;
                };
                let key = seg.key_from_caller();
                log::info!(event = "not_held", flow:% = key, agent:% = from; "agent does not hold the flow");
                let steer = self
                    .steering
                    .handle_not_held(key, from, payload.clone(), now);
                self.carry_out(steer, &seg, payload).await;
            }
            Message::Claim { key, claim } => {
                if claim != Claim::No {
                    log::info!(event = "claim", flow:% = key, agent:% = from, claim:? = claim; "agent answered");
                }
                let released = self.steering.handle_claim(key, from, claim, now);
                self.release(released).await;
            }
            Message::Taken { key, service } => {
                log::info!(event = "taken", flow:% = key, agent:% = from; "another agent took the flow");
                let released = self.steering.record_holder(key, from, &service, now);
                self.release(released).await;
            }
            Message::Holds { service, keys } => {
                log::info!(
                    event = "told", agent:% = from, service:% = service, flows = keys.len();
                    "agent tells which flows it holds"
                );
                let released = self
                    .steering
                    .record_reported_flows(keys, from, &service, now);
                self.release(released).await;
            }
            Message::Datagram { .. } | Message::Ask { .. } => {
                self.metrics
                    .dropped
                    .with_label_values(&["not_for_balancers"])
                    .inc();
            }
        }
        // Answers of all agents may have come before the deadline.
        if self.steering.next_deadline().is_some_and(|at| now >= at) {
            self.deadline_reached(now).await;
        }
    }

    fn report(&mut self, from: SocketAddrV4, report: &AgentReport, now: Instant) {
        let candidate = report.clone().candidate(now);
        let pool = self.steering.pool(&report.service);
        let known = pool.get(from).map(|known| (known.id, known.accepting));
        if known != Some((candidate.id, candidate.accepting)) {
            log::info!(
                event = "agent", agent:% = from, service:% = report.service, run = report.run,
                accepting = u64::from(report.accepting), slots = report.slots.0;
                "an agent is new or has changed"
            );
        }
        pool.insert(from, candidate);
        self.note_ready();
    }

    fn update(&mut self, update: ControlUpdate) {
        match update {
            ControlUpdate::Nodes(changes) => self.nodes_changed(changes, Instant::now()),
            ControlUpdate::NodeListComplete(until) => {
                self.steering.set_directory_complete_until(until);
            }
            ControlUpdate::Routes(delta) => {
                let (number, changed) = (delta.number, delta.changed.len());
                let advanced = self.steering.routes_mut().advance(delta);
                log::info!(
                    event = "routes", set = number.0, changed = changed,
                    applied = u64::from(advanced); "newer routing set"
                );
            }
        }
        self.note_ready();
    }

    fn nodes_changed(&mut self, changes: ViewChanges, now: Instant) {
        for node in changes.changed {
            if let NodeRole::Agent(service) = node.role.clone() {
                self.agent_listed(&node, &service, now);
            }
        }
        for node in changes.removed {
            if let NodeRole::Agent(_) = node.role {
                self.listed.remove(&node.address);
            }
        }
    }

    fn agent_listed(&mut self, node: &Node, service: &ServiceName, now: Instant) {
        self.listed.insert(node.address);
        let pool = self.steering.pool(service);
        match pool.get_mut(node.address) {
            Some(known) if known.id == UpstreamId(node.incarnation) => {
                known.accepting &= !node.leaving;
            }
            _ => pool.insert(
                node.address,
                AgentStatus {
                    id: UpstreamId(node.incarnation),
                    data_centre: node.data_centre.clone(),
                    slots: Slots(1),
                    // It takes flows once it has reported.
                    accepting: false,
                    load: Load::default(),
                    reported_at: now,
                    placed_since_report: 0,
                },
            ),
        }
    }

    fn note_ready(&mut self) {
        let ready = self.steering.can_place(Instant::now());
        self.ready.send_if_modified(|known| {
            let changed = *known != ready;
            if changed {
                log::info!(event = "ready", ready = u64::from(ready); "readiness changed");
            }
            *known = ready;
            changed
        });
    }

    async fn deadline_reached(&mut self, now: Instant) {
        let ended = self.steering.end_searches(now);
        for question in ended.queries {
            self.metrics
                .flows
                .with_label_values(&["searched_wider"])
                .inc();
            self.ask(&question.payload, question.agents).await;
        }
        for payload in ended.lost_flows {
            self.break_off(&payload, "held_by_no_agent").await;
        }
        let released = ended.released;
        for release in &released {
            if let Some(seg) = self.codec.parse(&release.payload) {
                log::info!(
                    event = "tried", flow:% = seg.key_from_caller(), agent:% = release.agent;
                    "no agent claims the flow; trying one that has restarted"
                );
            }
        }
        self.release(released).await;
        if now < self.expire_at {
            return;
        }
        self.expire_at = now + EXPIRE;
        self.steering.expire(now);
        let listed = &self.listed;
        for pool in self.steering.pools_mut() {
            pool.retain(|address, agent| {
                listed.contains(&address) || now < agent.reported_at + FORGET
            });
        }
        self.metrics
            .known
            .set(i64::try_from(self.steering.hint_count()).unwrap_or(i64::MAX));
        self.note_ready();
    }
}
