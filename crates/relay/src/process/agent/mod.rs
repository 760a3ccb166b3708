//! The data path of an agent.

mod neighbours;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
use flow::{
    AgentPool, CallerAction, FlowTable, FlowTableSettings, FlowTuple, Origin, Segment,
    UpstreamAction, UpstreamStatus,
};
use prometheus::Registry;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot, watch},
    time::sleep_until,
};
use types::{DataCentre, ServiceName};

use super::{ControlUpdate, audience::Audience, balancer_table::BalancerTable, metrics::Metrics};
use crate::{Codec, Error, Message, Result, ServiceTag};

/// Pause between two looks at what is to be reported and forgotten.
const TICK: Duration = Duration::from_millis(50);

/// Agents that are asked in turn to take a new flow.
const MAX_DECLINED: usize = 3;

/// Largest datagram in bytes.
const DATAGRAM: usize = 64 * 1024;

/// Settings of an [`Agent`].
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Differs for each run of the agent.
    pub run: u64,
    /// Where the upstream sends its datagrams.
    pub outbound_address: SocketAddrV4,
    /// Where datagrams are sent to callers from.
    pub caller_source_address: SocketAddrV4,
    /// Where balancers and other agents reach the agent.
    pub peer_address: SocketAddrV4,
    /// Local address for it.
    pub peer_listen_address: SocketAddrV4,
    /// Where the upstream takes datagrams.
    pub upstream_address: SocketAddrV4,
    /// Port of callers.
    pub caller_port: u16,
    /// The upstream's service.
    pub service: ServiceName,
    /// Where the agent is.
    pub data_centre: DataCentre,
    /// Times and bounds of its decisions.
    pub holder: FlowTableSettings,
}

/// What an agent is told of its upstream.
#[derive(Debug)]
pub struct UpstreamUpdate {
    /// The upstream; `None` once it has gone.
    pub upstream: Option<UpstreamStatus>,
    /// Told once it is in force.
    pub applied: oneshot::Sender<()>,
}

/// The task of an agent: it owns the sockets and the decisions.
pub struct Agent<C> {
    cfg: AgentSettings,
    tag: ServiceTag,
    codec: C,
    holder: FlowTable,
    /// The other agents of the service.
    pool: AgentPool,
    audience: Audience,
    balancers: BalancerTable,
    outbound: UdpSocket,
    callers: UdpSocket,
    peers: UdpSocket,
    updates: mpsc::Receiver<ControlUpdate>,
    upstream_updates: mpsc::Receiver<UpstreamUpdate>,
    stop: watch::Receiver<bool>,
    leaving: bool,
    /// Balancers that wait to hear whether a flow that was tried is held.
    tried_by: BTreeMap<FlowTuple, SocketAddrV4>,
    /// How the opening datagrams that the upstream may return came here.
    openings: BTreeMap<FlowTuple, Opening>,
    expire_at: Instant,
    metrics: Metrics,
}

#[derive(Debug)]
struct Opening {
    via: SocketAddrV4,
    declined: Vec<SocketAddrV4>,
    at: Instant,
}

/// A datagram of a caller on its way through this agent.
struct Arrival {
    origin: Origin,
    via: SocketAddrV4,
    declined: Vec<SocketAddrV4>,
    payload: Bytes,
}

impl<C: Codec> Agent<C> {
    /// Opens the sockets.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened.
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
            holder: FlowTable::new(cfg.holder, now),
            pool: AgentPool::default(),
            audience: Audience::new(now),
            balancers: BalancerTable::default(),
            outbound: bind(cfg.outbound_address)?,
            callers: bind(cfg.caller_source_address)?,
            peers: bind(cfg.peer_listen_address)?,
            cfg,
            updates,
            upstream_updates,
            stop,
            leaving: false,
            tried_by: BTreeMap::new(),
            openings: BTreeMap::new(),
            expire_at: now,
            metrics: Metrics::new(registry)?,
        })
    }

    /// Runs until the sender of updates is gone.
    pub async fn run(mut self) {
        let mut from_upstream = vec![0; DATAGRAM];
        let mut from_peers = vec![0; DATAGRAM];
        let mut tick_at = Instant::now();
        loop {
            tokio::select! {
                received = self.outbound.recv_from(&mut from_upstream) => {
                    if let Ok((len, _)) = received {
                        self.on_upstream(&mut from_upstream[..len]).await;
                    }
                }
                received = self.peers.recv_from(&mut from_peers) => {
                    if let Ok((len, SocketAddr::V4(from))) = received {
                        self.on_peer(&from_peers[..len], from).await;
                    }
                }
                update = self.updates.recv() => match update {
                    Some(ControlUpdate::Nodes(changes)) => self.nodes_changed(changes).await,
                    Some(ControlUpdate::Routes(_) | ControlUpdate::NodeListComplete(_)) => {}
                    None => return,
                },
                Some(update) = self.upstream_updates.recv() => self.apply_upstream_update(update).await,
                _ = self.stop.changed(), if !self.leaving => {
                    self.leaving = true;
                    self.report(Instant::now()).await;
                }
                () = sleep_until(tick_at.into()) => {
                    let now = Instant::now();
                    tick_at = now + TICK;
                    self.report(now).await;
                    self.expire(now);
                }
            }
        }
    }

    async fn apply_upstream_update(&mut self, update: UpstreamUpdate) {
        let now = Instant::now();
        let before = self.holder.upstream().copied();
        self.holder.set_upstream(update.upstream, now);
        let state =
            |upstream: Option<UpstreamStatus>| upstream.map(|u| (u.incarnation, u.accepting));
        if state(before) != state(update.upstream) {
            log::info!(
                event = "upstream",
                incarnation = update.upstream.and_then(|u| u.incarnation).unwrap_or(0),
                accepting = u64::from(update.upstream.is_some_and(|u| u.accepting)),
                slots = update.upstream.map_or(0, |u| u.slots.0);
                "state of the upstream changed"
            );
            self.report(now).await;
        }
        // Whoever announced it may be gone.
        let _ = update.applied.send(());
    }

    fn accepts(&self, now: Instant) -> bool {
        !self.leaving && self.holder.accepts_new_flows(now)
    }

    async fn on_peer(&mut self, datagram: &[u8], from: SocketAddrV4) {
        let now = Instant::now();
        let message = match wire::decode(datagram) {
            Ok(message) => message,
            Err(e) => {
                log::debug!(event = "bad_message", from:% = from, error:% = e; "no message of a node");
                self.metrics.dropped.with_label_values(&["malformed"]).inc();
                return;
            }
        };
        match message {
            Message::Datagram {
                tag,
                origin,
                via,
                declined,
                payload,
            } => {
                let arrival = Arrival {
                    origin,
                    via,
                    declined,
                    payload,
                };
                if tag == self.tag {
                    self.on_caller(arrival, now).await;
                } else {
                    // The address was another agent's before.
                    self.metrics
                        .dropped
                        .with_label_values(&["other_service"])
                        .inc();
                    self.not_held(arrival.via, arrival.payload).await;
                }
            }
            Message::Ask { tag, head } => self.asked(tag, &head, from, now).await,
            Message::Report(report) if report.service == self.cfg.service => {
                self.pool.insert(from, report.candidate(now));
            }
            Message::Report(_)
            | Message::NotHeld { .. }
            | Message::Claim { .. }
            | Message::Taken { .. }
            | Message::Holds { .. } => {
                self.metrics
                    .dropped
                    .with_label_values(&["not_for_agents"])
                    .inc();
            }
        }
    }

    async fn asked(&mut self, tag: ServiceTag, head: &[u8], from: SocketAddrV4, now: Instant) {
        let Some(seg) = self.codec.parse(head) else {
            return;
        };
        let key = seg.key_from_caller();
        let claim = if tag == self.tag {
            self.holder.claim(&key, &seg, now)
        } else {
            flow::Claim::No
        };
        self.tell(from, &Message::Claim { key, claim }).await;
    }

    async fn on_caller(&mut self, arrival: Arrival, now: Instant) {
        self.metrics.received.inc();
        let Some(seg) = self.codec.parse(&arrival.payload) else {
            self.metrics.dropped.with_label_values(&["malformed"]).inc();
            return;
        };
        let key = seg.key_from_caller();
        let leaves = self.leaving && seg.is_opening();
        let verdict = if leaves {
            CallerAction::PassOn
        } else {
            self.holder.caller_datagram(&seg, arrival.origin, now)
        };
        self.holder.set_via(&key, arrival.via);
        match verdict {
            CallerAction::Deliver => self.deliver(&seg, arrival, now).await,
            CallerAction::PassOn => self.pass_on(&seg, arrival, now).await,
            CallerAction::NotHeld => {
                log::info!(event = "not_held", flow:% = key, origin:? = arrival.origin; "flow is not held here");
                self.not_held(arrival.via, arrival.payload).await;
            }
            CallerAction::Reset => self.reset(&seg, "upstream_restarted").await,
        }
    }

    async fn deliver(&mut self, seg: &Segment, arrival: Arrival, now: Instant) {
        let key = seg.key_from_caller();
        if seg.is_opening() {
            let load = self.holder.load(now);
            log::info!(
                event = "opened", flow:% = key, copy = seg.ack, origin:? = arrival.origin,
                busy = load.busy_requests, flows = load.open_flows; "new flow given to the upstream"
            );
            self.metrics.flows.with_label_values(&["opened"]).inc();
            if arrival.origin == Origin::Passed {
                let service = self.cfg.service.clone();
                self.tell(arrival.via, &Message::Taken { key, service })
                    .await;
            }
            let opening = Opening {
                via: arrival.via,
                declined: arrival.declined,
                at: now,
            };
            self.openings.insert(key, opening);
        } else if matches!(arrival.origin, Origin::Held | Origin::Tried)
            && self.holder.is_tried(&key)
        {
            self.tried_by.insert(key, arrival.via);
        }
        self.metrics.sent.with_label_values(&["upstream"]).inc();
        // A datagram may be lost anyway.
        let _ = self
            .outbound
            .send_to(&arrival.payload, self.cfg.upstream_address)
            .await;
    }

    /// Gives an opening datagram to another agent, or decides what becomes of
    /// it if there is none.
    async fn pass_on(&mut self, seg: &Segment, arrival: Arrival, now: Instant) {
        let key = seg.key_from_caller();
        let mut declined = arrival.declined.clone();
        declined.push(self.cfg.peer_address);
        let full = self.accepts(now);
        let willing =
            declined.len() <= MAX_DECLINED && (!full || self.pool.has_free_slot(&declined, now));
        let peer = if willing {
            self.pool
                .place(&self.cfg.data_centre, key.stable_hash(), &declined, now)
        } else {
            None
        };
        if let Some(peer) = peer {
            log::info!(
                event = "passed_on", flow:% = key, copy = seg.ack, to:% = peer, full = u64::from(full);
                "new flow passed on to another agent"
            );
            return self.hand_on(peer, arrival, declined).await;
        }
        if full {
            // Nobody has a free slot: the upstream's own queue is as good as another's.
            self.holder.accept_opening(seg, now);
            return self.deliver(seg, arrival, now).await;
        }
        self.reset(seg, "no_agent").await;
    }

    /// Sends an opening datagram to a peer, which may take it.
    async fn hand_on(&self, peer: SocketAddrV4, arrival: Arrival, declined: Vec<SocketAddrV4>) {
        self.metrics.flows.with_label_values(&["passed_on"]).inc();
        let message = Message::Datagram {
            tag: self.tag,
            origin: Origin::Passed,
            via: arrival.via,
            declined,
            payload: arrival.payload,
        };
        self.tell(peer, &message).await;
    }

    async fn reset(&mut self, seg: &Segment, cause: &str) {
        self.metrics.flows.with_label_values(&["reset"]).inc();
        log::info!(event = "reset", flow:% = seg.key_from_caller(), cause = cause; "flow broken off");
        let to = SocketAddrV4::new(*seg.source.ip(), self.cfg.caller_port);
        // A datagram may be lost anyway.
        let _ = self.callers.send_to(&self.codec.reset(seg), to).await;
    }

    async fn not_held(&self, via: SocketAddrV4, payload: Bytes) {
        self.metrics.flows.with_label_values(&["not_held"]).inc();
        self.tell(via, &Message::NotHeld { payload }).await;
    }

    async fn on_upstream(&mut self, datagram: &mut [u8]) {
        let now = Instant::now();
        let Some(seg) = self.codec.parse(datagram) else {
            self.metrics.dropped.with_label_values(&["malformed"]).inc();
            return;
        };
        match self.holder.upstream_datagram(&seg, now) {
            UpstreamAction::ToCaller { learned } => {
                let key = seg.key_from_upstream();
                if learned {
                    self.learned(key).await;
                }
                self.metrics.sent.with_label_values(&["caller"]).inc();
                let to = SocketAddrV4::new(*seg.destination.ip(), self.cfg.caller_port);
                // A datagram may be lost anyway.
                let _ = self.callers.send_to(datagram, to).await;
            }
            UpstreamAction::PassOn => {
                let key = seg.key_from_caller();
                self.codec.clear_bounce(datagram);
                let opening = self.openings.remove(&key);
                let (via, declined) = opening
                    .map_or((self.cfg.peer_address, Vec::new()), |opening| {
                        (opening.via, opening.declined)
                    });
                let arrival = Arrival {
                    origin: Origin::Placed,
                    via,
                    declined,
                    payload: Bytes::copy_from_slice(datagram),
                };
                log::info!(event = "bounced", flow:% = key; "upstream did not take a new flow");
                self.bounced_opening(&seg, arrival, now).await;
            }
            UpstreamAction::NotHeld => {
                let key = seg.key_from_caller();
                log::info!(event = "not_held", flow:% = key; "upstream returned a datagram that was tried");
                if let Some(via) = self.tried_by.remove(&key) {
                    self.codec.clear_bounce(datagram);
                    self.not_held(via, Bytes::copy_from_slice(datagram)).await;
                }
            }
            UpstreamAction::Reset => self.reset(&seg, "upstream_lost_flow").await,
            UpstreamAction::Drop => {}
        }
    }

    /// An opening datagram that the upstream returned goes to another agent or
    /// is refused: the upstream would return it again.
    async fn bounced_opening(&mut self, seg: &Segment, arrival: Arrival, now: Instant) {
        let mut declined = arrival.declined.clone();
        declined.push(self.cfg.peer_address);
        let (near, hash) = (&self.cfg.data_centre, seg.key_from_caller().stable_hash());
        let peer = if declined.len() <= MAX_DECLINED {
            self.pool.place(near, hash, &declined, now)
        } else {
            None
        };
        let Some(peer) = peer else {
            return self.reset(seg, "bounced").await;
        };
        self.hand_on(peer, arrival, declined).await;
    }

    /// Tells the balancer that asked that a flow is held here.
    async fn learned(&mut self, key: FlowTuple) {
        self.metrics.flows.with_label_values(&["learned"]).inc();
        log::info!(event = "learned", flow:% = key; "the upstream holds a flow that was not known");
        if let Some(via) = self.tried_by.remove(&key) {
            let service = self.cfg.service.clone();
            self.tell(via, &Message::Taken { key, service }).await;
        }
    }

    async fn tell(&self, to: SocketAddrV4, message: &Message) {
        match wire::encode(message) {
            // A datagram may be lost anyway.
            Ok(datagram) => drop(self.peers.send_to(&datagram, to).await),
            Err(e) => log::error!(event = "unencodable_message", error:% = e; "cannot encode"),
        }
    }
}
