//! The data path of an agent.

mod checkpoint;
mod neighbours;
mod openings;
mod peers;
mod requests;
mod restart;
mod upstream;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
use checkpoint::CheckpointState;
use directory::NodeRecord;
use flow::{
    AgentPool, CallerAction, FlowTable, FlowTableSettings, FlowTuple, OpeningQueue,
    OpeningQueueSettings, Origin, RequestQueue, Segment, UpstreamStatus,
};
use openings::OpeningRoute;
use prometheus::Registry;
use restart::RestartState;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot, watch},
    time::sleep_until,
};
use types::{DataCentre, PlacementPolicy, RequestRate, RequestTargets, ServiceLimits, ServiceName};

use super::{
    ControlUpdate, balancer_table::BalancerTable, metrics::RelayMetrics,
    report_schedule::ReportSchedule,
};
use crate::{Codec, Error, Message, Result, ServiceTag};

/// Interval between checks for due reports and expired state.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time from delivering the openings that go before overdue requests until the requests: a
/// round trip to a caller, 2 to 6 ms, and the work of the processes on it. If they were
/// delivered at once, they would take the free places of the upstream's queue before the
/// first requests of the new flows arrive.
const OVERDUE_DELAY: Duration = Duration::from_millis(8);

/// Size of the receive buffers, as large as any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Settings of an [`Agent`].
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Random incarnation of the agent's process; differs after each restart.
    pub incarnation: u64,
    /// Local address to which the upstream sends its datagrams.
    pub outbound_address: SocketAddrV4,
    /// Local address from which datagrams are sent to callers.
    pub caller_source_address: SocketAddrV4,
    /// Address at which balancers and other agents reach the agent.
    pub peer_address: SocketAddrV4,
    /// Local address that the socket for `peer_address` is bound to.
    pub peer_listen_address: SocketAddrV4,
    /// Address at which the upstream receives datagrams.
    pub upstream_address: SocketAddrV4,
    /// UDP port of all callers.
    pub caller_port: u16,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Data centre of the agent.
    pub data_centre: DataCentre,
    /// Timeouts and limits of the flow table.
    pub flow_table: FlowTableSettings,
    /// Timeouts and limits of the queue of new flows.
    pub opening_queue: OpeningQueueSettings,
}

/// What has become known of an agent's upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamChange {
    /// It runs, in this state.
    Runs(UpstreamStatus),
    /// It has announced its end. It may still hold flows for a moment.
    Ends,
    /// Nothing listens at its address, as this process has seen itself.
    Absent,
}

/// A change of an agent's upstream.
#[derive(Debug)]
pub struct UpstreamUpdate {
    /// The change.
    pub change: UpstreamChange,
    /// Notified once the agent has applied the update.
    pub applied: oneshot::Sender<()>,
}

/// The task of an agent, which owns its sockets and flow table.
pub struct Agent<C> {
    cfg: AgentSettings,
    tag: ServiceTag,
    codec: C,
    flow_table: FlowTable,
    /// The other agents of the service.
    pool: AgentPool,
    report_schedule: ReportSchedule,
    balancers: BalancerTable,
    upstream_socket: UdpSocket,
    caller_socket: UdpSocket,
    peer_socket: UdpSocket,
    updates: mpsc::Receiver<ControlUpdate>,
    upstream_updates: mpsc::Receiver<UpstreamUpdate>,
    stop: watch::Receiver<bool>,
    leaving: bool,
    /// Balancers to notify whether the upstream holds a flow, for flows of which a
    /// datagram was delivered on trial.
    tried_flow_balancers: BTreeMap<FlowTuple, SocketAddrV4>,
    /// Routes of delivered opening datagrams, for those that the upstream returns.
    opening_routes: BTreeMap<FlowTuple, OpeningRoute>,
    /// New flows that wait for a slot of the upstream.
    opening_queue: OpeningQueue<CallerDatagram>,
    /// Requests on open flows that wait for a slot of the upstream.
    request_queue: RequestQueue<CallerDatagram>,
    restart: RestartState,
    /// `None` if the agent keeps no checkpoint.
    checkpoint: Option<CheckpointState>,
    next_expiry_at: Instant,
    metrics: RelayMetrics,
}

/// A datagram of a caller with its route to this agent.
struct CallerDatagram {
    origin: Origin,
    via: SocketAddrV4,
    declined_by: Vec<SocketAddrV4>,
    /// Targets of the requests on a new flow.
    targets: RequestTargets,
    /// When the first agent received it.
    arrived_at: Instant,
    payload: Bytes,
}

impl<C: Codec> Agent<C> {
    /// Creates the task and binds its sockets.
    ///
    /// # Errors
    ///
    /// A socket cannot be bound, or the registry already has one of the metrics.
    pub fn new(
        cfg: AgentSettings,
        codec: C,
        updates: mpsc::Receiver<ControlUpdate>,
        upstream_updates: mpsc::Receiver<UpstreamUpdate>,
        stop: watch::Receiver<bool>,
        registry: &Registry,
    ) -> Result<Self> {
        let bind = |address: SocketAddrV4| {
            let address = SocketAddr::V4(address);
            net::bind_udp(address).map_err(|e| Error::Bind(address, e))
        };
        let now = Instant::now();
        Ok(Agent {
            tag: ServiceTag::of(&cfg.service),
            codec,
            flow_table: FlowTable::new(cfg.flow_table, now),
            opening_queue: OpeningQueue::new(cfg.opening_queue),
            request_queue: RequestQueue::default(),
            pool: AgentPool::default(),
            report_schedule: ReportSchedule::new(now),
            balancers: BalancerTable::default(),
            upstream_socket: bind(cfg.outbound_address)?,
            caller_socket: bind(cfg.caller_source_address)?,
            peer_socket: bind(cfg.peer_listen_address)?,
            cfg,
            updates,
            upstream_updates,
            stop,
            leaving: false,
            tried_flow_balancers: BTreeMap::new(),
            opening_routes: BTreeMap::new(),
            restart: RestartState::new(now),
            checkpoint: None,
            next_expiry_at: now,
            metrics: RelayMetrics::new(registry)?,
        })
    }

    /// Keeps a checkpoint of the open flows at control hosts, through the task that
    /// receives `records`.
    #[must_use]
    pub fn with_checkpoint(mut self, records: mpsc::Sender<NodeRecord>) -> Self {
        self.checkpoint = Some(CheckpointState::new(records, Instant::now()));
        self
    }

    /// Runs until the sender of `updates` is dropped.
    pub async fn run(mut self) {
        let mut from_upstream = vec![0; MAX_DATAGRAM_BYTES];
        let mut from_peers = vec![0; MAX_DATAGRAM_BYTES];
        let mut tick_at = Instant::now();
        let mut overdue_at = None;
        loop {
            let cold_admission_at = self.next_cold_admission_at(Instant::now());
            tokio::select! {
                received = self.upstream_socket.recv_from(&mut from_upstream) => {
                    if let Ok((len, _)) = received {
                        self.handle_upstream_datagram(&mut from_upstream[..len]).await;
                    }
                }
                received = self.peer_socket.recv_from(&mut from_peers) => {
                    if let Ok((len, SocketAddr::V4(from))) = received {
                        self.handle_peer_datagram(&from_peers[..len], from).await;
                    }
                }
                update = self.updates.recv() => match update {
                    Some(ControlUpdate::Nodes(changes)) => self.apply_node_changes(changes).await,
                    Some(ControlUpdate::Policy(policy)) => self.apply_policy(policy).await,
                    Some(ControlUpdate::NodeListComplete(_)) => self.restart.set_directory_complete(),
                    Some(ControlUpdate::Record(record)) => {
                        self.restore_checkpoint(&record, Instant::now()).await;
                    }
                    Some(ControlUpdate::RecordsFetched) => {
                        if let Some(checkpoint) = &mut self.checkpoint {
                            checkpoint.set_fetched();
                        }
                    }
                    Some(ControlUpdate::Routes(_)) => {}
                    None => return,
                },
                Some(update) = self.upstream_updates.recv() => self.apply_upstream_update(update).await,
                _ = self.stop.changed(), if !self.leaving => {
                    self.leaving = true;
                    let now = Instant::now();
                    self.send_due_reports(now).await;
                    self.start_handover(now).await;
                }
                () = sleep_until(cold_admission_at.unwrap_or(tick_at).into()), if cold_admission_at.is_some() => {
                    self.serve_waiting_openings(Instant::now()).await;
                }
                () = sleep_until(overdue_at.unwrap_or(tick_at).into()), if overdue_at.is_some() => {
                    overdue_at = None;
                    self.deliver_overdue_requests(Instant::now()).await;
                }
                () = sleep_until(tick_at.into()) => {
                    let now = Instant::now();
                    tick_at = now + TICK_INTERVAL;
                    if self.open_before_overdue(now).await {
                        overdue_at = Some(now + OVERDUE_DELAY);
                    } else {
                        self.deliver_overdue_requests(now).await;
                    }
                    self.serve_waiting_openings(now).await;
                    self.send_due_reports(now).await;
                    self.advance_restart(now).await;
                    self.send_checkpoint(now);
                    self.expire_state(now);
                }
            }
        }
    }

    async fn apply_policy(&mut self, policy: PlacementPolicy) {
        let now = Instant::now();
        let evacuated = policy.evacuated.contains(&self.cfg.data_centre);
        log::info!(
            event = "policy_applied", revision:% = policy.revision,
            evacuated = u64::from(evacuated),
            cold_rate = policy.limits.cold_rate.map_or(0.0, RequestRate::per_second),
            waiting = self.opening_queue.len();
            "applying a newer placement policy"
        );
        self.pool.set_evacuated(&policy.evacuated);
        self.flow_table.set_evacuated(evacuated);
        self.set_limits(policy.limits, now).await;
    }

    /// Applies the limits of the service, and whatever else of a policy was set before.
    async fn set_limits(&mut self, limits: ServiceLimits, now: Instant) {
        self.flow_table.set_limits(limits);
        // The waiting openings go first, so that the reports tell what is left.
        self.serve_waiting_openings(now).await;
        self.send_due_reports(now).await;
    }

    fn accepts_flows(&self, now: Instant) -> bool {
        !self.leaving && self.flow_table.accepts_new_flows(now)
    }

    async fn handle_caller_datagram(&mut self, arrival: CallerDatagram, now: Instant) {
        self.metrics.received_datagrams.inc();
        let Some(seg) = self.codec.parse(&arrival.payload) else {
            self.metrics
                .dropped_datagrams
                .with_label_values(&["malformed"])
                .inc();
            return;
        };
        let key = seg.key_from_caller();
        if seg.is_opening() {
            // This copy takes the place of one that waits.
            self.opening_queue.remove(&key);
            self.request_queue.set_targets(key.service, arrival.targets);
        } else if let Some(request) = self.request_queue.take_before(&seg) {
            self.deliver_request(request, now).await;
        }
        let may_wait = self.cfg.opening_queue.fair_queueing;
        if may_wait && self.flow_table.exceeds_admissions(&seg, now) {
            return self.queue_request(&seg, arrival, now);
        }
        // This copy takes the place of one that waits.
        self.request_queue.remove_copy(&seg);
        self.handle_parsed_datagram(&seg, arrival, now).await;
    }

    async fn handle_parsed_datagram(
        &mut self,
        seg: &Segment,
        arrival: CallerDatagram,
        now: Instant,
    ) {
        let key = seg.key_from_caller();
        let refuses_opening = self.leaving && seg.is_opening();
        let verdict = if refuses_opening {
            CallerAction::PassOn
        } else {
            self.flow_table.caller_datagram(seg, arrival.origin, now)
        };
        self.flow_table.set_via(&key, arrival.via);
        if matches!(verdict, CallerAction::PassOn | CallerAction::Wait) {
            self.record_cold_hold(seg, now);
        }
        match verdict {
            CallerAction::Deliver => self.deliver(seg, arrival, now).await,
            CallerAction::PassOn => self.forward_opening(seg, arrival, now).await,
            CallerAction::Wait => self.queue_opening(seg, arrival, now).await,
            CallerAction::NotHeld => {
                log::info!(event = "not_held", flow:% = key, origin:? = arrival.origin; "agent does not hold the flow; returning the datagram to the balancer");
                self.send_not_held(arrival.via, arrival.payload).await;
            }
            CallerAction::Reset => self.reset_flow(seg, "upstream_restarted").await,
            CallerAction::Drop => {
                self.metrics
                    .dropped_datagrams
                    .with_label_values(&["unconfirmed"])
                    .inc();
            }
        }
    }

    async fn deliver(&mut self, seg: &Segment, arrival: CallerDatagram, now: Instant) {
        let key = seg.key_from_caller();
        if seg.is_opening() {
            let load = self.flow_table.load(now);
            log::info!(
                event = "opened", flow:% = key, copy = seg.ack, origin:? = arrival.origin,
                queued_ms = millis(now.saturating_duration_since(arrival.arrived_at)),
                busy = load.busy_requests, flows = load.open_flows; "delivering the opening datagram of a new flow to the upstream"
            );
            self.metrics
                .flow_events
                .with_label_values(&["opened"])
                .inc();
            if arrival.origin == Origin::Passed {
                self.send_flow_taken(key, arrival.via).await;
            }
            let opening = OpeningRoute {
                via: arrival.via,
                declined_by: arrival.declined_by,
                targets: arrival.targets,
                delivered_at: now,
            };
            self.opening_routes.insert(key, opening);
        } else if matches!(arrival.origin, Origin::Held | Origin::Tried)
            && self.flow_table.is_tried(&key)
        {
            self.tried_flow_balancers.insert(key, arrival.via);
        }
        self.metrics
            .sent_datagrams
            .with_label_values(&["upstream"])
            .inc();
        // The network may lose the datagram too, so a failed send is ignored.
        let _ = self
            .upstream_socket
            .send_to(&arrival.payload, self.cfg.upstream_address)
            .await;
    }

    async fn reset_flow(&mut self, seg: &Segment, cause: &str) {
        self.metrics.flow_events.with_label_values(&["reset"]).inc();
        log::info!(event = "reset", flow:% = seg.key_from_caller(), cause = cause; "resetting the flow");
        let to = SocketAddrV4::new(*seg.source.ip(), self.cfg.caller_port);
        // The network may lose the datagram too, so a failed send is ignored.
        let _ = self.caller_socket.send_to(&self.codec.reset(seg), to).await;
    }

    async fn send_not_held(&self, via: SocketAddrV4, payload: Bytes) {
        self.metrics
            .flow_events
            .with_label_values(&["not_held"])
            .inc();
        self.send_message(via, &Message::NotHeld { payload }).await;
    }

    async fn send_message(&self, to: SocketAddrV4, message: &Message) {
        match wire::encode(message) {
            // The network may lose the datagram too, so a failed send is ignored.
            Ok(datagram) => drop(self.peer_socket.send_to(&datagram, to).await),
            Err(e) => {
                log::error!(event = "unencodable_message", error:% = e; "cannot encode a message to a node");
            }
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
