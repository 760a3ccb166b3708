//! The data path over loopback sockets, with a stand-in for the fabric and for
//! the agent.

mod common;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use actix_rt::{task::JoinHandle, time::timeout};
use balancer::{Datapath, DirectIngress, FabricIngress, Ingress, Metrics, SyncChannels, bind};
use client::{NodeReport, Step};
use common::{cid, keys, long, short, snapshot, state};
use prometheus::Registry;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot, watch},
};
use types::BalancerAnnouncement;
use wire::{Endpoints, Prefix, Update};

/// Longest time for anything in a test to come about.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time after which something is taken not to come.
const SILENCE: Duration = Duration::from_millis(200);

const LINGER: Duration = Duration::from_millis(700);

const SERVICE: &str = "198.51.100.1:443";
const CALLER: &str = "192.0.2.7:50000";

fn local() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

async fn socket() -> UdpSocket {
    UdpSocket::bind(local()).await.unwrap()
}

fn with_prefix(service: SocketAddr, packet: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::new();
    let caller = CALLER.parse().unwrap();
    Endpoints { caller, service }.encode(&mut datagram);
    datagram.extend_from_slice(packet);
    datagram
}

/// The next datagram, unless none comes.
async fn next(socket: &UdpSocket, patience: Duration) -> Option<Vec<u8>> {
    let mut buf = vec![0; 1 << 16];
    let len = timeout(patience, socket.recv(&mut buf))
        .await
        .ok()?
        .unwrap();
    buf.truncate(len);
    Some(buf)
}

/// A running data path.
struct Rig {
    /// Where agents send answers and probes.
    returns: SocketAddr,
    agent: UdpSocket,
    registry: Registry,
    steps: mpsc::Sender<Step>,
    stop: watch::Sender<bool>,
    report: watch::Receiver<NodeReport>,
    task: JoinHandle<()>,
}

impl Rig {
    async fn start(ingress: impl Ingress + 'static) -> Rig {
        let socket_to_agents = bind(local()).unwrap();
        let returns = socket_to_agents.local_addr().unwrap();
        let registry = Registry::new();
        let metrics = Metrics::new(&registry).unwrap();
        let (steps, step_rx) = mpsc::channel(4);
        let (report_tx, report) = watch::channel(NodeReport {
            upstream: None,
            balancer: Some(BalancerAnnouncement {
                return_address: returns,
            }),
        });
        let links = SyncChannels {
            steps: step_rx,
            report: report_tx,
        };
        let (stop, stop_rx) = watch::channel(false);
        let datapath = Datapath::new(ingress, socket_to_agents, links, metrics, LINGER);
        Rig {
            returns,
            agent: socket().await,
            registry,
            steps,
            stop,
            report,
            task: actix_rt::spawn(datapath.run(stop_rx)),
        }
    }

    /// A data path behind a fabric, without a version, and its fabric socket.
    async fn behind_fabric() -> (Rig, SocketAddr) {
        let ingress = FabricIngress::open(local()).unwrap();
        let fabric = ingress.local_addr().unwrap();
        (Rig::start(ingress).await, fabric)
    }

    /// Brings a version and waits until it is in force.
    async fn apply(&self, update: Update) {
        let (tx, rx) = oneshot::channel();
        let step = Step::Update(Box::new(update), tx);
        self.steps.send(step).await.unwrap();
        timeout(PATIENCE, rx)
            .await
            .expect("in force in time")
            .unwrap();
    }

    /// A version in which the stand-in agent has upstream 10 of service 1.
    fn version(&self, address: SocketAddr) -> Update {
        let data = self.agent.local_addr().unwrap();
        let services = vec![state(1, address, &[(10, data, 1024)])];
        snapshot(Some(keys(1, None)), services)
    }

    /// Value of a drop counter.
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
        let deadline = Instant::now() + PATIENCE;
        while self.dropped(cause) != count {
            let dropped = self.dropped(cause);
            assert!(Instant::now() < deadline, "{cause}: {dropped}, not {count}");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Guards against changed bytes in either direction, against answers of hosts
/// that are no agents of the service, and against probes that are answered by
/// a balancer through which answers cannot leave.
#[actix_rt::test]
async fn datagrams_pass_unchanged_and_only_between_fabric_and_agents() {
    let (rig, address) = Rig::behind_fabric().await;
    let (fabric, stranger) = (socket().await, socket().await);
    let (service, probe) = (SERVICE.parse().unwrap(), Prefix::probe());
    fabric.send_to(&probe, address).await.unwrap();
    assert_eq!(next(&fabric, SILENCE).await, None, "no version yet");
    rig.apply(rig.version(service)).await;
    fabric.send_to(&probe, address).await.unwrap();
    assert_eq!(next(&fabric, PATIENCE).await.unwrap(), probe);

    rig.agent.send_to(&probe, rig.returns).await.unwrap();
    assert_eq!(next(&rig.agent, SILENCE).await, None, "no fabric yet");
    for packet in [long(0, b"chosen", 1200), short(&cid(1, 10, 1))] {
        let datagram = with_prefix(service, &packet);
        fabric.send_to(&datagram, address).await.unwrap();
        assert_eq!(next(&rig.agent, PATIENCE).await.unwrap(), datagram);
    }
    rig.agent.send_to(&probe, rig.returns).await.unwrap();
    assert_eq!(next(&rig.agent, PATIENCE).await.unwrap(), probe);

    let answer = with_prefix(service, b"answer");
    stranger.send_to(&answer, rig.returns).await.unwrap();
    stranger.send_to(&probe, rig.returns).await.unwrap();
    rig.wait_until_dropped("sender", 1).await;
    assert_eq!(next(&stranger, SILENCE).await, None);
    rig.agent.send_to(&answer, rig.returns).await.unwrap();
    assert_eq!(next(&fabric, PATIENCE).await.unwrap(), answer);
    assert_eq!(next(&fabric, SILENCE).await, None, "answer of a stranger");
    rig.wait_until_dropped("probe", 3).await;
}

/// Guards against bad input that ends the task, is counted under another cause
/// or not at all, or keeps good datagrams from being forwarded.
#[actix_rt::test]
async fn bad_input_is_counted_and_dropped() {
    let (rig, address) = Rig::behind_fabric().await;
    let fabric = socket().await;
    let service = SERVICE.parse().unwrap();
    rig.apply(rig.version(service)).await;
    let good = with_prefix(service, &short(&cid(1, 10, 1)));
    let mut of_version_3 = good.clone();
    of_version_3[12] = 0x31;
    let mut passed_on = Vec::new();
    let caller = CALLER.parse().unwrap();
    Endpoints { caller, service }.encode_passed_on(&mut passed_on);
    let other = with_prefix("198.51.100.2:443".parse().unwrap(), b"");
    let unknown_id = with_prefix(service, &short(&[3; 17]));
    // With the prefix this one is still a valid datagram, and it opens a flow.
    let large = with_prefix(service, &long(0, b"chosen", 65_000));
    let to_fabric_socket: [(&str, &[u8]); 7] = [
        ("malformed", b""),
        ("malformed", b"\r\n\r\n\0\r\nQUIT\n"),
        ("malformed", &good[..20]),
        ("malformed", &passed_on),
        ("version", &of_version_3),
        ("unknown_service", &other),
        ("unknown_id", &unknown_id),
    ];
    for (_, datagram) in to_fabric_socket {
        fabric.send_to(datagram, address).await.unwrap();
    }
    for datagram in [&b""[..], &good[..20], &passed_on] {
        rig.agent.send_to(datagram, rig.returns).await.unwrap();
    }
    fabric.send_to(&large, address).await.unwrap();
    assert_eq!(next(&rig.agent, PATIENCE).await.unwrap(), large);
    fabric.send_to(&good, address).await.unwrap();
    assert_eq!(next(&rig.agent, PATIENCE).await.unwrap(), good);
    rig.wait_until_dropped("malformed", 7).await;
    for cause in ["version", "unknown_service", "unknown_id"] {
        rig.wait_until_dropped(cause, 1).await;
    }
}

/// Guards against an agent that cannot be reached and by that stops datagrams
/// to others, or is not counted.
#[actix_rt::test]
async fn send_errors_concern_only_their_datagram() {
    let (rig, address) = Rig::behind_fabric().await;
    let fabric = socket().await;
    let closed = socket().await.local_addr().unwrap();
    // The kernel refuses to send to a broadcast address without leave.
    let agents = [
        rig.agent.local_addr().unwrap(),
        "255.255.255.255:9".parse().unwrap(),
        closed,
    ];
    let services: Vec<SocketAddr> = (1..=3)
        .map(|n| format!("198.51.100.{n}:443").parse().unwrap())
        .collect();
    let states = agents.iter().zip(&services).zip(1..);
    let states = states.map(|((agent, service), id)| state(id, *service, &[(10, *agent, 1024)]));
    rig.apply(snapshot(Some(keys(1, None)), states.collect()))
        .await;
    for _ in 0..100 {
        for service in &services {
            let datagram = with_prefix(*service, &long(0, b"chosen", 1200));
            fabric.send_to(&datagram, address).await.unwrap();
        }
        assert!(next(&rig.agent, PATIENCE).await.is_some());
    }
    rig.wait_until_dropped("send", 100).await;
    rig.wait_until_dropped("receive", 0).await;
}

/// Guards against versions that wait behind a flood of datagrams, and against
/// answers that do.
#[actix_rt::test]
async fn a_flood_delays_neither_versions_nor_answers() {
    let (rig, address) = Rig::behind_fabric().await;
    let fabric = socket().await;
    let service = SERVICE.parse().unwrap();
    rig.apply(rig.version(service)).await;
    let good = with_prefix(service, &short(&cid(1, 10, 1)));
    fabric.send_to(&good, address).await.unwrap();
    assert!(next(&rig.agent, PATIENCE).await.is_some());

    // Several threads, so that the socket is never empty meanwhile.
    let until = Instant::now() + Duration::from_secs(2);
    let floods = [(); 4].map(|()| {
        std::thread::spawn(move || {
            let socket = std::net::UdpSocket::bind(local()).unwrap();
            let unknown = with_prefix(service, &short(&[3; 17]));
            while Instant::now() < until {
                let _ = socket.send_to(&unknown, address);
            }
        })
    });
    let answer = with_prefix(service, b"answer");
    for _ in 0..20 {
        let begun = Instant::now();
        rig.apply(rig.version(service)).await;
        rig.agent.send_to(&answer, rig.returns).await.unwrap();
        assert_eq!(next(&fabric, PATIENCE).await.unwrap(), answer);
        // A version is to be in force within a second; the flood is longer.
        assert!(begun.elapsed() < Duration::from_secs(1));
        actix_rt::time::sleep(Duration::from_millis(30)).await;
    }
    for flood in floods {
        flood.join().unwrap();
    }
    assert!(rig.dropped("unknown_id") > 10_000);
}

/// Guards against a stopping balancer that is still chosen, that drops what
/// comes meanwhile, or that never ends.
#[actix_rt::test]
async fn a_stopping_balancer_leaves_and_still_forwards() {
    let (mut rig, address) = Rig::behind_fabric().await;
    let fabric = socket().await;
    let (service, probe) = (SERVICE.parse().unwrap(), Prefix::probe());
    rig.apply(rig.version(service)).await;
    let good = with_prefix(service, &short(&cid(1, 10, 1)));
    fabric.send_to(&good, address).await.unwrap();
    assert!(next(&rig.agent, PATIENCE).await.is_some());

    let stopped_at = Instant::now();
    rig.stop.send_replace(true);
    timeout(PATIENCE, rig.report.changed())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(rig.report.borrow().balancer, None);
    rig.agent.send_to(&probe, rig.returns).await.unwrap();
    fabric.send_to(&probe, address).await.unwrap();
    rig.wait_until_dropped("probe", 2).await;
    fabric.send_to(&good, address).await.unwrap();
    assert_eq!(next(&rig.agent, PATIENCE).await.unwrap(), good);
    rig.agent.send_to(&good, rig.returns).await.unwrap();
    assert_eq!(next(&fabric, PATIENCE).await.unwrap(), good);
    timeout(PATIENCE, &mut rig.task)
        .await
        .expect("ends")
        .unwrap();
    assert!(stopped_at.elapsed() >= LINGER);
}

/// Guards against an address that stays closed after it could not be bound
/// once, and against changes of services that lose packets of others.
#[actix_rt::test]
async fn service_addresses_are_opened_and_closed() {
    // An address that something else holds, and a free one.
    let taken = socket().await;
    let [first, second] = [&taken, &socket().await].map(|s| s.local_addr().unwrap());
    let elsewhere = "127.0.0.9:4433".parse().unwrap();
    let rig = Rig::start(DirectIngress::new(Some(Ipv4Addr::LOCALHOST.into()))).await;
    let data = rig.agent.local_addr().unwrap();
    let version = |addresses: &[SocketAddr]| {
        let services = addresses
            .iter()
            .zip(1..)
            .map(|(address, id)| state(id, *address, &[(u64::from(id) * 10, data, 1024)]));
        snapshot(Some(keys(1, None)), services.collect())
    };
    rig.apply(version(&[first, second, elsewhere])).await;
    // Nothing is opened at another address than the given one.
    drop(UdpSocket::bind(elsewhere).await.unwrap());

    let caller = socket().await;
    let packet = long(0, b"chosen", 1200);
    let forwarded = async |service: SocketAddr, patience| {
        caller.send_to(&packet, service).await.unwrap();
        let datagram = next(&rig.agent, patience).await?;
        let (prefix, payload) = Prefix::decode(&datagram).unwrap();
        let endpoints = Endpoints {
            caller: caller.local_addr().unwrap(),
            service,
        };
        assert_eq!((prefix, payload), (Prefix::Proxy(endpoints), &packet[..]));
        Some(())
    };
    assert!(forwarded(second, PATIENCE).await.is_some());
    // The largest datagram of a caller has no room for the prefix.
    caller
        .send_to(&long(0, b"chosen", 65_507), second)
        .await
        .unwrap();
    rig.wait_until_dropped("oversized", 1).await;
    drop(taken);
    let deadline = Instant::now() + PATIENCE;
    while forwarded(first, SILENCE).await.is_none() {
        assert!(Instant::now() < deadline, "{first} is not opened");
    }
    // Packets that wait while the other address is closed are not lost.
    for _ in 0..50 {
        caller.send_to(&packet, first).await.unwrap();
    }
    rig.apply(version(&[first])).await;
    for n in 0..50 {
        assert!(next(&rig.agent, PATIENCE).await.is_some(), "packet {n}");
    }
    assert!(forwarded(second, SILENCE).await.is_none());
    drop(UdpSocket::bind(second).await.unwrap());
}
