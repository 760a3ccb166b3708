//! The task that owns the socket of the nodes and the directory.

mod form;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use consensus::Group;
use directory::{
    ControlMessage, Coverage, Directory, DirectoryVersion, Hello, HelloReply, Node, NodeRole,
};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::sleep_until,
};
use types::{MemberId, RoutingSet};

use super::{
    Settings,
    group::{GroupCommand, Standing, gauge},
    metrics::Metrics,
};
use crate::version::{ControlHostContact, RouteHistory};

/// Pause between two messages to the other control hosts.
const GOSSIP: Duration = Duration::from_millis(250);

/// Pause between two messages to the other control hosts during [`EAGER`].
const EAGER_GOSSIP: Duration = Duration::from_millis(60);

/// After a start messages to the other control hosts are frequent for this
/// long: after a loss of all power, nodes learn of one another by these alone.
const EAGER: Duration = Duration::from_secs(3);

/// What was heard is repeated to the other control hosts after this time, even
/// if it did not change. A third of a lease.
const REPEAT: Duration = Duration::from_secs(1);

/// Changes of the directory within this time are told together: when all nodes
/// start, each would otherwise be told of each.
const TOGETHER: Duration = Duration::from_millis(5);

/// Control hosts that a node is told of while it looks for one.
const INTRODUCED: usize = 9;

/// Records in one message to another control host, so that it fits a datagram.
const PIECE: usize = 12;

/// A node that said hello here within this time is told of changes at once.
const SUBSCRIBED: Duration = Duration::from_millis(1500);

/// Time for the hosts of a first start to say hello before the group is formed.
/// Those that are later join the group by themselves.
const GATHER: Duration = Duration::from_millis(1200);

/// Bytes of a datagram at most.
const DATAGRAM: usize = 64 * 1024;

#[derive(Debug)]
struct Subscriber {
    reply_to: SocketAddrV4,
    mark: DirectoryVersion,
    at: Instant,
}

/// The task that owns the socket of the nodes and the directory.
pub(crate) struct NodeTask {
    cfg: Settings,
    me: Node,
    socket: UdpSocket,
    directory: Directory,
    coverage: Coverage,
    subscribers: BTreeMap<SocketAddrV4, Subscriber>,
    history: Rc<RefCell<RouteHistory>>,
    /// The member beside it; none without a disk.
    member: Option<Member>,
    /// Hosts of the members, for those who have none beside them.
    members: watch::Sender<Vec<Ipv4Addr>>,
    /// The first group that this host forms, once it is chosen.
    first_group: Option<Vec<(MemberId, Ipv4Addr)>>,
    /// When the first group is formed, if this host does that.
    form_at: Option<Instant>,
    /// Set once the process is to end.
    stop: watch::Receiver<bool>,
    metrics: Metrics,
    gossip_at: Instant,
    /// When subscribers are told of changes, if there are any.
    tell_at: Option<Instant>,
    /// Messages to the other control hosts are frequent until then.
    eager_until: Instant,
    /// When the unchanged records were last repeated.
    repeated_at: Instant,
    /// Addresses of voters and learners from the disk, to be found again after
    /// a restart when the seeds are stale.
    remembered: Vec<SocketAddrV4>,
}

/// The member beside a [`NodeTask`].
pub(crate) struct Member {
    pub id: MemberId,
    pub routes: watch::Receiver<Option<Arc<RoutingSet>>>,
    pub standing: watch::Receiver<Standing>,
    pub group: mpsc::Sender<GroupCommand>,
}

impl Member {
    fn part(&self) -> NodeRole {
        NodeRole::Control {
            member: self.id,
            formed: self.standing.borrow().formed,
            current: self.standing.borrow().current,
        }
    }
}

/// What a [`NodeTask`] talks to.
pub(crate) struct Channels {
    pub socket: UdpSocket,
    pub history: Rc<RefCell<RouteHistory>>,
    pub member: Option<Member>,
    pub members: watch::Sender<Vec<Ipv4Addr>>,
    pub stop: watch::Receiver<bool>,
}

impl NodeTask {
    pub fn new(
        cfg: Settings,
        run: u64,
        restored: Option<&Group>,
        channels: Channels,
        metrics: Metrics,
    ) -> Self {
        let now = Instant::now();
        let me = Node {
            address: cfg.node_address(),
            incarnation: run,
            seq: 0,
            data_centre: cfg.data_centre.clone(),
            role: channels
                .member
                .as_ref()
                .map_or(NodeRole::Observer, Member::part),
            leaving: false,
        };
        let port = cfg.node_port;
        let members = restored.into_iter().flat_map(Group::members);
        let remembered = members.filter_map(|(_, address)| match address {
            SocketAddr::V4(address) => Some(SocketAddrV4::new(*address.ip(), port)),
            SocketAddr::V6(_) => None,
        });
        let remembered = remembered.collect();
        // One host forms the first group: if each did, two could form different ones.
        let forms = cfg.bootstrap && cfg.seeds.borrow().iter().min() == Some(&cfg.ip);
        let form_at = forms.then(|| now + GATHER);
        NodeTask {
            cfg,
            me,
            socket: channels.socket,
            directory: Directory::new(run),
            coverage: Coverage::new(now),
            subscribers: BTreeMap::new(),
            history: channels.history,
            member: channels.member,
            members: channels.members,
            first_group: None,
            form_at,
            stop: channels.stop,
            metrics,
            gossip_at: now,
            tell_at: None,
            eager_until: now + EAGER,
            repeated_at: now,
            remembered,
        }
    }

    /// Runs until the group task ends.
    pub async fn run(mut self) {
        let mut buf = vec![0; DATAGRAM];
        self.take_member();
        loop {
            let gossip_at = self.gossip_at;
            let tell_at = self.tell_at;
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
                    self.take_member();
                    self.tell_subscribers(true).await;
                }
                _ = self.stop.changed(), if !self.me.leaving => {
                    self.me.leaving = true;
                    self.me.seq += 1;
                    self.gossip(Instant::now()).await;
                }
                () = sleep_until(gossip_at.into()) => self.gossip(Instant::now()).await,
                () = sleep_until(tell_at.unwrap_or(gossip_at).into()), if tell_at.is_some() => {
                    self.tell_subscribers(false).await;
                }
            }
        }
    }

    /// Takes over what the member beside this task has published.
    fn take_member(&mut self) {
        let Some(member) = &mut self.member else {
            return;
        };
        if let Some(set) = member.routes.borrow_and_update().clone() {
            self.history.borrow_mut().push(set);
        }
        member.standing.mark_unchanged();
        let part = member.part();
        if self.me.role != part {
            self.me.role = part;
            self.me.seq += 1;
        }
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let now = Instant::now();
        match wire::decode(datagram) {
            Ok(ControlMessage::Hello(hello)) => self.hello(hello, now).await,
            Ok(ControlMessage::Relayed(heard)) => {
                if let SocketAddr::V4(from) = from {
                    self.coverage.record_contact(*from.ip(), now);
                }
                let mut new = false;
                for (node, age) in heard {
                    let age = Duration::from_millis(age);
                    // Each host speaks for itself.
                    if node.address != self.me.address {
                        new |= self.directory.record_relayed(node, age, now);
                    }
                }
                if new {
                    self.tell_soon(now);
                }
            }
            Ok(ControlMessage::FormGroup(members)) => self.form(&members),
            Err(e) => {
                log::debug!(event = "bad_hello", error:% = e; "datagram is no message of a node");
            }
        }
    }

    async fn hello(&mut self, hello: Hello, now: Instant) {
        let address = hello.node.address;
        let new = self.directory.record_hello(hello.node.clone(), now);
        if let Some(mark) = hello.version {
            let subscriber = Subscriber {
                reply_to: hello.reply_to,
                mark,
                at: now,
            };
            self.subscribers.insert(address, subscriber);
            self.reply(address, true).await;
        } else {
            let reply = self.introduction();
            self.send(hello.reply_to, &reply).await;
        }
        if new {
            log::info!(
                event = "node", address:% = address, run = hello.node.incarnation,
                part:? = hello.node.role, leaving = u64::from(hello.node.leaving);
                "a node is new or has changed"
            );
            self.spread(vec![(hello.node, 0)]).await;
            self.tell_soon(now);
        }
    }

    /// Answers a node that asks several control hosts for one to use. To send
    /// it all nodes would cost the square of their number at a start.
    fn introduction(&self) -> HelloReply {
        let nodes = self.directory.nodes().map(|(node, _)| node);
        let hosts = nodes.filter(|node| node.is_control() && !node.leaving);
        HelloReply {
            routing_set: self.history.borrow().number(),
            current: self.me.is_current(),
            delta: None,
            control_hosts: hosts.map(|node| node.address).take(INTRODUCED).collect(),
            version: self.directory.version(),
            complete: false,
        }
    }

    /// Has the subscribers told of changes, together with those that follow.
    fn tell_soon(&mut self, now: Instant) {
        self.tell_at.get_or_insert(now + TOGETHER);
    }

    /// Sends a subscriber what it lacks. Each gets it once; what is lost is
    /// sent again after its next hello.
    async fn reply(&mut self, to: SocketAddrV4, always: bool) {
        let routes = self.history.borrow().number();
        let current = self.me.is_current();
        let mark = self.directory.version();
        let whole = self.coverage.is_complete(Instant::now());
        let Some(subscriber) = self.subscribers.get_mut(&to) else {
            return;
        };
        let mut news = self.directory.deltas_since(subscriber.mark);
        if let Some(last) = news.last() {
            subscriber.mark = last.to;
        }
        let to = subscriber.reply_to;
        let first = if news.is_empty() {
            None
        } else {
            Some(news.remove(0))
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
                version: mark,
                complete: whole,
            },
        )
        .await;
        for piece in news {
            let reply = HelloReply {
                routing_set: routes,
                current,
                delta: Some(piece),
                control_hosts: Vec::new(),
                version: mark,
                complete: whole,
            };
            self.send(to, &reply).await;
        }
    }

    async fn tell_subscribers(&mut self, routes: bool) {
        let now = Instant::now();
        self.tell_at = None;
        self.subscribers
            .retain(|_, subscriber| now < subscriber.at + SUBSCRIBED);
        let addresses: Vec<SocketAddrV4> = self.subscribers.keys().copied().collect();
        for address in addresses {
            self.reply(address, routes).await;
        }
    }

    async fn send<T: serde::Serialize>(&self, to: SocketAddrV4, message: &T) {
        match wire::encode(message) {
            // A datagram may be lost anyway.
            Ok(datagram) => drop(self.socket.send_to(&datagram, to).await),
            Err(e) => log::error!(event = "unencodable_message", error:% = e; "cannot encode"),
        }
    }

    /// Tells the other control hosts what was heard here, and the group task
    /// which control hosts were heard.
    async fn gossip(&mut self, now: Instant) {
        let eager = now < self.eager_until;
        self.gossip_at = now + if eager { EAGER_GOSSIP } else { GOSSIP };
        self.directory.record_hello(self.me.clone(), now);
        let mut told: Vec<(Node, u64)> = vec![(self.me.clone(), 0)];
        if now >= self.repeated_at + REPEAT {
            let since = self.repeated_at;
            self.repeated_at = now;
            let others = self.directory.heard_since(since, now);
            let others = others.filter(|(node, _)| node.address != self.me.address);
            told.extend(others.map(|(node, age)| (node, millis(age))));
        }
        self.spread(told).await;
        self.form_first(now).await;
        let gone = self.directory.expire(now);
        for node in &gone {
            log::info!(event = "node_gone", address:% = node.address; "a node was not heard for a lease");
        }
        if !gone.is_empty() {
            self.tell_soon(now);
        }
        self.review_coverage(now);
        self.report(now);
    }

    /// Looks whether this host hears of all processes; one without a disk never
    /// says so, since it does not know the members of the group.
    fn review_coverage(&mut self, now: Instant) {
        let Some(member) = &self.member else {
            return;
        };
        let others = member.standing.borrow().others.clone();
        let others: Vec<Ipv4Addr> = others
            .into_iter()
            .filter_map(|address| match address {
                SocketAddr::V4(address) => Some(*address.ip()),
                SocketAddr::V6(_) => None,
            })
            .collect();
        self.coverage.update(&others, self.me.is_current(), now);
    }

    fn report(&mut self, now: Instant) {
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
                        leaving,
                    },
                );
            }
        }
        self.metrics.nodes.set(gauge(count));
        let hosts = self.directory.nodes().map(|(node, _)| node);
        let hosts = hosts.filter(|node| node.is_control() && !node.leaving);
        self.members.send_replace(hosts.map(Node::ip).collect());
        if let Some(member) = &self.member {
            heard
                .entry(member.id)
                .and_modify(|host| host.last_heard = now);
            // A full queue is brought up to date by the next report.
            let _ = member.group.try_send(GroupCommand::Heard(heard));
        }
    }

    /// Sends records to the other control hosts: those that were heard, and
    /// the seeds and former members, which may be there unheard.
    async fn spread(&self, told: Vec<(Node, u64)>) {
        let port = self.cfg.node_port;
        let seeds = self.cfg.seeds.borrow().clone();
        let seeds = seeds.into_iter().map(|ip| SocketAddrV4::new(ip, port));
        let known = self.directory.nodes().map(|(node, _)| node);
        let known = known.filter(|node| node.gossips()).map(|node| node.address);
        let mut hosts: Vec<SocketAddrV4> = seeds
            .chain(known)
            .chain(self.remembered.iter().copied())
            .filter(|address| *address != self.me.address)
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        for piece in told.chunks(PIECE) {
            let message = ControlMessage::Relayed(piece.to_vec());
            for host in &hosts {
                self.send(*host, &message).await;
            }
        }
    }
}

/// Waits until the member has published something. Returns whether it lives;
/// waits for ever without one.
async fn member_changed(member: &mut Option<Member>) -> bool {
    let Some(member) = member else {
        return std::future::pending().await;
    };
    let Member {
        routes, standing, ..
    } = member;
    tokio::select! {
        changed = routes.changed() => changed.is_ok(),
        changed = standing.changed() => changed.is_ok(),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
