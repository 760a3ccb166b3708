//! Compares the throughput of the balancer for datagram flows without connection
//! ids with a bare UDP relay that makes the same socket calls.
//!
//! Each runs on its own thread and is saturated by two sending threads. The
//! rounds are interleaved, and each ratio is of two rates of the same round.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use actix_rt::System;
use bytes::Bytes;
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use flow::{Load, Segment, SteeringSettings};
use prometheus::Registry;
use relay::{AgentReport, Balancer, BalancerSettings, Codec, ControlUpdate, Message};
use tokio::sync::{mpsc, watch};
use types::{RouteWeight, RoutingRule, RoutingSet, RoutingSetNumber, ServiceName, Slots};

const ROUNDS: usize = 11;

/// Time before each measurement, and its duration.
const WARM_UP: Duration = Duration::from_millis(100);
const MEASUREMENT_WINDOW: Duration = Duration::from_millis(400);

/// Length of each datagram. With a small one the cost of a decision weighs most.
const DATAGRAM_BYTES: usize = 200;

/// Numbers of open flows to measure.
const FLOW_COUNTS: [u32; 2] = [1_000, 100_000];

/// Target for the rate of the balancer relative to the bare relay.
const TARGET_RATIO: f64 = 0.8;

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// A protocol whose datagrams start with the number of the flow, in 4 bytes, and
/// a byte that is 1 if the datagram opens the flow.
#[derive(Debug, Clone, Copy)]
struct NumberedCodec;

impl Codec for NumberedCodec {
    fn parse(&self, datagram: &[u8]) -> Option<Segment> {
        let number = u32::from_be_bytes(datagram.get(..4)?.try_into().ok()?);
        let ip = Ipv4Addr::from_bits(u32::from(Ipv4Addr::new(100, 64, 0, 0)) + (number >> 12));
        let port = u16::try_from(1024 + (number & 0xfff)).ok()?;
        Some(Segment {
            source: SocketAddrV4::new(ip, port),
            destination: SERVICE,
            opens: *datagram.get(4)? == 1,
            len: u16::try_from(datagram.len()).ok()?,
            ..Segment::default()
        })
    }

    fn header<'a>(&self, datagram: &'a [u8]) -> &'a [u8] {
        &datagram[..5]
    }

    fn clear_bounce(&self, _: &mut [u8]) {}

    fn reset(&self, _: &Segment) -> Bytes {
        Bytes::new()
    }
}

fn datagram(flow: u32, opens: bool) -> [u8; DATAGRAM_BYTES] {
    let mut datagram = [0; DATAGRAM_BYTES];
    datagram[..4].copy_from_slice(&flow.to_be_bytes());
    datagram[4] = u8::from(opens);
    datagram
}

fn socket() -> UdpSocket {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket on the loopback")
}

fn free_address() -> SocketAddrV4 {
    match socket().local_addr() {
        Ok(SocketAddr::V4(address)) => address,
        other => panic!("no IPv4 address: {other:?}"),
    }
}

/// The program under test between the senders and the sink.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Subject {
    Bare,
    Balancer,
}

/// Forwards each datagram unchanged.
async fn run_bare_relay(ingress: SocketAddrV4, sink: SocketAddrV4) {
    let from = net::bind_udp(ingress.into()).expect("ingress");
    let to = net::bind_udp(free_address().into()).expect("egress");
    let mut buf = vec![0; 64 * 1024];
    loop {
        if let Ok((len, _)) = from.recv_from(&mut buf).await {
            // A failed send is a lost datagram, which UDP allows.
            let _ = to.send_to(&buf[..len], sink).await;
        }
    }
}

async fn run_balancer(ingress: SocketAddrV4, peer: SocketAddrV4) {
    let (updates, received) = mpsc::channel(4);
    let (ready, _readiness) = watch::channel(false);
    let settings = BalancerSettings {
        ingress_address: ingress,
        peer_address: peer,
        peer_listen_address: peer,
        caller_port: 9,
        data_centre: "dc".parse().expect("a name"),
        link_rate: None,
        fair_queueing: false,
        steering: SteeringSettings::default(),
    };
    let task = Balancer::new(settings, NumberedCodec, received, ready, &Registry::new());
    let rule = RoutingRule {
        weights: [(service_name(), RouteWeight(1))].into(),
        ..RoutingRule::default()
    };
    let routes = RoutingSet {
        number: RoutingSetNumber(1),
        rules: [(SERVICE.into(), rule)].into(),
        ..RoutingSet::default()
    };
    let update = ControlUpdate::Routes(routes.delta_from(None));
    updates.send(update).await.expect("the balancer listens");
    task.expect("a balancer").run().await;
}

fn service_name() -> ServiceName {
    "vouchers".parse().expect("a name")
}

/// Measures the datagrams per second that reach the sink.
fn measure_rate(subject: Subject, flows: u32) -> f64 {
    let sink = socket();
    let Ok(SocketAddr::V4(sink_address)) = sink.local_addr() else {
        panic!("no IPv4 address");
    };
    let (ingress, peer) = (free_address(), free_address());
    // The thread lives until the process ends; without senders it is idle.
    thread::spawn(move || {
        System::new().block_on(async {
            match subject {
                Subject::Bare => run_bare_relay(ingress, sink_address).await,
                Subject::Balancer => run_balancer(ingress, peer).await,
            }
        });
    });
    thread::sleep(WARM_UP);
    if subject == Subject::Balancer {
        open_flows(&sink, ingress, peer, flows);
    }
    let (stop, count) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let counting_thread = {
        let (stop, count) = (stop.clone(), count.clone());
        thread::spawn(move || {
            let mut buf = [0; 2048];
            let limit = Some(Duration::from_millis(20));
            sink.set_read_timeout(limit).expect("a time limit");
            while !stop.load(Ordering::Relaxed) {
                if sink.recv(&mut buf).is_ok() {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            }
        })
    };
    let senders: Vec<_> = (0..2)
        .map(|n| start_sender(n, flows, ingress, stop.clone()))
        .collect();
    thread::sleep(WARM_UP);
    let before = count.load(Ordering::Relaxed);
    thread::sleep(MEASUREMENT_WINDOW);
    let received = count.load(Ordering::Relaxed) - before;
    stop.store(true, Ordering::Relaxed);
    for thread in senders.into_iter().chain([counting_thread]) {
        thread.join().expect("the thread ends");
    }
    #[allow(clippy::cast_precision_loss)]
    let received = received as f64;
    received / MEASUREMENT_WINDOW.as_secs_f64()
}

/// Reports an agent to the balancer and opens the flows at the balancer.
fn open_flows(sink: &UdpSocket, ingress: SocketAddrV4, peer: SocketAddrV4, flows: u32) {
    let report = Message::Report(AgentReport {
        incarnation: 1,
        data_centre: "dc".parse().expect("a name"),
        service: service_name(),
        slots: Slots(8),
        accepting: true,
        load: Load::default(),
    });
    let report = wire::encode(&report).expect("a message");
    let sender = socket();
    for flow in 0..flows {
        if flow % 512 == 0 {
            sink.send_to(&report, peer).expect("sent");
            // Paces the sender, because the balancer must receive each of these
            // datagrams.
            thread::sleep(Duration::from_millis(10));
        }
        sender
            .send_to(&datagram(flow, true), ingress)
            .expect("sent");
    }
    thread::sleep(WARM_UP);
}

fn start_sender(
    n: u32,
    flows: u32,
    ingress: SocketAddrV4,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let socket = socket();
        let mut flow = n;
        while !stop.load(Ordering::Relaxed) {
            flow = (flow + 2) % flows;
            // A failed send is a lost datagram, which UDP allows.
            let _ = socket.send_to(&datagram(flow, false), ingress);
        }
    })
}

fn main() {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "flows",
        "bare, datagrams/s",
        "balancer, datagrams/s",
        "ratio, median (least to most)",
    ]);
    for flows in FLOW_COUNTS {
        let mut rounds: Vec<(f64, f64)> = (0..ROUNDS)
            .map(|_| {
                (
                    measure_rate(Subject::Bare, flows),
                    measure_rate(Subject::Balancer, flows),
                )
            })
            .collect();
        let ratio = |(bare, balancer): &(f64, f64)| balancer / bare;
        rounds.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
        let (bare, balancer) = rounds[ROUNDS / 2];
        let [least, median, most] = [0, ROUNDS / 2, ROUNDS - 1].map(|n| ratio(&rounds[n]));
        table.add_row([
            flows.to_string(),
            format!("{bare:.0}"),
            format!("{balancer:.0}"),
            format!("{median:.2} ({least:.2} to {most:.2})"),
        ]);
    }
    println!("{table}\ntarget: {TARGET_RATIO}");
}
