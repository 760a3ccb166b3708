//! The task that owns the node discovery socket and the directory.

mod form;
mod records;
mod roster;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use consensus::Group;
use directory::{
    ControlMessage, Coverage, Directory, DirectoryVersion, FirstGroup, Hello, HelloReply,
    NODE_LEASE, Node, NodeRole, Roster,
};
pub(crate) use records::KeptRecords;
use roster::FetchedRoster;
pub(crate) use roster::SharedRoster;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::sleep_until,
};
use types::{MemberId, PlacementPolicy, RoutingSet, ServiceName};

use super::{
    Settings,
    formation::{FormationHandle, FormationInput},
    group::{GroupCommand, MembershipStatus, gauge},
    metrics::Metrics,
};
use crate::{
    request::UnservedServicesRequest,
    version::{ControlHostContact, Placement, RouteHistory, services_without_upstreams},
};

/// Interval between gossip messages to the other control hosts.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);

/// Gossip interval during [`STARTUP_PHASE`].
const STARTUP_GOSSIP_INTERVAL: Duration = Duration::from_millis(60);

/// How long after a start gossip is frequent: after a complete power loss, gossip
/// is the only way in which nodes discover each other.
const STARTUP_PHASE: Duration = Duration::from_secs(3);

/// Interval at which records heard here are relayed to the other control hosts,
/// even if they did not change. A third of a lease.
const RELAY_INTERVAL: Duration = Duration::from_secs(1);

/// Delay that batches directory changes into one notification: without it, when
/// all nodes start at once, every node would be notified of every other one
/// separately.
const NOTIFY_DELAY: Duration = Duration::from_millis(5);

/// Maximum number of control hosts listed in a reply to a node that looks for one.
const MAX_LISTED_CONTROL_HOSTS: usize = 9;

/// Maximum number of records in one message, so that it fits a datagram.
const MAX_RECORDS_PER_DATAGRAM: usize = 12;

/// A node whose last hello is more recent than this is notified of changes.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

#[derive(Debug)]
struct Subscriber {
    reply_to: SocketAddrV4,
    /// Service of an agent.
    service: Option<ServiceName>,
    version: DirectoryVersion,
    last_hello: Instant,
}

/// The task that owns the socket of the nodes and the directory.
pub(crate) struct NodeTask {
    cfg: Settings,
    local_node: Node,
    socket: UdpSocket,
    directory: Directory,
    coverage: Coverage,
    /// Whether the directory was complete at the last check.
    was_complete: bool,
    roster: Rc<RefCell<SharedRoster>>,
    /// Writes the roster to disk; `None` on a host without one.
    roster_writer: Option<std::sync::mpsc::Sender<Roster>>,
    /// The records kept for other nodes; `None` on a host without a disk.
    records: Option<KeptRecords>,
    /// Until when agents from before the start may be on the roster without having
    /// been heard.
    restored_roster_until: Option<Instant>,
    /// Members whose roster is being fetched.
    roster_fetches: BTreeSet<Ipv4Addr>,
    fetched_rosters_tx: mpsc::Sender<FetchedRoster>,
    fetched_rosters: mpsc::Receiver<FetchedRoster>,
    subscribers: BTreeMap<SocketAddrV4, Subscriber>,
    history: Rc<RefCell<RouteHistory>>,
    /// The local member; `None` on a host without a disk.
    member: Option<LocalMember>,
    /// Addresses of the known control hosts, for observers.
    control_hosts: watch::Sender<Vec<Ipv4Addr>>,
    /// Requests for the services without agents outside some data centres.
    unserved_services: mpsc::Receiver<UnservedServicesRequest>,
    /// The first group, once this host knows it.
    first_group: Option<FirstGroup>,
    /// The task that agrees on the first group; `None` on a host that is no acceptor.
    formation: Option<FormationHandle>,
    /// Set when the process is asked to stop.
    stop: watch::Receiver<bool>,
    metrics: Metrics,
    gossip_at: Instant,
    /// When subscribers are notified of changes; `None` if there are none.
    notify_at: Option<Instant>,
    /// End of the startup phase, in which gossip is frequent.
    startup_until: Instant,
    /// When records heard here were last relayed.
    last_relay: Instant,
    /// Addresses of voters and learners restored from disk, which allow discovery
    /// after a restart when the seeds are stale.
    restored_addresses: Vec<SocketAddrV4>,
}

/// The local member of the consensus group, as seen by a [`NodeTask`].
pub(crate) struct LocalMember {
    pub id: MemberId,
    pub routes: watch::Receiver<Option<Arc<RoutingSet>>>,
    pub placement: watch::Receiver<Placement>,
    pub membership_status: watch::Receiver<MembershipStatus>,
    pub group: mpsc::Sender<GroupCommand>,
}

impl LocalMember {
    fn role(&self) -> NodeRole {
        NodeRole::Control {
            member: self.id,
            formed: self.membership_status.borrow().formed,
            current: self.membership_status.borrow().current,
        }
    }
}

/// Channels of a [`NodeTask`].
pub(crate) struct Channels {
    pub socket: UdpSocket,
    pub history: Rc<RefCell<RouteHistory>>,
    pub roster: Rc<RefCell<SharedRoster>>,
    pub roster_writer: Option<std::sync::mpsc::Sender<Roster>>,
    pub records: Option<KeptRecords>,
    pub member: Option<LocalMember>,
    pub control_hosts: watch::Sender<Vec<Ipv4Addr>>,
    pub unserved_services: mpsc::Receiver<UnservedServicesRequest>,
    pub formation: Option<FormationHandle>,
    pub stop: watch::Receiver<bool>,
}

impl NodeTask {
    pub fn new(
        cfg: Settings,
        incarnation: u64,
        restored: Option<&Group>,
        channels: Channels,
        metrics: Metrics,
    ) -> Self {
        let now = Instant::now();
        let local_node = Node {
            address: cfg.node_address(),
            incarnation,
            seq: 0,
            data_centre: cfg.data_centre.clone(),
            role: channels
                .member
                .as_ref()
                .map_or(NodeRole::Observer, LocalMember::role),
            leaving: false,
        };
        let port = cfg.node_port;
        let members = restored.into_iter().flat_map(Group::members);
        let restored_addresses = members.filter_map(|(_, address)| match address {
            SocketAddr::V4(address) => Some(SocketAddrV4::new(*address.ip(), port)),
            SocketAddr::V6(_) => None,
        });
        let restored_addresses = restored_addresses.collect();
        let coverage = {
            let shared = channels.roster.borrow();
            let own_roster = shared.vouched.then_some(&shared.roster);
            Coverage::new(cfg.ip, own_roster, now)
        };
        let (fetched_rosters_tx, fetched_rosters) = mpsc::channel(MAX_LISTED_CONTROL_HOSTS);
        NodeTask {
            cfg,
            local_node,
            socket: channels.socket,
            directory: Directory::new(incarnation),
            coverage,
            was_complete: false,
            roster: channels.roster,
            roster_writer: channels.roster_writer,
            records: channels.records,
            restored_roster_until: Some(now + NODE_LEASE),
            roster_fetches: BTreeSet::new(),
            fetched_rosters_tx,
            fetched_rosters,
            subscribers: BTreeMap::new(),
            history: channels.history,
            member: channels.member,
            control_hosts: channels.control_hosts,
            unserved_services: channels.unserved_services,
            first_group: None,
            formation: channels.formation,
            stop: channels.stop,
            metrics,
            gossip_at: now,
            notify_at: None,
            startup_until: now + STARTUP_PHASE,
            last_relay: now,
            restored_addresses,
        }
    }

    /// Runs until the group task ends.
    pub async fn run(mut self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        self.apply_member_updates();
        loop {
            let gossip_at = self.gossip_at;
            let notify_at = self.notify_at;
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, from)) = received {
                        self.receive(&buf[..len], from).await;
                    }
                }
                changed = member_changed(&mut self.member) => {
                    if !changed {
                        return;
                    }
                    self.apply_member_updates();
                    self.notify_subscribers(true).await;
                }
                event = form::next_event(&mut self.formation) => {
                    self.handle_formation_event(event).await;
                }
                Some(fetched) = self.fetched_rosters.recv() => {
                    let now = Instant::now();
                    self.handle_fetched_roster(fetched, now);
                    self.update_coverage(now).await;
                }
                Some(request) = self.unserved_services.recv() => {
                    let nodes = self.directory.nodes().map(|(node, _)| node);
                    let services = services_without_upstreams(nodes, &request.evacuated);
                    // The requester may have stopped waiting.
                    let _ = request.reply.send(services);
                }
                _ = self.stop.changed(), if !self.local_node.leaving => {
                    self.local_node.leaving = true;
                    self.local_node.seq += 1;
                    self.gossip(Instant::now()).await;
                }
                () = sleep_until(gossip_at.into()) => self.gossip(Instant::now()).await,
                () = sleep_until(notify_at.unwrap_or(gossip_at).into()), if notify_at.is_some() => {
                    self.notify_subscribers(false).await;
                }
            }
        }
    }

    /// Applies the routing set and status published by the local member.
    fn apply_member_updates(&mut self) {
        let Some(member) = &mut self.member else {
            return;
        };
        if let Some(set) = member.routes.borrow_and_update().clone() {
            self.history.borrow_mut().push(set);
        }
        member.membership_status.mark_unchanged();
        let role = member.role();
        if self.local_node.role != role {
            self.local_node.role = role;
            self.local_node.seq += 1;
        }
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let now = Instant::now();
        match wire::decode(datagram) {
            Ok(ControlMessage::Hello(hello)) => self.handle_hello(hello, now).await,
            Ok(ControlMessage::Relayed(heard)) => {
                if let SocketAddr::V4(from) = from {
                    self.coverage.record_contact(*from.ip(), now);
                }
                let mut changed = false;
                let mut started_hosts = Vec::new();
                for (node, age) in heard {
                    let age = Duration::from_millis(age);
                    // A host's own record is authoritative: copies of it that
                    // other hosts relay are ignored.
                    if node.address == self.local_node.address {
                        continue;
                    }
                    let former = self.directory.incarnation(node.address);
                    if node.gossips() && former != Some(node.incarnation) {
                        started_hosts.push(node.address);
                    }
                    changed |= self.directory.record_relayed(node.clone(), age, now);
                    self.record_agent(&node);
                }
                for host in started_hosts {
                    self.send_all_records(host, now).await;
                }
                if changed {
                    self.schedule_notification(now);
                }
                if !self.was_complete {
                    self.update_coverage(now).await;
                }
            }
            Ok(ControlMessage::FormGroup(group)) => self.learn_first_group(group),
            Ok(ControlMessage::Formation { from, message }) => {
                self.pass_to_formation(FormationInput::Message(from, message));
            }
            Ok(ControlMessage::Keep(record)) => self.keep_record(record, now),
            Ok(ControlMessage::RecordQuery(query)) => self.answer_record_query(query).await,
            Err(e) => {
                log::debug!(event = "bad_hello", error:% = e; "cannot decode datagram as a discovery message");
            }
        }
    }

    async fn handle_hello(&mut self, hello: Hello, now: Instant) {
        let address = hello.node.address;
        let changed = self.directory.record_hello(hello.node.clone(), now);
        self.record_agent(&hello.node);
        if let Some(version) = hello.version {
            let subscriber = Subscriber {
                reply_to: hello.reply_to,
                service: agent_service(&hello.node).cloned(),
                version,
                last_hello: now,
            };
            self.subscribers.insert(address, subscriber);
            self.send_deltas(address, true).await;
        } else {
            let reply = self.control_host_list(&hello.node);
            self.send(hello.reply_to, &reply).await;
        }
        if changed {
            log::info!(
                event = "node", address:% = address, run = hello.node.incarnation,
                part:? = hello.node.role, leaving = u64::from(hello.node.leaving);
                "added or updated a node"
            );
            self.relay_records(vec![(hello.node, 0)]).await;
            self.schedule_notification(now);
        }
        if !self.was_complete {
            self.update_coverage(now).await;
        }
    }

    /// The reply to a node that is choosing a control host. It lists no nodes:
    /// sending all of them would cost the square of their number when all start.
    fn control_host_list(&self, node: &Node) -> HelloReply {
        let policy = placement_policy(self.member.as_ref(), agent_service(node));
        let nodes = self.directory.nodes().map(|(node, _)| node);
        let hosts = nodes.filter(|node| node.is_control() && !node.leaving);
        HelloReply {
            routing_set: self.history.borrow().number(),
            current: self.local_node.is_current(),
            delta: None,
            control_hosts: hosts
                .map(|node| node.address)
                .take(MAX_LISTED_CONTROL_HOSTS)
                .collect(),
            version: self.directory.version(),
            complete: false,
            policy,
        }
    }

    /// Schedules a notification of the subscribers, batched with later changes.
    fn schedule_notification(&mut self, now: Instant) {
        self.notify_at.get_or_insert(now + NOTIFY_DELAY);
    }

    /// Sends a subscriber the deltas since its version. Each delta is sent once; a
    /// lost one is sent again after the subscriber's next hello.
    async fn send_deltas(&mut self, to: SocketAddrV4, always: bool) {
        let routes = self.history.borrow().number();
        let current = self.local_node.is_current();
        let version = self.directory.version();
        let complete = self.coverage.is_complete(Instant::now());
        let Some(subscriber) = self.subscribers.get_mut(&to) else {
            return;
        };
        let policy = placement_policy(self.member.as_ref(), subscriber.service.as_ref());
        let mut deltas = self.directory.deltas_since(subscriber.version);
        if let Some(last) = deltas.last() {
            subscriber.version = last.to;
        }
        let to = subscriber.reply_to;
        let first = if deltas.is_empty() {
            None
        } else {
            Some(deltas.remove(0))
        };
        if first.is_none() && !always {
            return;
        }
        self.send(
            to,
            &HelloReply {
                routing_set: routes,
                current,
                delta: first,
                control_hosts: Vec::new(),
                version,
                complete,
                policy: policy.clone(),
            },
        )
        .await;
        for chunk in deltas {
            let reply = HelloReply {
                routing_set: routes,
                current,
                delta: Some(chunk),
                control_hosts: Vec::new(),
                version,
                complete,
                policy: policy.clone(),
            };
            self.send(to, &reply).await;
        }
    }

    async fn notify_subscribers(&mut self, routes: bool) {
        let now = Instant::now();
        self.notify_at = None;
        self.subscribers
            .retain(|_, subscriber| now < subscriber.last_hello + SUBSCRIPTION_TIMEOUT);
        let addresses: Vec<SocketAddrV4> = self.subscribers.keys().copied().collect();
        for address in addresses {
            self.send_deltas(address, routes).await;
        }
    }

    async fn send<T: serde::Serialize>(&self, to: SocketAddrV4, message: &T) {
        match wire::encode(message) {
            // Errors are ignored: the network may lose datagrams as well.
            Ok(datagram) => drop(self.socket.send_to(&datagram, to).await),
            Err(e) => {
                log::error!(event = "unencodable_message", error:% = e; "cannot encode discovery message");
            }
        }
    }

    /// Sends this host's record, and periodically the records heard here, to the
    /// other control hosts, and reports the known control hosts to the group task.
    async fn gossip(&mut self, now: Instant) {
        let starting = now < self.startup_until;
        self.gossip_at = now
            + if starting {
                STARTUP_GOSSIP_INTERVAL
            } else {
                GOSSIP_INTERVAL
            };
        self.directory.record_hello(self.local_node.clone(), now);
        let mut records: Vec<(Node, u64)> = vec![(self.local_node.clone(), 0)];
        if now >= self.last_relay + RELAY_INTERVAL {
            let since = self.last_relay;
            self.last_relay = now;
            let others = self.directory.heard_since(since, now);
            let others = others.filter(|(node, _)| node.address != self.local_node.address);
            records.extend(others.map(|(node, age)| (node, millis(age))));
        }
        self.relay_records(records).await;
        self.form_first_group().await;
        let gone = self.directory.expire(now);
        for node in &gone {
            log::info!(event = "node_gone", address:% = node.address; "removed a node whose lease expired");
        }
        if !gone.is_empty() {
            self.remove_agents(&gone);
            self.schedule_notification(now);
        }
        self.update_coverage(now).await;
        self.report_control_hosts(now);
        self.write_records(now);
    }

    fn report_control_hosts(&mut self, now: Instant) {
        let port = self.cfg.member_port;
        let mut heard = BTreeMap::new();
        let mut count = 0;
        for (node, at) in self.directory.nodes() {
            count += 1;
            if let NodeRole::Control { member, .. } = node.role {
                let address = SocketAddrV4::new(node.ip(), port).into();
                let leaving = node.leaving;
                heard.insert(
                    member,
                    ControlHostContact {
                        address,
                        last_heard: at,
                        data_centre: node.data_centre.clone(),
                        leaving,
                    },
                );
            }
        }
        self.metrics.nodes.set(gauge(count));
        let hosts = self.directory.nodes().map(|(node, _)| node);
        let hosts = hosts.filter(|node| node.is_control() && !node.leaving);
        self.control_hosts
            .send_replace(hosts.map(Node::ip).collect());
        if let Some(member) = &self.member {
            heard
                .entry(member.id)
                .and_modify(|host| host.last_heard = now);
            // Dropped if the queue is full; the next report supersedes it.
            let _ = member.group.try_send(GroupCommand::ControlHosts(heard));
        }
    }

    /// Sends all records to a control host that has started. It has missed those that
    /// were relayed before, and each is relayed again only by the host that heard it
    /// last, after a [`RELAY_INTERVAL`].
    async fn send_all_records(&self, host: SocketAddrV4, now: Instant) {
        let records = self.directory.nodes().map(|(node, heard_at)| {
            let age = now.saturating_duration_since(heard_at);
            (node.clone(), millis(age))
        });
        let records: Vec<(Node, u64)> = records.collect();
        for chunk in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
            self.send(host, &ControlMessage::Relayed(chunk.to_vec()))
                .await;
        }
    }

    /// Sends records to the other control hosts: the known ones, the seeds, and the
    /// members restored from disk, which may be alive but not yet discovered.
    async fn relay_records(&self, records: Vec<(Node, u64)>) {
        let port = self.cfg.node_port;
        let seeds = self.cfg.seeds.borrow().clone();
        let seeds = seeds.into_iter().map(|ip| SocketAddrV4::new(ip, port));
        let known = self.directory.nodes().map(|(node, _)| node);
        let known = known.filter(|node| node.gossips()).map(|node| node.address);
        let mut hosts: Vec<SocketAddrV4> = seeds
            .chain(known)
            .chain(self.restored_addresses.iter().copied())
            .filter(|address| *address != self.local_node.address)
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        for chunk in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
            let message = ControlMessage::Relayed(chunk.to_vec());
            for host in &hosts {
                self.send(*host, &message).await;
            }
        }
    }
}

/// Waits until the member publishes an update. Returns `false` once its task has
/// ended; never returns on a host without a member.
async fn member_changed(member: &mut Option<LocalMember>) -> bool {
    let Some(member) = member else {
        return std::future::pending().await;
    };
    let LocalMember {
        routes,
        placement,
        membership_status,
        ..
    } = member;
    tokio::select! {
        changed = routes.changed() => changed.is_ok(),
        changed = placement.changed() => changed.is_ok(),
        changed = membership_status.changed() => changed.is_ok(),
    }
}

/// Service of an agent; `None` for other nodes.
fn agent_service(node: &Node) -> Option<&ServiceName> {
    match &node.role {
        NodeRole::Agent(service) => Some(service),
        _ => None,
    }
}

/// The placement policy of a node, with the limits of the service if it is an agent.
/// A host without a configuration has the default one, which nodes ignore.
fn placement_policy(
    member: Option<&LocalMember>,
    service: Option<&ServiceName>,
) -> PlacementPolicy {
    member.map_or_else(PlacementPolicy::default, |member| {
        member.placement.borrow().policy_for(service)
    })
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
