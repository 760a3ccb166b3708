//! Evacuation of a data centre by a group of control hosts on the loopback interface.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::Path,
    time::{Duration, Instant},
};

use actix_rt::{
    System, spawn,
    task::JoinHandle,
    time::{sleep, timeout},
};
use directory::{ControlMessage, DirectoryVersion, Hello, HelloReply, Node, NodeRole};
use prometheus::Registry;
use replica::{ChangeOutcome, ReplicaHandle, Settings, services_without_upstreams, start};
use tempfile::TempDir;
use tokio::{net::UdpSocket, sync::watch};
use types::{
    DataCentre, PlacementPolicy, RequestRate, Revision, RoutingSet, RoutingSetNumber,
    ServiceLimits, ServiceName,
};

/// Timeout of each wait: several elections.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Time in which an evacuation must be in force at a node after it was accepted.
const EVACUATION_TIME: Duration = Duration::from_secs(5);

const HOSTS: u8 = 3;

struct Host {
    replica: ReplicaHandle,
    registry: Registry,
    node_address: SocketAddrV4,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Host {
    async fn start(test: u8, n: u8, dir: &Path, bootstrap: bool) -> Self {
        let seeds = (1..=HOSTS).map(|n| ip(test, n)).collect();
        let (_, seeds) = watch::channel(seeds);
        let settings = Settings {
            bootstrap,
            ..Settings::new(ip(test, n), "dc".parse().unwrap(), dir.to_owned(), seeds)
        };
        let node_address = settings.node_address();
        let (stop, stopped) = watch::channel(false);
        let deadline = Instant::now() + TIMEOUT;
        let (replica, registry, run) = loop {
            let registry = Registry::new();
            match start(settings.clone(), &registry, stopped.clone()).await {
                Ok((replica, run)) => break (replica, registry, run),
                // The threads of an earlier host, which lock the folder, end a little
                // after it.
                Err(e) => assert!(Instant::now() < deadline, "{e}"),
            }
            sleep(Duration::from_millis(20)).await;
        };
        let task = spawn(async move {
            run.await.expect("the host runs");
        });
        Host {
            replica,
            registry,
            node_address,
            task,
            _stop: stop,
        }
    }

    async fn set(&self, evacuated: bool, timeout: Duration) -> ChangeOutcome {
        let author = "mira".parse().unwrap();
        let deadline = Instant::now() + timeout;
        self.replica
            .set_evacuation(author, east(), evacuated, deadline)
            .await
    }

    /// Whether the data centre is evacuated, as a majority confirms it.
    async fn is_evacuated(&self) -> bool {
        let marks = self.replica.read_evacuations(Instant::now() + TIMEOUT);
        let marks = marks.await.expect("a majority confirms the read");
        marks.get(&east()).is_some_and(|mark| mark.evacuated)
    }

    fn gauge(&self, name: &str) -> f64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        family.unwrap().get_metric()[0].get_gauge().get_value()
    }
}

fn ip(test: u8, n: u8) -> Ipv4Addr {
    let net = u8::try_from(std::process::id() % 120).unwrap() + 100;
    Ipv4Addr::new(127, net, test, n)
}

fn east() -> DataCentre {
    "east".parse().unwrap()
}

fn folders() -> Vec<TempDir> {
    (0..HOSTS).map(|_| tempfile::tempdir().unwrap()).collect()
}

async fn start_hosts(test: u8, dirs: &[TempDir], bootstrap: bool) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (n, dir) in (1..).zip(dirs) {
        hosts.push(Host::start(test, n, dir.path(), bootstrap).await);
    }
    hosts
}

async fn leader(hosts: &[Host]) -> usize {
    let until = Instant::now() + TIMEOUT;
    loop {
        let leads = |host: &Host| host.gauge("limpet_replica_leader") > 0.5;
        if let Some(leader) = hosts.iter().position(leads) {
            return leader;
        }
        assert!(Instant::now() < until, "no host leads");
        sleep(Duration::from_millis(5)).await;
    }
}

/// An agent of a service, or a balancer without one.
struct TestNode {
    node: Node,
    socket: UdpSocket,
}

impl TestNode {
    async fn new(address: Ipv4Addr, service: Option<&str>) -> Self {
        let address = SocketAddrV4::new(address, 7002);
        let service = service.map(|service| service.parse().unwrap());
        TestNode {
            node: Node {
                address,
                role: service.map_or(NodeRole::Balancer, NodeRole::Agent),
                ..Node::example("10.0.0.1:7000")
            },
            socket: UdpSocket::bind(address).await.unwrap(),
        }
    }

    async fn say_hello(&self, host: SocketAddrV4, version: Option<DirectoryVersion>) {
        let hello = ControlMessage::Hello(Hello {
            node: self.node.clone(),
            reply_to: self.node.address,
            version,
        });
        let datagram = wire::encode(&hello).unwrap();
        let host = SocketAddr::V4(host);
        self.socket.send_to(&datagram, host).await.unwrap();
    }

    /// Says hello ten times a second, like a node that looks for a control host, until
    /// the host replies with a policy that is not older than `revision`.
    async fn search(&self, host: SocketAddrV4, revision: Revision) -> PlacementPolicy {
        let says_hello = async {
            loop {
                self.say_hello(host, None).await;
                sleep(Duration::from_millis(100)).await;
            }
        };
        tokio::select! {
            () = says_hello => unreachable!(),
            policy = self.policy_from(revision) => policy,
        }
    }

    /// Waits, without another hello, for a policy that is not older than `revision`.
    async fn policy_from(&self, revision: Revision) -> PlacementPolicy {
        let mut buf = vec![0; 64 * 1024];
        let policy = async {
            loop {
                let len = self.socket.recv(&mut buf).await.unwrap();
                let reply: HelloReply = wire::decode(&buf[..len]).unwrap();
                if reply.policy.revision >= revision {
                    return reply.policy;
                }
            }
        };
        timeout(EVACUATION_TIME, policy).await.expect("a policy")
    }
}

/// Guards against a change that nodes learn only with their next hello, against limits
/// of another service, and against a node that was partitioned and, once it is back,
/// keeps an old policy.
#[test]
fn nodes_are_told_at_once_and_when_they_come_back() {
    System::new().block_on(async {
        let dirs = folders();
        let hosts = start_hosts(41, &dirs, true).await;
        let limits = ServiceLimits {
            cold_rate: RequestRate::from_per_second(2.5),
        };
        let set = RoutingSet {
            number: RoutingSetNumber(1),
            services: [("claims".parse().unwrap(), limits)].into(),
            ..RoutingSet::default()
        };
        let author = "mira".parse().unwrap();
        let deadline = Instant::now() + TIMEOUT;
        let outcome = hosts[0].replica.replace_routes(author, set, deadline);
        assert_eq!(outcome.await, ChangeOutcome::Accepted);

        let agent = TestNode::new(ip(41, 11), Some("claims")).await;
        let other = TestNode::new(ip(41, 12), Some("vouchers")).await;
        let balancer = TestNode::new(ip(41, 13), None).await;
        let version = Some(DirectoryVersion::default());
        for node in [&agent, &other, &balancer] {
            node.say_hello(hosts[2].node_address, version).await;
        }
        let before = agent.policy_from(Revision(1)).await;
        assert_eq!(before.limits, limits);
        assert!(before.evacuated.is_empty());

        assert_eq!(hosts[1].set(true, TIMEOUT).await, ChangeOutcome::Accepted);
        let newer = Revision(before.revision.0 + 1);
        for (node, expected) in [
            (&agent, limits),
            (&other, ServiceLimits::default()),
            (&balancer, ServiceLimits::default()),
        ] {
            let policy = node.policy_from(newer).await;
            assert_eq!(policy.evacuated, BTreeSet::from([east()]));
            assert_eq!(policy.limits, expected);
        }
        let gauge = hosts[2].gauge("limpet_replica_evacuated_data_centres");
        assert!((gauge - 1.0).abs() < f64::EPSILON);

        // The subscription of a node that is cut off ends; the first reply tells it.
        let late = TestNode::new(ip(41, 14), None).await;
        let policy = late.search(hosts[0].node_address, newer).await;
        assert_eq!(policy.evacuated, BTreeSet::from([east()]));

        // A repeated request changes nothing.
        assert_eq!(hosts[0].set(true, TIMEOUT).await, ChangeOutcome::Accepted);
        assert_eq!(late.search(hosts[0].node_address, newer).await, policy);
    });
}

/// Guards against a request that is lost or refused when the leader dies before it
/// answers, and against a copy of it that undoes a later request.
#[test]
fn a_request_outlives_the_leader_that_accepted_it() {
    System::new().block_on(async {
        let dirs = folders();
        let mut hosts = start_hosts(42, &dirs, true).await;
        let first = leader(&hosts).await;
        assert_eq!(hosts[0].set(false, TIMEOUT).await, ChangeOutcome::Accepted);
        let dying = hosts.remove(first);
        let replica = dying.replica.clone();
        let unanswered = spawn(async move {
            let deadline = Instant::now() + Duration::from_millis(900);
            let author = "mira".parse().unwrap();
            replica.set_evacuation(author, east(), true, deadline).await
        });
        // The leader has received the request, and may have replicated it.
        sleep(Duration::from_millis(2)).await;
        dying.task.abort();
        assert_eq!(hosts[0].set(true, TIMEOUT).await, ChangeOutcome::Accepted);
        assert!(hosts[1].is_evacuated().await);
        assert_eq!(hosts[1].set(false, TIMEOUT).await, ChangeOutcome::Accepted);
        unanswered.await.unwrap();
        assert!(!hosts[0].is_evacuated().await);
    });
}

/// Guards against hosts that disagree after two operators requested the opposite at the
/// same time, and against a request of one of them that is refused.
#[test]
fn two_operators_both_get_an_answer_and_one_state_results() {
    System::new().block_on(async {
        let dirs = folders();
        let hosts = start_hosts(43, &dirs, true).await;
        for _ in 0..10 {
            let operators = tokio::join!(hosts[0].set(true, TIMEOUT), hosts[1].set(false, TIMEOUT));
            assert_eq!(
                operators,
                (ChangeOutcome::Accepted, ChangeOutcome::Accepted)
            );
            let state = hosts[0].is_evacuated().await;
            for host in &hosts {
                assert_eq!(host.is_evacuated().await, state);
            }
        }
        // The last request takes precedence, whoever sends it.
        for evacuated in [true, false, true] {
            assert_eq!(
                hosts[2].set(evacuated, TIMEOUT).await,
                ChangeOutcome::Accepted
            );
            assert_eq!(hosts[0].is_evacuated().await, evacuated);
        }
    });
}

/// Guards against a request that a host without a majority acknowledges, against nodes
/// that lose the policy while the control hosts are partitioned or have all restarted,
/// and against an evacuation that ends with such a restart.
#[test]
fn an_evacuation_survives_a_restart_and_needs_a_majority() {
    let dirs = folders();
    System::new().block_on(async {
        let hosts = start_hosts(44, &dirs, true).await;
        assert_eq!(hosts[0].set(true, TIMEOUT).await, ChangeOutcome::Accepted);
        // The state is on all disks once all hosts have compacted their logs.
        let evacuated = |host: &Host| host.gauge("limpet_replica_evacuated_data_centres") > 0.5;
        let until = Instant::now() + TIMEOUT;
        while !hosts.iter().all(evacuated) {
            assert!(Instant::now() < until, "a host has not applied the request");
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_secs(1)).await;
    });
    System::new().block_on(async {
        // One host alone, without a leader, from its disk.
        let host = Host::start(44, 1, dirs[0].path(), false).await;
        let node = TestNode::new(ip(44, 11), None).await;
        node.say_hello(host.node_address, None).await;
        let policy = node.policy_from(Revision(1)).await;
        assert_eq!(policy.evacuated, BTreeSet::from([east()]));
        let outcome = host.set(false, Duration::from_millis(900)).await;
        assert!(
            matches!(outcome, ChangeOutcome::Unavailable | ChangeOutcome::Unknown),
            "{outcome:?}"
        );
        let read = host
            .replica
            .read_evacuations(Instant::now() + Duration::from_millis(300));
        assert_eq!(read.await, None);
        // A majority again.
        let second = Host::start(44, 2, dirs[1].path(), false).await;
        assert!(second.is_evacuated().await);
        assert_eq!(second.set(false, TIMEOUT).await, ChangeOutcome::Accepted);
        assert!(!host.is_evacuated().await);
    });
}

/// Guards against operators that are not warned of services that an evacuation leaves
/// without upstreams.
#[test]
fn services_without_upstreams_are_those_with_agents_in_evacuated_data_centres_only() {
    let agent = |data_centre: &str, service: &str, leaving| Node {
        data_centre: data_centre.parse().unwrap(),
        role: NodeRole::Agent(service.parse().unwrap()),
        leaving,
        ..Node::example("10.0.0.1:7000")
    };
    let nodes = [
        agent("east", "claims", false),
        agent("west", "claims", true),
        agent("east", "vouchers", false),
        agent("west", "vouchers", false),
        agent("north", "badges", false),
        Node::example("10.0.0.1:7000"),
    ];
    let unserved = |evacuated: &[&str]| -> Vec<ServiceName> {
        let evacuated = evacuated.iter().map(|name| name.parse().unwrap()).collect();
        let services = services_without_upstreams(nodes.iter(), &evacuated);
        services.into_iter().collect()
    };
    let services = |names: &[&str]| -> Vec<ServiceName> {
        names.iter().map(|name| name.parse().unwrap()).collect()
    };
    assert_eq!(unserved(&[]), []);
    assert_eq!(unserved(&["east"]), services(&["claims"]));
    assert_eq!(
        unserved(&["east", "west"]),
        services(&["claims", "vouchers"])
    );
}
