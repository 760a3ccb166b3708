//! The task that keeps a node up to date by way of the control hosts.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
use directory::{ControlMessage, Hello, HelloReply, Node, ROUTES_PATH, View, ViewChanges};
use http::{Method, StatusCode};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::sleep_until,
};
use types::{RoutingDelta, SetNumber};

use crate::{Error, Result};

/// Pause between two hellos. A third of the time after which a control host
/// does not tell of changes by itself any more.
const HELLO: Duration = Duration::from_millis(500);

/// Pause between two hellos while no control host answers.
const SEEK: Duration = Duration::from_millis(100);

/// A control host that did not answer for this long is given up for another.
const SILENT: Duration = Duration::from_millis(1200);

/// Control hosts that are remembered while none is in use.
const INTRODUCED: usize = 32;

/// Control hosts that are tried at a time.
const TRIED: usize = 6;

/// A control host without a routing set is not used for this long while others
/// may answer: it may have no disk, or an empty one.
const PATIENCE: Duration = Duration::from_secs(1);

/// A control host that has not heard its leader for this long is left for one
/// that has. Longer than most elections, and well within the time in which a
/// change must be in force everywhere.
const OUTDATED: Duration = Duration::from_millis(900);

/// The word of a control host that the list of nodes is complete holds for this
/// long: two pauses between hellos, so that one may be lost.
const WHOLE: Duration = HELLO.saturating_mul(2);

/// Time for a control host to send what a node lacks of the routing set.
const FETCH: Duration = Duration::from_millis(800);

/// Bytes of a routing set at most.
const MAX_SET: usize = 16 << 20;

/// What a node learns from the control hosts.
#[derive(Debug)]
pub enum ControlUpdate {
    /// Nodes that have come, changed or gone.
    Nodes(ViewChanges),
    /// A newer routing set.
    Routes(RoutingDelta),
    /// All processes are listed, until then.
    NodeListComplete(Instant),
}

/// Settings of a [`ControlSync`] task.
#[derive(Debug, Clone)]
pub struct ControlSyncSettings {
    /// What the node says of itself.
    pub node: Node,
    /// Local address of the task's socket.
    pub listen_address: SocketAddrV4,
    /// Where control hosts reach it.
    pub reply_to: SocketAddrV4,
    /// Hosts where control hosts may be found; they may change.
    pub seeds: watch::Receiver<Vec<Ipv4Addr>>,
    /// UDP port of control hosts for hellos.
    pub node_port: u16,
    /// TCP port of control hosts for calls.
    pub member_port: u16,
    /// Whether the node needs the routing set.
    pub needs_routing_set: bool,
}

/// The task that keeps a node up to date by way of the control hosts.
pub struct ControlSync {
    cfg: ControlSyncSettings,
    socket: UdpSocket,
    view: View,
    /// The control host in use.
    host: Option<SocketAddrV4>,
    /// Control hosts that others told of while none is in use.
    introduced: BTreeSet<SocketAddrV4>,
    /// Where the search for a control host goes on.
    next_host: usize,
    heard: Instant,
    /// Since when no control host is in use, if none is.
    seeking_since: Instant,
    /// When the control host in use last heard the leader of its group.
    current_at: Instant,
    hello_at: Instant,
    have: SetNumber,
    /// Outcome of the call for the routing set that is under way.
    fetch_tx: mpsc::Sender<Option<RoutingDelta>>,
    fetch_rx: mpsc::Receiver<Option<RoutingDelta>>,
    fetching: bool,
    updates: mpsc::Sender<ControlUpdate>,
    stop: watch::Receiver<bool>,
}

impl ControlSync {
    /// Opens the socket of the task.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub fn new(
        cfg: ControlSyncSettings,
        updates: mpsc::Sender<ControlUpdate>,
        stop: watch::Receiver<bool>,
    ) -> Result<Self> {
        let listen = SocketAddr::V4(cfg.listen_address);
        let socket = net::bind_udp(listen).map_err(|e| Error::Bind(listen, e))?;
        let (fetch_tx, fetch_rx) = mpsc::channel(1);
        let now = Instant::now();
        Ok(ControlSync {
            // Nodes that start together do not all ask the same host first.
            next_host: usize::from(rand::random::<u8>()),
            cfg,
            socket,
            view: View::default(),
            host: None,
            introduced: BTreeSet::new(),
            heard: now,
            seeking_since: now,
            current_at: now,
            hello_at: now,
            have: SetNumber(0),
            fetch_tx,
            fetch_rx,
            fetching: false,
            updates,
            stop,
        })
    }

    /// Runs until the receiver of updates is gone.
    pub async fn run(mut self) {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let hello_at = self.hello_at;
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, SocketAddr::V4(from))) = received {
                        self.receive(&buf[..len], from).await;
                    }
                }
                Some(fetched) = self.fetch_rx.recv() => self.fetched(fetched).await,
                _ = self.stop.changed(), if !self.cfg.node.leaving => {
                    self.cfg.node.leaving = true;
                    self.cfg.node.seq += 1;
                    self.hello(Instant::now()).await;
                }
                () = sleep_until(hello_at.into()) => self.hello(Instant::now()).await,
                () = self.updates.closed() => return,
            }
        }
    }

    async fn hello(&mut self, now: Instant) {
        let gone = self.view.expire(now);
        self.tell(ViewChanges {
            removed: gone,
            ..ViewChanges::default()
        })
        .await;
        if let Some(host) = self.host
            && now >= self.heard + SILENT
        {
            log::warn!(event = "control_lost", host:% = host; "control host does not answer; trying another");
            self.host = None;
            self.seeking_since = now;
        }
        self.hello_at = now + if self.host.is_some() { HELLO } else { SEEK };
        let hosts = self
            .host
            .map_or_else(|| self.candidates(), |host| vec![host]);
        let hello = ControlMessage::Hello(Hello {
            node: self.cfg.node.clone(),
            reply_to: self.cfg.reply_to,
            version: self.host.map(|_| self.view.version()),
        });
        match wire::encode(&hello) {
            Ok(datagram) => {
                for host in hosts {
                    // A datagram may be lost anyway.
                    let _ = self.socket.send_to(&datagram, host).await;
                }
            }
            Err(e) => log::error!(event = "unencodable_message", error:% = e; "cannot encode"),
        }
    }

    /// The control hosts to try while none is in use, some of those that are
    /// known and the seeds.
    fn candidates(&mut self) -> Vec<SocketAddrV4> {
        let port = self.cfg.node_port;
        let seeds = self.cfg.seeds.borrow().clone();
        let seeds = seeds.into_iter().map(|ip| SocketAddrV4::new(ip, port));
        let known = self.view.nodes().filter(|node| node.is_control());
        let known = known.map(|node| node.address);
        let introduced = self.introduced.iter().copied();
        let mut hosts: Vec<SocketAddrV4> = known.chain(introduced).chain(seeds).collect();
        hosts.sort_unstable();
        hosts.dedup();
        let len = hosts.len();
        self.next_host += 1;
        hosts.rotate_left(self.next_host.checked_rem(len).unwrap_or(0));
        hosts.truncate(TRIED);
        hosts
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddrV4) {
        let now = Instant::now();
        let reply: HelloReply = match wire::decode(datagram) {
            Ok(reply) => reply,
            Err(e) => {
                log::debug!(event = "bad_reply", from:% = from, error:% = e; "datagram is no reply");
                return;
            }
        };
        if self.host.is_none() {
            let holds_routes = reply.current || reply.routing_set > SetNumber(0);
            if !holds_routes && now < self.seeking_since + PATIENCE {
                // It may know where others are.
                for host in reply.control_hosts {
                    if self.introduced.len() < INTRODUCED && self.introduced.insert(host) {
                        self.hello_at = now;
                    }
                }
                return;
            }
            log::info!(event = "control_found", host:% = from; "control host answers");
            self.host = Some(from);
            self.introduced.clear();
            // It has sent no news yet.
            self.hello_at = now;
        }
        if self.host != Some(from) {
            return;
        }
        self.heard = now;
        if let Some(news) = reply.delta {
            let changes = self.view.apply(news, now);
            self.tell(changes).await;
        }
        if reply.current {
            self.current_at = now;
        }
        // News of the list may have been lost on its way here.
        if reply.complete && self.view.version() == reply.version {
            // The receiver ends only with the process.
            let _ = self
                .updates
                .send(ControlUpdate::NodeListComplete(now + WHOLE))
                .await;
        }
        self.prefer_current(now);
        if self.cfg.needs_routing_set && reply.routing_set > self.have && !self.fetching {
            self.fetch(from);
        }
    }

    /// Moves to a control host that knows the latest configuration, of the own
    /// data centre if there is one. One that has lost its leader for a moment is
    /// not left: all have during an election.
    fn prefer_current(&mut self, now: Instant) {
        let near = |node: &&Node| node.data_centre == self.cfg.node.data_centre;
        let host = self
            .view
            .nodes()
            .find(|node| Some(node.address) == self.host);
        let holds_routes = host.is_some_and(Node::is_formed);
        let outdated = now >= self.current_at + OUTDATED;
        if holds_routes && !outdated && host.is_some_and(|node| near(&node)) {
            return;
        }
        let others = self
            .view
            .nodes()
            .filter(|node| Some(node.address) != self.host);
        let mut others = others.filter(|node| node.is_formed() && !node.leaving);
        let better = if !holds_routes {
            // A set from the disk is better than none while no leader is elected.
            others.max_by_key(|node| (node.is_current(), near(node)))
        } else if outdated {
            others.filter(|node| node.is_current()).max_by_key(near)
        } else {
            others.find(|node| node.is_current() && near(node))
        };
        if let Some(node) = better {
            log::info!(
                event = "control_moved", host:% = node.address, outdated = u64::from(outdated);
                "using another control host"
            );
            self.host = Some(node.address);
            self.heard = now;
            self.current_at = now;
            self.hello_at = now;
        }
    }

    fn fetch(&mut self, host: SocketAddrV4) {
        self.fetching = true;
        let have = self.have;
        let tx = self.fetch_tx.clone();
        let address = SocketAddrV4::new(*host.ip(), self.cfg.member_port);
        actix_rt::spawn(async move {
            let delta = fetch(address, have).await;
            // The receiver lives as long as the process.
            let _ = tx.send(delta).await;
        });
    }

    async fn fetched(&mut self, delta: Option<RoutingDelta>) {
        self.fetching = false;
        let Some(delta) = delta else {
            // The next reply asks again.
            return;
        };
        if delta.number <= self.have || delta.base.is_some_and(|base| base != self.have) {
            return;
        }
        self.have = delta.number;
        // The receiver ends only with the process.
        let _ = self.updates.send(ControlUpdate::Routes(delta)).await;
        self.hello_at = Instant::now();
    }

    async fn tell(&mut self, changes: ViewChanges) {
        if changes != ViewChanges::default() {
            // The receiver ends only with the process.
            let _ = self.updates.send(ControlUpdate::Nodes(changes)).await;
        }
    }
}

async fn fetch(host: SocketAddrV4, have: SetNumber) -> Option<RoutingDelta> {
    let body = Bytes::from(wire::encode(&have).ok()?);
    let deadline = Instant::now() + FETCH;
    let response = net::send_request(
        host.into(),
        Method::POST,
        ROUTES_PATH,
        body,
        MAX_SET,
        deadline,
    );
    let failed = match response.await {
        Ok((StatusCode::OK, body)) => match wire::decode(&body) {
            Ok(delta) => return Some(delta),
            Err(e) => e.to_string(),
        },
        Ok((StatusCode::NO_CONTENT, _)) => return None,
        Ok((status, _)) => status.to_string(),
        Err(e) => e.to_string(),
    };
    log::warn!(event = "routes_not_fetched", host:% = host, error = failed.as_str(); "cannot fetch the routing set");
    None
}
