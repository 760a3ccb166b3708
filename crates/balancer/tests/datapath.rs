//! Tests of the data path over loopback sockets, with simulated fabric and agent.

mod common;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use actix_rt::{task::JoinHandle, time::timeout};
use balancer::{Datapath, DirectIngress, FabricIngress, Ingress, Metrics, SyncChannels, bind};
use client::{NodeAnnouncement, SyncEvent};
use common::{cid, keys, long, short, snapshot, state};
use prometheus::Registry;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot, watch},
};
use types::BalancerAnnouncement;
use wire::{Endpoints, Prefix, Update};

/// Timeout for events that a test expects.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a datagram after which a test assumes that none is sent.
const NO_DATAGRAM_TIMEOUT: Duration = Duration::from_millis(200);

const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(700);

const SERVICE: &str = "198.51.100.1:443";
const CALLER: &str = "192.0.2.7:50000";

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

async fn socket() -> UdpSocket {
    UdpSocket::bind(loopback()).await.unwrap()
}

fn with_prefix(service: SocketAddr, packet: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::new();
    let caller = CALLER.parse().unwrap();
    Endpoints { caller, service }.encode(&mut datagram);
    datagram.extend_from_slice(packet);
    datagram
}

/// Receives a datagram; `None` after `recv_timeout`.
async fn recv_datagram(socket: &UdpSocket, recv_timeout: Duration) -> Option<Vec<u8>> {
    let mut buf = vec![0; 1 << 16];
    let len = timeout(recv_timeout, socket.recv(&mut buf))
        .await
        .ok()?
        .unwrap();
    buf.truncate(len);
    Some(buf)
}

/// A running data path.
struct TestBalancer {
    /// Address to which agents send answers and probes.
    return_address: SocketAddr,
    agent: UdpSocket,
    registry: Registry,
    steps: mpsc::Sender<SyncEvent>,
    stop: watch::Sender<bool>,
    report: watch::Receiver<NodeAnnouncement>,
    task: JoinHandle<()>,
}

impl TestBalancer {
    async fn start(ingress: impl Ingress + 'static) -> TestBalancer {
        let agent_socket = bind(loopback()).unwrap();
        let return_address = agent_socket.local_addr().unwrap();
        let registry = Registry::new();
        let metrics = Metrics::new(&registry).unwrap();
        let (steps, step_rx) = mpsc::channel(4);
        let (report_tx, report) = watch::channel(NodeAnnouncement {
            upstream: None,
            balancer: Some(BalancerAnnouncement { return_address }),
        });
        let channels = SyncChannels {
            steps: step_rx,
            report: report_tx,
        };
        let (stop, stop_rx) = watch::channel(false);
        let datapath = Datapath::new(
            ingress,
            agent_socket,
            channels,
            metrics,
            SHUTDOWN_GRACE_PERIOD,
        );
        TestBalancer {
            return_address,
            agent: socket().await,
            registry,
            steps,
            stop,
            report,
            task: actix_rt::spawn(datapath.run(stop_rx)),
        }
    }

    /// Starts a data path behind a fabric, without a version, and returns it with
    /// the address of its fabric socket.
    async fn behind_fabric() -> (TestBalancer, SocketAddr) {
        let ingress = FabricIngress::open(loopback()).unwrap();
        let fabric = ingress.local_addr().unwrap();
        (TestBalancer::start(ingress).await, fabric)
    }

    /// Sends a version and waits until it is applied.
    async fn apply(&self, update: Update) {
        let (tx, rx) = oneshot::channel();
        let step = SyncEvent::Update(Box::new(update), tx);
        self.steps.send(step).await.unwrap();
        timeout(TEST_TIMEOUT, rx)
            .await
            .expect("in force in time")
            .unwrap();
    }

    /// A version in which the simulated agent serves upstream 10 of service 1.
    fn version(&self, address: SocketAddr) -> Update {
        let data = self.agent.local_addr().unwrap();
        let services = vec![state(1, address, &[(10, data, 1024)])];
        snapshot(Some(keys(1, None)), services)
    }

    /// Value of the drop counter of `cause`.
    fn dropped(&self, cause: &str) -> u64 {
        let families = self.registry.gather();
        let name = "limpet_balancer_dropped_datagrams_total";
        let metrics = families.iter().filter(|f| f.name() == name);
        let counter = metrics
            .flat_map(prometheus::proto::MetricFamily::get_metric)
            .find(|metric| metric.get_label()[0].value() == cause);
        // Counts are whole numbers.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        counter.map_or(0, |metric| metric.get_counter().get_value() as u64)
    }

    async fn wait_until_dropped(&self, cause: &str, count: u64) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.dropped(cause) != count {
            let dropped = self.dropped(cause);
            assert!(Instant::now() < deadline, "{cause}: {dropped}, not {count}");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Guards against modified bytes in either direction, against forwarded answers
/// of hosts that are not agents of the service, and against replies to probes
/// by a balancer that cannot send answers.
#[actix_rt::test]
async fn datagrams_pass_unchanged_and_only_between_fabric_and_agents() {
    let (subject, address) = TestBalancer::behind_fabric().await;
    let (fabric, non_agent) = (socket().await, socket().await);
    let (service, probe) = (SERVICE.parse().unwrap(), Prefix::probe());
    fabric.send_to(&probe, address).await.unwrap();
    assert_eq!(
        recv_datagram(&fabric, NO_DATAGRAM_TIMEOUT).await,
        None,
        "no version yet"
    );
    subject.apply(subject.version(service)).await;
    fabric.send_to(&probe, address).await.unwrap();
    assert_eq!(recv_datagram(&fabric, TEST_TIMEOUT).await.unwrap(), probe);

    subject
        .agent
        .send_to(&probe, subject.return_address)
        .await
        .unwrap();
    assert_eq!(
        recv_datagram(&subject.agent, NO_DATAGRAM_TIMEOUT).await,
        None,
        "no fabric yet"
    );
    for packet in [long(0, b"chosen", 1200), short(&cid(1, 10, 1))] {
        let datagram = with_prefix(service, &packet);
        fabric.send_to(&datagram, address).await.unwrap();
        assert_eq!(
            recv_datagram(&subject.agent, TEST_TIMEOUT).await.unwrap(),
            datagram
        );
    }
    subject
        .agent
        .send_to(&probe, subject.return_address)
        .await
        .unwrap();
    assert_eq!(
        recv_datagram(&subject.agent, TEST_TIMEOUT).await.unwrap(),
        probe
    );

    let answer = with_prefix(service, b"answer");
    non_agent
        .send_to(&answer, subject.return_address)
        .await
        .unwrap();
    non_agent
        .send_to(&probe, subject.return_address)
        .await
        .unwrap();
    subject.wait_until_dropped("sender", 1).await;
    assert_eq!(recv_datagram(&non_agent, NO_DATAGRAM_TIMEOUT).await, None);
    subject
        .agent
        .send_to(&answer, subject.return_address)
        .await
        .unwrap();
    assert_eq!(recv_datagram(&fabric, TEST_TIMEOUT).await.unwrap(), answer);
    assert_eq!(
        recv_datagram(&fabric, NO_DATAGRAM_TIMEOUT).await,
        None,
        "answer of a host that is no agent"
    );
    subject.wait_until_dropped("probe", 3).await;
}

/// Guards against invalid input that ends the task, is not counted or has the
/// wrong cause, or blocks valid datagrams.
#[actix_rt::test]
async fn bad_input_is_counted_and_dropped() {
    let (subject, address) = TestBalancer::behind_fabric().await;
    let fabric = socket().await;
    let service = SERVICE.parse().unwrap();
    subject.apply(subject.version(service)).await;
    let valid = with_prefix(service, &short(&cid(1, 10, 1)));
    let mut of_version_3 = valid.clone();
    of_version_3[12] = 0x31;
    let mut passed_on = Vec::new();
    let caller = CALLER.parse().unwrap();
    Endpoints { caller, service }.encode_passed_on(&mut passed_on);
    let unknown_service = with_prefix("198.51.100.2:443".parse().unwrap(), b"");
    let unknown_id = with_prefix(service, &short(&[3; 17]));
    // Including the prefix this is still a valid datagram; it opens a flow.
    let large = with_prefix(service, &long(0, b"chosen", 65_000));
    let to_fabric_socket: [(&str, &[u8]); 7] = [
        ("malformed", b""),
        ("malformed", b"\r\n\r\n\0\r\nQUIT\n"),
        ("malformed", &valid[..20]),
        ("malformed", &passed_on),
        ("version", &of_version_3),
        ("unknown_service", &unknown_service),
        ("unknown_id", &unknown_id),
    ];
    for (_, datagram) in to_fabric_socket {
        fabric.send_to(datagram, address).await.unwrap();
    }
    for datagram in [&b""[..], &valid[..20], &passed_on] {
        subject
            .agent
            .send_to(datagram, subject.return_address)
            .await
            .unwrap();
    }
    fabric.send_to(&large, address).await.unwrap();
    assert_eq!(
        recv_datagram(&subject.agent, TEST_TIMEOUT).await.unwrap(),
        large
    );
    fabric.send_to(&valid, address).await.unwrap();
    assert_eq!(
        recv_datagram(&subject.agent, TEST_TIMEOUT).await.unwrap(),
        valid
    );
    subject.wait_until_dropped("malformed", 7).await;
    for cause in ["version", "unknown_service", "unknown_id"] {
        subject.wait_until_dropped(cause, 1).await;
    }
}

/// Guards against send errors of an unreachable agent that stop datagrams to
/// other agents or are not counted.
#[actix_rt::test]
async fn send_errors_concern_only_their_datagram() {
    let (subject, address) = TestBalancer::behind_fabric().await;
    let fabric = socket().await;
    let closed = socket().await.local_addr().unwrap();
    // The kernel rejects a broadcast address, as SO_BROADCAST is not set.
    let agents = [
        subject.agent.local_addr().unwrap(),
        "255.255.255.255:9".parse().unwrap(),
        closed,
    ];
    let services: Vec<SocketAddr> = (1..=3)
        .map(|n| format!("198.51.100.{n}:443").parse().unwrap())
        .collect();
    let states = agents.iter().zip(&services).zip(1..);
    let states = states.map(|((agent, service), id)| state(id, *service, &[(10, *agent, 1024)]));
    subject
        .apply(snapshot(Some(keys(1, None)), states.collect()))
        .await;
    for _ in 0..100 {
        for service in &services {
            let datagram = with_prefix(*service, &long(0, b"chosen", 1200));
            fabric.send_to(&datagram, address).await.unwrap();
        }
        assert!(recv_datagram(&subject.agent, TEST_TIMEOUT).await.is_some());
    }
    subject.wait_until_dropped("send", 100).await;
    subject.wait_until_dropped("receive", 0).await;
}

/// Guards against versions and answers that are delayed by a flood of datagrams.
#[actix_rt::test]
async fn a_flood_delays_neither_versions_nor_answers() {
    let (subject, address) = TestBalancer::behind_fabric().await;
    let fabric = socket().await;
    let service = SERVICE.parse().unwrap();
    subject.apply(subject.version(service)).await;
    let valid = with_prefix(service, &short(&cid(1, 10, 1)));
    fabric.send_to(&valid, address).await.unwrap();
    assert!(recv_datagram(&subject.agent, TEST_TIMEOUT).await.is_some());

    // Several threads keep the receive queue of the socket filled.
    let until = Instant::now() + Duration::from_secs(2);
    let floods = [(); 4].map(|()| {
        std::thread::spawn(move || {
            let socket = std::net::UdpSocket::bind(loopback()).unwrap();
            let unknown = with_prefix(service, &short(&[3; 17]));
            while Instant::now() < until {
                let _ = socket.send_to(&unknown, address);
            }
        })
    });
    let answer = with_prefix(service, b"answer");
    for _ in 0..20 {
        let started_at = Instant::now();
        subject.apply(subject.version(service)).await;
        subject
            .agent
            .send_to(&answer, subject.return_address)
            .await
            .unwrap();
        assert_eq!(recv_datagram(&fabric, TEST_TIMEOUT).await.unwrap(), answer);
        // A version must be in force within 1 s; the flood lasts longer.
        assert!(started_at.elapsed() < Duration::from_secs(1));
        actix_rt::time::sleep(Duration::from_millis(30)).await;
    }
    for flood in floods {
        flood.join().unwrap();
    }
    assert!(subject.dropped("unknown_id") > 10_000);
}

/// Guards against a balancer that during shutdown still answers probes or
/// reports itself, drops datagrams, or does not end.
#[actix_rt::test]
async fn a_stopping_balancer_leaves_and_still_forwards() {
    let (mut subject, address) = TestBalancer::behind_fabric().await;
    let fabric = socket().await;
    let (service, probe) = (SERVICE.parse().unwrap(), Prefix::probe());
    subject.apply(subject.version(service)).await;
    let valid = with_prefix(service, &short(&cid(1, 10, 1)));
    fabric.send_to(&valid, address).await.unwrap();
    assert!(recv_datagram(&subject.agent, TEST_TIMEOUT).await.is_some());

    let stopped_at = Instant::now();
    subject.stop.send_replace(true);
    timeout(TEST_TIMEOUT, subject.report.changed())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(subject.report.borrow().balancer, None);
    subject
        .agent
        .send_to(&probe, subject.return_address)
        .await
        .unwrap();
    fabric.send_to(&probe, address).await.unwrap();
    subject.wait_until_dropped("probe", 2).await;
    fabric.send_to(&valid, address).await.unwrap();
    assert_eq!(
        recv_datagram(&subject.agent, TEST_TIMEOUT).await.unwrap(),
        valid
    );
    subject
        .agent
        .send_to(&valid, subject.return_address)
        .await
        .unwrap();
    assert_eq!(recv_datagram(&fabric, TEST_TIMEOUT).await.unwrap(), valid);
    timeout(TEST_TIMEOUT, &mut subject.task)
        .await
        .expect("ends")
        .unwrap();
    assert!(stopped_at.elapsed() >= SHUTDOWN_GRACE_PERIOD);
}

/// Guards against an address that is not retried after a failed bind, and
/// against a change of services that loses packets of other services.
#[actix_rt::test]
async fn service_addresses_are_opened_and_closed() {
    // An address that another socket occupies, and a free one.
    let occupied = socket().await;
    let [first, second] = [&occupied, &socket().await].map(|s| s.local_addr().unwrap());
    let elsewhere = "127.0.0.9:4433".parse().unwrap();
    let subject = TestBalancer::start(DirectIngress::new(Some(Ipv4Addr::LOCALHOST.into()))).await;
    let data = subject.agent.local_addr().unwrap();
    let version = |addresses: &[SocketAddr]| {
        let services = addresses
            .iter()
            .zip(1..)
            .map(|(address, id)| state(id, *address, &[(u64::from(id) * 10, data, 1024)]));
        snapshot(Some(keys(1, None)), services.collect())
    };
    subject.apply(version(&[first, second, elsewhere])).await;
    // No socket is bound at an IP address other than the configured one.
    drop(UdpSocket::bind(elsewhere).await.unwrap());

    let caller = socket().await;
    let packet = long(0, b"chosen", 1200);
    let forwarded = async |service: SocketAddr, recv_timeout| {
        caller.send_to(&packet, service).await.unwrap();
        let datagram = recv_datagram(&subject.agent, recv_timeout).await?;
        let (prefix, payload) = Prefix::decode(&datagram).unwrap();
        let endpoints = Endpoints {
            caller: caller.local_addr().unwrap(),
            service,
        };
        assert_eq!((prefix, payload), (Prefix::Proxy(endpoints), &packet[..]));
        Some(())
    };
    assert!(forwarded(second, TEST_TIMEOUT).await.is_some());
    // A datagram of the maximum UDP payload has no space for the prefix.
    caller
        .send_to(&long(0, b"chosen", 65_507), second)
        .await
        .unwrap();
    subject.wait_until_dropped("oversized", 1).await;
    drop(occupied);
    let deadline = Instant::now() + TEST_TIMEOUT;
    while forwarded(first, NO_DATAGRAM_TIMEOUT).await.is_none() {
        assert!(Instant::now() < deadline, "{first} is not opened");
    }
    // Packets in the receive queue are not lost while the other address is
    // closed.
    for _ in 0..50 {
        caller.send_to(&packet, first).await.unwrap();
    }
    subject.apply(version(&[first])).await;
    for n in 0..50 {
        assert!(
            recv_datagram(&subject.agent, TEST_TIMEOUT).await.is_some(),
            "packet {n}"
        );
    }
    assert!(forwarded(second, NO_DATAGRAM_TIMEOUT).await.is_none());
    drop(UdpSocket::bind(second).await.unwrap());
}
