//! The task that keeps a node in sync with the control hosts.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
use directory::{
    ControlMessage, Hello, HelloReply, Node, NodeRecord, ROUTES_PATH, RecordFetch, View,
    ViewChanges,
};
use http::{Method, StatusCode};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::sleep_until,
};
use types::{DataCentre, PlacementPolicy, RoutingDelta, RoutingSetNumber};

use crate::{Error, Result};

mod records;

/// Interval between checks for requests for records that are due.
const RECORD_FETCH_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between hellos. A third of the time after which a control host stops
/// sending changes to a node without being asked.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest interval between hellos while replies of the control host are missing: a
/// round trip within a region and the time to send a list.
const RESYNC_INTERVAL: Duration = Duration::from_millis(80);

/// At most this much is added to [`RESYNC_INTERVAL`], at random: when all nodes start
/// at once, their lists fill the link of the control host, and the nodes whose list was
/// lost must not ask for it all at the same time.
const MAX_RESYNC_JITTER: Duration = Duration::from_millis(80);

/// Interval between hellos while no control host is in use.
const SEARCH_HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// A control host that has not replied for this long is replaced by another.
const CONTROL_HOST_TIMEOUT: Duration = Duration::from_millis(1200);

/// Maximum number of introduced control hosts to keep while none is in use.
const MAX_INTRODUCED_HOSTS: usize = 32;

/// Maximum number of control hosts that each hello is sent to during a search.
const HOSTS_PER_SEARCH_HELLO: usize = 6;

/// During a search, control hosts without a routing set are ignored for this long,
/// as others may reply. Such a host may have no disk, or an empty one.
const NO_ROUTES_GRACE: Duration = Duration::from_secs(1);

/// A control host without contact to its leader for this long is replaced by one
/// with contact. Longer than most elections, and well within the time in which a
/// change must be in force everywhere.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(900);

/// How long the list of nodes counts as complete after a control host has confirmed
/// that. Two intervals between hellos, so that one may be lost.
const NODE_LIST_VALIDITY: Duration = HELLO_INTERVAL.saturating_mul(2);

/// Timeout for fetching a delta of the routing set.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of an encoded delta of the routing set.
const MAX_ROUTING_SET_BYTES: usize = 16 << 20;

/// An update from the control hosts.
#[derive(Debug)]
pub enum ControlUpdate {
    /// Nodes that were added, changed or removed.
    Nodes(ViewChanges),
    /// A delta to a newer routing set.
    Routes(RoutingDelta),
    /// The list of nodes counts as complete until this deadline.
    NodeListComplete(Instant),
    /// A newer placement policy.
    Policy(PlacementPolicy),
    /// A record that control hosts have kept for this node.
    Record(NodeRecord),
    /// No further records are awaited: those of this process may replace them.
    RecordsFetched,
}

/// Settings of a [`ControlSync`] task.
#[derive(Debug, Clone)]
pub struct ControlSyncSettings {
    /// The node as it announces itself in hellos.
    pub node: Node,
    /// Local address of the task's socket.
    pub listen_address: SocketAddrV4,
    /// Address to which control hosts reply.
    pub reply_to: SocketAddrV4,
    /// Hosts to search for control hosts; may change while the task runs.
    pub seeds: watch::Receiver<Vec<Ipv4Addr>>,
    /// UDP port of control hosts for hellos.
    pub node_port: u16,
    /// TCP port of control hosts for HTTP requests.
    pub member_port: u16,
    /// Whether the task fetches the routing set.
    pub needs_routing_set: bool,
}

/// The task that announces a node to a control host and receives its updates.
pub struct ControlSync {
    cfg: ControlSyncSettings,
    socket: UdpSocket,
    view: View,
    /// The control host in use.
    control_host: Option<SocketAddrV4>,
    /// Control hosts that replies named while none is in use.
    introduced_hosts: BTreeSet<SocketAddrV4>,
    /// Rotation of the list of control hosts for the next search hello.
    search_offset: usize,
    last_reply_at: Instant,
    /// Whether the list of nodes is that of the control host's last reply.
    is_synced: bool,
    /// When the search began, if no control host is in use.
    search_started_at: Instant,
    /// When the control host in use last confirmed contact to its leader.
    leader_contact_at: Instant,
    next_hello_at: Instant,
    routing_set_number: RoutingSetNumber,
    /// The policy with the highest revision so far.
    policy: PlacementPolicy,
    /// Result of the fetch in progress; `None` if it failed or there is no newer set.
    fetch_result_tx: mpsc::Sender<Option<RoutingDelta>>,
    fetch_result_rx: mpsc::Receiver<Option<RoutingDelta>>,
    fetch_in_progress: bool,
    updates: mpsc::Sender<ControlUpdate>,
    /// Records to keep at control hosts; `None` if the node has none.
    records: Option<mpsc::Receiver<NodeRecord>>,
    /// The fetch of the records of the previous process, until it ends.
    record_fetch: Option<RecordFetch>,
    stop: watch::Receiver<bool>,
}

impl ControlSync {
    /// Creates the task and binds its socket.
    ///
    /// # Errors
    ///
    /// The socket cannot be bound.
    pub fn new(
        cfg: ControlSyncSettings,
        updates: mpsc::Sender<ControlUpdate>,
        stop: watch::Receiver<bool>,
    ) -> Result<Self> {
        let listen = SocketAddr::V4(cfg.listen_address);
        let socket = net::bind_udp(listen).map_err(|e| Error::Bind(listen, e))?;
        let (fetch_result_tx, fetch_result_rx) = mpsc::channel(1);
        let now = Instant::now();
        Ok(ControlSync {
            // A random offset spreads nodes that start together over the hosts.
            search_offset: usize::from(rand::random::<u8>()),
            cfg,
            socket,
            view: View::default(),
            control_host: None,
            introduced_hosts: BTreeSet::new(),
            last_reply_at: now,
            is_synced: false,
            search_started_at: now,
            leader_contact_at: now,
            next_hello_at: now,
            routing_set_number: RoutingSetNumber(0),
            policy: PlacementPolicy::default(),
            fetch_result_tx,
            fetch_result_rx,
            fetch_in_progress: false,
            updates,
            records: None,
            record_fetch: None,
            stop,
        })
    }

    /// Fetches the records that control hosts keep for this node, and keeps those that
    /// arrive from `records` there.
    #[must_use]
    pub fn with_records(mut self, records: mpsc::Receiver<NodeRecord>) -> Self {
        self.records = Some(records);
        self.record_fetch = Some(RecordFetch::new(Instant::now()));
        self
    }

    /// Runs until the receiver of updates is dropped.
    pub async fn run(mut self) {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let next_hello_at = self.next_hello_at;
            let fetch_at = Instant::now() + RECORD_FETCH_INTERVAL;
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, SocketAddr::V4(from))) = received {
                        self.handle_reply(&buf[..len], from).await;
                    }
                }
                Some(fetched) = self.fetch_result_rx.recv() => self.handle_fetch_result(fetched).await,
                _ = self.stop.changed(), if !self.cfg.node.leaving => {
                    self.cfg.node.leaving = true;
                    self.cfg.node.seq += 1;
                    self.send_hello(Instant::now()).await;
                }
                () = sleep_until(next_hello_at.into()) => self.send_hello(Instant::now()).await,
                record = records::next(&mut self.records) => self.send_record(record).await,
                () = sleep_until(fetch_at.into()), if self.record_fetch.is_some() => {
                    self.advance_record_fetch(Instant::now()).await;
                }
                () = self.updates.closed() => return,
            }
        }
    }

    async fn send_hello(&mut self, now: Instant) {
        let gone = self.view.expire(now);
        self.send_node_changes(ViewChanges {
            removed: gone,
            ..ViewChanges::default()
        })
        .await;
        if let Some(host) = self.control_host
            && now >= self.last_reply_at + CONTROL_HOST_TIMEOUT
        {
            log::warn!(event = "control_lost", host:% = host; "no reply from the control host; searching for another");
            self.control_host = None;
            self.search_started_at = now;
        }
        self.next_hello_at = now
            + match self.control_host {
                Some(_) if self.is_synced => HELLO_INTERVAL,
                Some(_) => resync_interval(),
                None => SEARCH_HELLO_INTERVAL,
            };
        let hosts = self
            .control_host
            .map_or_else(|| self.search_candidates(), |host| vec![host]);
        let hello = ControlMessage::Hello(Hello {
            node: self.cfg.node.clone(),
            reply_to: self.cfg.reply_to,
            version: self.control_host.map(|_| self.view.version()),
        });
        match wire::encode(&hello) {
            Ok(datagram) => {
                for host in hosts {
                    // The network may lose the datagram too, so a failed send is ignored.
                    let _ = self.socket.send_to(&datagram, host).await;
                }
            }
            Err(e) => {
                log::error!(event = "unencodable_message", error:% = e; "cannot encode a hello");
            }
        }
    }

    /// The control hosts to send the next search hello to, from the known ones, the
    /// introduced ones and the seeds.
    fn search_candidates(&mut self) -> Vec<SocketAddrV4> {
        let port = self.cfg.node_port;
        let seeds = self.cfg.seeds.borrow().clone();
        let seeds = seeds.into_iter().map(|ip| SocketAddrV4::new(ip, port));
        let known = self.view.nodes().filter(|node| node.is_control());
        let known = known.map(|node| node.address);
        let introduced_hosts = self.introduced_hosts.iter().copied();
        let mut hosts: Vec<SocketAddrV4> = known.chain(introduced_hosts).chain(seeds).collect();
        hosts.sort_unstable();
        hosts.dedup();
        let len = hosts.len();
        self.search_offset += 1;
        hosts.rotate_left(self.search_offset.checked_rem(len).unwrap_or(0));
        hosts.truncate(HOSTS_PER_SEARCH_HELLO);
        hosts
    }

    async fn handle_reply(&mut self, datagram: &[u8], from: SocketAddrV4) {
        let now = Instant::now();
        let reply: HelloReply = match wire::decode(datagram) {
            Ok(reply) => reply,
            Err(e) => {
                if let Ok(reply) = wire::decode(datagram) {
                    return self.handle_record_reply(reply, from).await;
                }
                log::debug!(event = "bad_reply", from:% = from, error:% = e; "dropping a datagram that is not a valid reply of a control host");
                return;
            }
        };
        if self.control_host.is_none() {
            let holds_routes = reply.current || reply.routing_set > RoutingSetNumber(0);
            if !holds_routes && now < self.search_started_at + NO_ROUTES_GRACE {
                // Its reply names other control hosts.
                for host in reply.control_hosts {
                    if self.introduced_hosts.len() < MAX_INTRODUCED_HOSTS
                        && self.introduced_hosts.insert(host)
                    {
                        self.next_hello_at = now;
                    }
                }
                return;
            }
            log::info!(event = "control_found", host:% = from; "using the control host that replied");
            self.control_host = Some(from);
            self.is_synced = false;
            self.introduced_hosts.clear();
            // Request the list of nodes: the reply to a search has none.
            self.next_hello_at = now;
        }
        if self.control_host != Some(from) {
            return;
        }
        self.last_reply_at = now;
        self.apply_policy(reply.policy).await;
        if let Some(news) = reply.delta {
            let changes = self.view.apply(news, now);
            self.send_node_changes(changes).await;
            self.advance_record_fetch(now).await;
        }
        if reply.current {
            self.leader_contact_at = now;
        }
        self.is_synced = self.view.version() == reply.version;
        if !self.is_synced {
            // More deltas follow, or one was lost and the next hello requests it again.
            self.next_hello_at = self.next_hello_at.min(now + resync_interval());
        }
        // The view is complete only if no delta was lost.
        if reply.complete && self.is_synced {
            // The receiver is only dropped when the process ends.
            let _ = self
                .updates
                .send(ControlUpdate::NodeListComplete(now + NODE_LIST_VALIDITY))
                .await;
        }
        self.switch_control_host(now);
        if self.cfg.needs_routing_set
            && reply.routing_set > self.routing_set_number
            && !self.fetch_in_progress
        {
            self.start_fetch(from);
        }
    }

    /// Passes on a policy that is newer than the known one. A control host that lags
    /// behind may send an older one.
    async fn apply_policy(&mut self, policy: PlacementPolicy) {
        if policy.revision <= self.policy.revision {
            return;
        }
        let evacuated: Vec<&str> = policy.evacuated.iter().map(DataCentre::as_str).collect();
        log::info!(
            event = "policy", revision:% = policy.revision, evacuated = evacuated.join(",").as_str();
            "received a newer placement policy"
        );
        self.policy = policy.clone();
        // The receiver is only dropped when the process ends.
        let _ = self.updates.send(ControlUpdate::Policy(policy)).await;
    }

    /// Switches to a control host with contact to its leader, preferably in the own
    /// data centre. A short loss of contact is tolerated, because all control hosts
    /// lose it during an election.
    fn switch_control_host(&mut self, now: Instant) {
        let near = |node: &&Node| node.data_centre == self.cfg.node.data_centre;
        let host = self
            .view
            .nodes()
            .find(|node| Some(node.address) == self.control_host);
        let holds_routes = host.is_some_and(Node::is_formed);
        let outdated = now >= self.leader_contact_at + LEADER_CONTACT_TIMEOUT;
        if holds_routes && !outdated && host.is_some_and(|node| near(&node)) {
            return;
        }
        let others = self
            .view
            .nodes()
            .filter(|node| Some(node.address) != self.control_host);
        let mut others = others.filter(|node| node.is_formed() && !node.leaving);
        let better = if !holds_routes {
            // A routing set from the disk is better than none while there is no leader.
            others.max_by_key(|node| (node.is_current(), near(node)))
        } else if outdated {
            others.filter(|node| node.is_current()).max_by_key(near)
        } else {
            others.find(|node| node.is_current() && near(node))
        };
        if let Some(node) = better {
            log::info!(
                event = "control_moved", host:% = node.address, outdated = u64::from(outdated);
                "switching to another control host"
            );
            self.control_host = Some(node.address);
            self.is_synced = false;
            self.last_reply_at = now;
            self.leader_contact_at = now;
            self.next_hello_at = now;
        }
    }

    fn start_fetch(&mut self, host: SocketAddrV4) {
        self.fetch_in_progress = true;
        let have = self.routing_set_number;
        let tx = self.fetch_result_tx.clone();
        let address = SocketAddrV4::new(*host.ip(), self.cfg.member_port);
        actix_rt::spawn(async move {
            let delta = fetch_routing_delta(address, have).await;
            // The receiver is only dropped when the process ends.
            let _ = tx.send(delta).await;
        });
    }

    async fn handle_fetch_result(&mut self, delta: Option<RoutingDelta>) {
        self.fetch_in_progress = false;
        let Some(delta) = delta else {
            // The next reply starts another fetch.
            return;
        };
        if delta.number <= self.routing_set_number
            || delta
                .base
                .is_some_and(|base| base != self.routing_set_number)
        {
            return;
        }
        self.routing_set_number = delta.number;
        // The receiver is only dropped when the process ends.
        let _ = self.updates.send(ControlUpdate::Routes(delta)).await;
        self.next_hello_at = Instant::now();
    }

    async fn send_node_changes(&mut self, changes: ViewChanges) {
        if changes != ViewChanges::default() {
            // The receiver is only dropped when the process ends.
            let _ = self.updates.send(ControlUpdate::Nodes(changes)).await;
        }
    }
}

fn resync_interval() -> Duration {
    RESYNC_INTERVAL + MAX_RESYNC_JITTER.mul_f64(rand::random())
}

async fn fetch_routing_delta(host: SocketAddrV4, have: RoutingSetNumber) -> Option<RoutingDelta> {
    let body = Bytes::from(wire::encode(&have).ok()?);
    let deadline = Instant::now() + FETCH_TIMEOUT;
    let response = net::send_request(
        host.into(),
        Method::POST,
        ROUTES_PATH,
        body,
        MAX_ROUTING_SET_BYTES,
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
    log::warn!(event = "routes_not_fetched", host:% = host, error = failed.as_str(); "cannot fetch the routing set from the control host");
    None
}
