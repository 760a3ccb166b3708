//! Compares the throughput of a balancer's data path with a bare UDP relay that
//! makes the same socket calls.
//!
//! Each runs on its own thread and is saturated by two sending threads. The
//! rounds are interleaved, and each ratio is of two rates of the same round.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    future::poll_fn,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    thread,
    time::{Duration, Instant},
};

use balancer::{Datapath, FabricIngress, Metrics, SyncChannels, bind};
use client::{NodeAnnouncement, SyncEvent};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use prometheus::{IntCounter, Registry};
use tokio::{
    io::ReadBuf,
    sync::{mpsc, oneshot, watch},
};
use types::{
    CidKey, KeyGeneration, KeySet, Revision, Service, ServiceId, ServiceState, Share, UpstreamId,
    UpstreamMember, UpstreamState, Version,
};
use wire::{CidCodec, ConnectionId, Endpoints, ServiceTag, Update};

const ROUNDS: usize = 21;

/// Time before each measurement, and its duration.
const WARM_UP: Duration = Duration::from_millis(100);
const MEASUREMENT_WINDOW: Duration = Duration::from_millis(400);

/// Length of each QUIC packet. With a small one the cost of a decision weighs
/// most.
const PACKET_BYTES: usize = 200;

/// Number of datagrams that the relay receives before it yields, as the data path
/// does.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Target for the rate of the balancer relative to the bare relay.
const TARGET_RATIO: f64 = 0.8;

/// Size of a routing table and number of flows through it.
#[derive(Debug, Clone, Copy)]
struct TableSize {
    services: u32,
    upstreams: u32,
    flows: usize,
}

const TABLE_SIZES: [TableSize; 3] = [
    TableSize {
        services: 1,
        upstreams: 14,
        flows: 1_000,
    },
    TableSize {
        services: 1,
        upstreams: 14,
        flows: 100_000,
    },
    TableSize {
        services: 52_000,
        upstreams: 89_000,
        flows: 100_000,
    },
];

/// A running program under test, on its own thread.
struct Subject {
    /// Address that receives the datagrams.
    address: SocketAddr,
    forwarded: Counter,
    /// Directory of the thread in procfs.
    thread_dir: String,
    /// Growth of the resident memory when the first version was applied.
    table_kib: u64,
    /// Times to apply the first version, and a second one that contains every
    /// service again, as after a change of the control leader.
    apply_times: [Duration; 2],
}

enum Counter {
    Balancer(IntCounter),
    Relay(Arc<AtomicU64>),
}

impl Counter {
    fn get(&self) -> u64 {
        match self {
            Counter::Balancer(counter) => counter.get(),
            Counter::Relay(counter) => counter.load(Ordering::Relaxed),
        }
    }
}

/// Rate and cost in one measurement window.
#[derive(Debug, Clone, Copy)]
struct Sample {
    per_second: f64,
    cpu_nanos: f64,
}

fn main() {
    // Receives on all upstream addresses. It is never read, so the kernel drops
    // what exceeds its buffer.
    let sink = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).expect("sink");
    let port = sink.local_addr().expect("address").port();
    let mut samples: Vec<[Vec<Sample>; 2]> =
        TABLE_SIZES.iter().map(|_| Default::default()).collect();
    let subjects: Vec<_> = TABLE_SIZES
        .iter()
        .map(|size| {
            let hops = (0..size.upstreams)
                .map(|n| upstream_address(n, port))
                .collect();
            (flow_datagrams(*size), [relay(hops), balancer(*size, port)])
        })
        .collect();
    let rss_before = rss_kib();
    for round in 0..ROUNDS {
        for (at, (datagrams, pair)) in subjects.iter().enumerate() {
            // Alternates which of the two is measured first.
            for side in [round % 2, (round + 1) % 2] {
                samples[at][side].push(measure(&pair[side], datagrams));
            }
        }
    }
    let rss_after = rss_kib();
    report(&subjects, &samples);
    println!("resident memory before the rounds {rss_before} KiB, after them {rss_after} KiB");
}

fn report(subjects: &[(Vec<Vec<u8>>, [Subject; 2])], samples: &[[Vec<Sample>; 2]]) {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "services",
        "upstreams",
        "flows",
        "relay/s",
        "balancer/s",
        "ratio",
        "cpu ns relay",
        "cpu ns balancer",
        "table KiB",
        "apply ms",
        "target",
    ]);
    for ((size, pair), (_, [_, subject])) in TABLE_SIZES.iter().zip(samples).zip(subjects) {
        let [relay, balancer] = pair;
        let ratios = relay
            .iter()
            .zip(balancer)
            .map(|(r, b)| b.per_second / r.per_second);
        let ratios: Vec<f64> = ratios.collect();
        let rate = |samples: &[Sample]| median_and_range(samples.iter().map(|s| s.per_second), 0);
        let cost = |samples: &[Sample]| median_and_range(samples.iter().map(|s| s.cpu_nanos), 0);
        let met = median(&ratios) >= TARGET_RATIO;
        table.add_row([
            size.services.to_string(),
            size.upstreams.to_string(),
            size.flows.to_string(),
            rate(relay),
            rate(balancer),
            median_and_range(ratios.iter().copied(), 2),
            cost(relay),
            cost(balancer),
            subject.table_kib.to_string(),
            subject
                .apply_times
                .map(|time| time.as_millis().to_string())
                .join(", "),
            if met { "met" } else { "missed" }.into(),
        ]);
    }
    println!(
        "median [least to greatest] of {ROUNDS} rounds, packets of {PACKET_BYTES} bytes\n{table}"
    );
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

fn median_and_range(values: impl Iterator<Item = f64>, digits: usize) -> String {
    let values: Vec<f64> = values.collect();
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let greatest = values.iter().copied().fold(0.0, f64::max);
    let middle = median(&values);
    format!("{middle:.digits$} [{least:.digits$} to {greatest:.digits$}]")
}

/// Saturates `subject` and measures it once the load is steady.
fn measure(subject: &Subject, datagrams: &[Vec<u8>]) -> Sample {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for half in 0..2 {
            let (done, address) = (&done, subject.address);
            let part = datagrams.iter().skip(half * datagrams.len() / 2);
            let part = part.chain(datagrams.iter().take(half * datagrams.len() / 2));
            scope.spawn(move || {
                let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("sender");
                for datagram in part.cycle() {
                    if done.load(Ordering::Relaxed) {
                        return;
                    }
                    let _ = socket.send_to(datagram, address);
                }
            });
        }
        thread::sleep(WARM_UP);
        let (begun, count, cpu) = (
            Instant::now(),
            subject.forwarded.get(),
            thread_cpu_nanos(&subject.thread_dir),
        );
        thread::sleep(MEASUREMENT_WINDOW);
        let (count, cpu) = (
            subject.forwarded.get() - count,
            thread_cpu_nanos(&subject.thread_dir) - cpu,
        );
        let elapsed = begun.elapsed().as_secs_f64();
        done.store(true, Ordering::Relaxed);
        #[allow(clippy::cast_precision_loss)]
        Sample {
            per_second: count as f64 / elapsed,
            cpu_nanos: cpu as f64 / count as f64,
        }
    })
}

/// CPU time that a thread has used, in nanoseconds.
fn thread_cpu_nanos(thread_dir: &str) -> u64 {
    let text = fs::read_to_string(format!("{thread_dir}/schedstat")).expect("schedstat");
    let first = text.split_whitespace().next().expect("run time");
    first.parse().expect("nanoseconds")
}

fn rss_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/status").expect("status");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.expect("VmRSS").parse().expect("KiB")
}

fn this_thread_dir() -> String {
    let link = fs::read_link("/proc/thread-self").expect("procfs");
    format!("/proc/{}", link.display())
}

fn upstream_address(n: u32, port: u16) -> SocketAddr {
    let [_, a, b, c] = n.to_be_bytes();
    (Ipv4Addr::new(127, 100 + a, b, c), port).into()
}

fn service_address(n: u32) -> SocketAddr {
    let [_, a, b, c] = n.to_be_bytes();
    (Ipv4Addr::new(10, a, b, c), 443).into()
}

/// Service of an upstream. If there are more upstreams than services, the first
/// services have one upstream more than the others.
fn service_of(size: TableSize, upstream: u32) -> u32 {
    upstream % size.services
}

fn upstream_id(upstream: u32) -> UpstreamId {
    UpstreamId(u64::from(upstream).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn keys() -> KeySet {
    let key = |generation, byte| CidKey {
        generation: KeyGeneration(generation),
        secret: [byte; 16],
    };
    KeySet {
        current: key(1, 7),
        other: Some(key(0, 3)),
    }
}

/// One datagram of each flow, with the prefix of the fabric.
fn flow_datagrams(size: TableSize) -> Vec<Vec<u8>> {
    let codec = CidCodec::new(&keys());
    let flow = |n: usize| {
        let n = u32::try_from(n).expect("few flows");
        let upstream = n.wrapping_mul(7919) % size.upstreams;
        let service_id = service_of(size, upstream);
        let cid = codec.encode(
            &ConnectionId {
                upstream: upstream_id(upstream),
                tag: ServiceTag::from(ServiceId(service_id)),
                nonce: n,
            },
            0,
        );
        let caller = (Ipv4Addr::from_bits(0xc612_0000 + (n & 0xffff)), 50_000).into();
        let mut datagram = Vec::with_capacity(wire::MAX_PREFIX_LEN + PACKET_BYTES);
        let service = service_address(service_id);
        Endpoints { caller, service }.encode(&mut datagram);
        let start = datagram.len();
        datagram.push(0x40);
        datagram.extend_from_slice(&cid);
        datagram.resize(start + PACKET_BYTES, 0);
        datagram
    };
    (0..size.flows).map(flow).collect()
}

fn full_update(size: TableSize, port: u16) -> Update {
    let mut members: BTreeMap<u32, BTreeMap<UpstreamId, UpstreamMember>> = BTreeMap::new();
    for n in 0..size.upstreams {
        let member = UpstreamMember {
            host: format!("h{n}").parse().expect("name"),
            data_centre: "dc1".parse().expect("name"),
            data_address: upstream_address(n, port),
            peer_address: upstream_address(n, port),
            state: UpstreamState::Ready,
            share: Share::FULL,
            previous_share: Share::FULL,
            evacuated: false,
        };
        let of_service = members.entry(service_of(size, n)).or_default();
        of_service.insert(upstream_id(n), member);
    }
    let state = |(n, members)| ServiceState {
        service: Service {
            id: ServiceId(n),
            name: format!("s{n}").parse().expect("name"),
            address: service_address(n),
            revision: Revision(1),
            author: "bench".parse().expect("name"),
            targets: BTreeMap::new(),
        },
        members,
        version: Version::default(),
    };
    Update {
        version: Version::default(),
        is_snapshot: true,
        keys: Some(keys()),
        services: members.into_iter().map(state).collect(),
        removed_services: Vec::new(),
        balancers: BTreeMap::new(),
        draining_hosts: BTreeSet::new(),
        loads: BTreeMap::new(),
    }
}

/// Starts the data path of a balancer and applies a table of this size.
fn balancer(size: TableSize, port: u16) -> Subject {
    let metrics = Metrics::new(&Registry::new()).expect("metrics");
    let forwarded = Counter::Balancer(metrics.forwarded_datagrams.clone());
    let (steps, step_rx) = mpsc::channel(1);
    let (started_tx, started_rx) = oneshot::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let ingress = FabricIngress::open(any_loopback_port()).expect("fabric socket");
            let address = ingress.local_addr().expect("address");
            started_tx
                .send((address, this_thread_dir()))
                .expect("main waits");
            let agents = bind(any_loopback_port()).expect("agent socket");
            let (report, _) = watch::channel(NodeAnnouncement::default());
            let links = SyncChannels {
                steps: step_rx,
                report,
            };
            // Never set: the data path runs until the process ends.
            let (_stop, stop) = watch::channel(false);
            Datapath::new(ingress, agents, links, metrics, Duration::ZERO)
                .run(stop)
                .await;
        });
    });
    let (address, thread_dir) = started_rx.blocking_recv().expect("started");
    let mut table_kib = 0;
    let apply_times = [(); 2].map(|()| {
        let update = Box::new(full_update(size, port));
        let before = rss_kib();
        let begun = Instant::now();
        let (tx, rx) = oneshot::channel();
        assert!(steps.blocking_send(SyncEvent::Update(update, tx)).is_ok());
        rx.blocking_recv().expect("in force");
        let elapsed = begun.elapsed();
        if table_kib == 0 {
            table_kib = rss_kib().saturating_sub(before);
        }
        elapsed
    });
    // The data path would end if the sender of its updates were dropped.
    std::mem::forget(steps);
    Subject {
        address,
        forwarded,
        thread_dir,
        table_kib,
        apply_times,
    }
}

fn any_loopback_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts a relay that sends each datagram to the next of `hops`.
fn relay(hops: Vec<SocketAddr>) -> Subject {
    let forwarded = Arc::new(AtomicU64::new(0));
    let counter = forwarded.clone();
    let (started_tx, started_rx) = oneshot::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let receiver = bind(any_loopback_port()).expect("socket");
            let sender = bind(any_loopback_port()).expect("socket");
            let address = receiver.local_addr().expect("address");
            started_tx
                .send((address, this_thread_dir()))
                .expect("main waits");
            let mut relay = Relay {
                receiver,
                sender,
                next: 0,
                hops,
                buf: vec![0; 1 << 16],
                forwarded: counter,
            };
            loop {
                poll_fn(|cx| relay.poll(cx)).await;
            }
        });
    });
    let (address, thread_dir) = started_rx.blocking_recv().expect("started");
    Subject {
        address,
        forwarded: Counter::Relay(forwarded),
        thread_dir,
        table_kib: 0,
        apply_times: [Duration::ZERO; 2],
    }
}

struct Relay {
    receiver: tokio::net::UdpSocket,
    sender: tokio::net::UdpSocket,
    hops: Vec<SocketAddr>,
    next: usize,
    buf: Vec<u8>,
    forwarded: Arc<AtomicU64>,
}

impl Relay {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let mut read = ReadBuf::new(&mut self.buf);
            match self.receiver.poll_recv_from(cx, &mut read) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => {}
                Poll::Ready(Ok(_)) => {
                    self.next = (self.next + 1) % self.hops.len();
                    if self
                        .sender
                        .try_send_to(read.filled(), self.hops[self.next])
                        .is_ok()
                    {
                        self.forwarded.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
        }
        Poll::Ready(())
    }
}
