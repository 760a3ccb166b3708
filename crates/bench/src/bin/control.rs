//! Measures the control group: three control hosts, each on its own thread, and
//! nodes as tasks, over the loopback interface. Takes less than two minutes.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    hint::black_box,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use actix_rt::{System, task::JoinHandle, time::sleep};
use client::{HttpClient, NodeAnnouncement, OperatorClient, SyncEvent, SyncSettings, SyncTask};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use control::process::LiveNodes;
use hdrhistogram::Histogram;
use member::Registry;
use tempfile::TempDir;
use tokio::sync::{mpsc, watch};
use types::{
    Answer, BalancerAnnouncement, Change, ChangeId, ChangeRequest, ClassLoad, ClassLoads,
    Connections, HostName, Revision, Role, ServiceId, Slots, Target, Term, UpstreamAnnouncement,
    UpstreamId, UpstreamState, Version,
};
use wire::{ServiceSubset, SyncReply, SyncRequest, request::ChangeReply};

/// Timeout for a change and for its distribution.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const SERVICES: [&str; 2] = ["booking", "intake"];

fn main() {
    measure_state_codec();
    measure_announcements();
    System::new().block_on(measure_group());
}

fn table<const N: usize>(title: &str, columns: [&str; N]) -> Table {
    println!("\n{title}");
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(columns);
    table
}

fn format_millis(micros: u64) -> String {
    format!("{}.{:03}", micros / 1000, micros % 1000)
}

fn as_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap()
}

fn request(base: Revision, change: Change) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId::generate(),
        author: "bench".parse().unwrap(),
        base,
        change,
    }
}

fn create_service(name: &str, n: u32) -> Change {
    let address = std::net::Ipv4Addr::from(0x0a00_0000 + n);
    Change::CreateService {
        name: name.parse().unwrap(),
        address: (address, 443).into(),
    }
}

fn set_target(service: &str, carry: u32) -> Change {
    Change::SetTarget {
        service: service.parse().unwrap(),
        class: "default".parse().unwrap(),
        target: Target {
            carry: Slots(carry),
            ..Target::default()
        },
    }
}

/// Measures the encoded size of the state and the times to encode, decode and
/// change it, by number of services.
fn measure_state_codec() {
    let mut table = table(
        "State by number of services, each with one target",
        [
            "services",
            "bytes",
            "encode ms",
            "decode ms",
            "one change us",
        ],
    );
    for count in [100u32, 1_000, 10_000, 52_000] {
        let mut state = config::ConfigState::default();
        let mut index = 0;
        let mut apply = |state: &mut config::ConfigState, base, change| {
            index += 1;
            let req = request(base, change);
            state.apply(Revision(index), req.id.created_at(), &req);
            Revision(index)
        };
        for n in 0..count {
            let name = format!("service-{n}");
            let base = apply(&mut state, Revision(0), create_service(&name, n));
            apply(&mut state, base, set_target(&name, 7));
        }
        let started = Instant::now();
        let mut bytes = Vec::new();
        state.encode(&mut bytes).unwrap();
        let encode_time = started.elapsed();
        let started = Instant::now();
        black_box(config::ConfigState::decode(&bytes[..]).unwrap());
        let decode_time = started.elapsed();
        let mut base = state.revision();
        let name = format!("service-{}", count - 1);
        let started = Instant::now();
        for n in 0..100 {
            base = apply(&mut state, base, set_target(&name, n + 1));
        }
        let change_time = started.elapsed() / 100;
        table.add_row([
            count.to_string(),
            bytes.len().to_string(),
            format_millis(as_micros(encode_time)),
            format_millis(as_micros(decode_time)),
            as_micros(change_time).to_string(),
        ]);
    }
    println!("{table}");
}

fn loads(in_flight: u32) -> ClassLoads {
    let load = ClassLoad {
        slots: Slots(7),
        in_flight: Slots(in_flight),
        queued: Slots(0),
    };
    BTreeMap::from([("default".parse().unwrap(), load)])
}

fn announcement(n: u32, service: &str) -> UpstreamAnnouncement {
    let address = std::net::Ipv4Addr::from(0x0a00_0000 + n);
    UpstreamAnnouncement {
        id: UpstreamId(u64::from(n) + 1),
        service: service.parse().unwrap(),
        data_centre: "sofia".parse().unwrap(),
        data_address: (address, 7200).into(),
        peer_address: (address, 7201).into(),
        state: UpstreamState::Ready,
        connections: Connections(1000),
        loads: loads(3),
        ready_for: Duration::from_mins(1),
    }
}

fn sync_request(host: HostName, have: Option<Version>) -> SyncRequest {
    SyncRequest {
        host,
        role: Role::Balancer,
        data_centre: "sofia".parse().unwrap(),
        applied_version: have,
        subset: ServiceSubset::All,
        max_wait: Duration::ZERO,
        upstream: None,
        balancer: None,
    }
}

/// Measures the cost of an announcement at the leader, by number of upstreams.
fn measure_announcements() {
    let mut table = table(
        "One announcement at the leader, 10 upstreams a service",
        ["upstreams", "registry us", "node us"],
    );
    for count in [10u32, 1_000, 10_000, 89_000] {
        let start = Instant::now();
        let mut registry = Registry::new(member::Settings::default(), start, Term(1));
        let service = |n: u32| format!("service-{}", n / 10);
        for id in 0..count.div_ceil(10) {
            let name = service(id * 10).parse().unwrap();
            registry.set_service(ServiceId(id), &name, &BTreeMap::new());
        }
        let host = |n: u32| -> HostName { format!("app-{n}").parse().unwrap() };
        let sent: Vec<_> = (0..count)
            .map(|n| (host(n), announcement(n, &service(n))))
            .collect();
        for (host, announcement) in &sent {
            registry.announce(start, host, announcement);
        }
        registry.tick(registry.first_publish_at());
        let now = registry.first_publish_at();
        let rounds = 200_000 / count;
        let started = Instant::now();
        for _ in 0..rounds {
            for (host, announcement) in &sent {
                registry.announce(now, host, announcement);
            }
        }
        let announce_time = started.elapsed();
        let requests: Vec<_> = (0..count).map(|n| sync_request(host(n), None)).collect();
        let mut nodes = LiveNodes::default();
        let started = Instant::now();
        for _ in 0..rounds {
            for request in &requests {
                nodes.record_sync(now, request);
            }
        }
        let note_time = started.elapsed();
        let each = |time: Duration| {
            let nanos = time.as_nanos() / u128::from(rounds * count);
            format!("{}.{:03}", nanos / 1000, nanos % 1000)
        };
        table.add_row([count.to_string(), each(announce_time), each(note_time)]);
    }
    println!("{table}");
}

/// A control host on its own thread.
struct Host {
    metrics: prometheus::Registry,
    stop: watch::Sender<bool>,
    thread: thread::JoinHandle<()>,
}

impl Host {
    fn start(settings: control::Settings) -> Self {
        let metrics = prometheus::Registry::new();
        let registry = metrics.clone();
        let (stop, stopped) = watch::channel(false);
        let run = move || {
            System::new()
                .block_on(control::run(settings, &registry, stopped))
                .unwrap();
        };
        Host {
            metrics,
            stop,
            thread: thread::spawn(run),
        }
    }

    fn gauge(&self, name: &str) -> f64 {
        let families = self.metrics.gather();
        let family = families.iter().find(|family| family.name() == name);
        family.map_or(0.0, |family| family.get_metric()[0].get_gauge().get_value())
    }
}

/// The revisions that a node applied, with the time of each.
type AppliedRevisions = Rc<RefCell<Vec<(Revision, Instant)>>>;

/// A node that runs as two tasks.
struct Node {
    role: Role,
    http: HttpClient,
    applied: AppliedRevisions,
    tasks: [JoinHandle<()>; 2],
    /// Keeps the channel of reports open, which the sync task reads.
    report: watch::Sender<NodeAnnouncement>,
}

impl Node {
    fn start(control: &[SocketAddr], host: &str, role: Role, report: NodeAnnouncement) -> Node {
        let mut cfg = SyncSettings::new(
            host.parse().unwrap(),
            role,
            "sofia".parse().unwrap(),
            control.to_vec(),
        );
        if let Some(upstream) = &report.upstream {
            cfg.subset = ServiceSubset::Named([upstream.service.clone()].into());
        }
        let http = HttpClient::default();
        let applied: AppliedRevisions = Rc::default();
        let (report, reports) = watch::channel(report);
        let (tx, mut rx) = mpsc::channel(4);
        let sync = actix_rt::spawn(SyncTask::new(cfg, http.clone(), reports, tx).run());
        let record = applied.clone();
        let apply = actix_rt::spawn(async move {
            while let Some(step) = rx.recv().await {
                if let SyncEvent::Update(update, done) = step {
                    let entry = (update.version.revision, Instant::now());
                    record.borrow_mut().push(entry);
                    let _ = done.send(());
                }
            }
        });
        Node {
            role,
            http,
            applied,
            tasks: [sync, apply],
            report,
        }
    }

    /// When the node applied a revision or a later one, if it has.
    fn applied_at(&self, revision: Revision) -> Option<Instant> {
        let applied = self.applied.borrow();
        let first = applied.iter().find(|(have, _)| *have >= revision);
        first.map(|(_, at)| *at)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

struct Group {
    control: Vec<SocketAddr>,
    hosts: Vec<Host>,
    operator: OperatorClient,
    base: Revision,
    carry: u32,
    _dir: TempDir,
}

impl Group {
    async fn start() -> Group {
        let dir = tempfile::tempdir().unwrap();
        let control: Vec<SocketAddr> = (1..=3).map(|n| ([127, 79, 0, n], 7000).into()).collect();
        let hosts = control.iter().enumerate().map(|(n, listen)| {
            Host::start(control::Settings {
                listen: *listen,
                data_dir: dir.path().join(n.to_string()),
                initial_group: control.iter().copied().collect(),
                ..control::Settings::default()
            })
        });
        let mut group = Group {
            hosts: hosts.collect(),
            operator: OperatorClient::new(HttpClient::default(), control.clone()),
            control,
            base: Revision(0),
            carry: 0,
            _dir: dir,
        };
        for (n, name) in (0..).zip(SERVICES) {
            group.send(Revision(0), create_service(name, n)).await;
        }
        group.base = Revision(0);
        group
    }

    /// Sends a change. Returns its revision and the time of the answer.
    async fn send(&mut self, base: Revision, change: Change) -> (Revision, Instant) {
        let req = request(base, change);
        let reply = self
            .operator
            .change(&req, Instant::now() + WAIT_TIMEOUT)
            .await;
        let ChangeReply::Final(answer) = reply else {
            panic!("expected a final answer, got {reply:?}");
        };
        match answer {
            Answer::Accepted(revision) => (revision, Instant::now()),
            // The first change has no base revision; the conflict contains it.
            Answer::Conflict(conflict) => Box::pin(self.send(conflict.winner, req.change)).await,
            Answer::Refused(refusal) => panic!("refused: {refusal}"),
        }
    }

    /// Changes the target of the first service.
    async fn change(&mut self) -> (Revision, Instant) {
        self.carry += 1;
        let change = set_target(SERVICES[0], self.carry);
        let (revision, at) = self.send(self.base, change).await;
        self.base = revision;
        (revision, at)
    }

    fn leader(&self) -> usize {
        let leads = |host: &Host| host.gauge("limpet_control_leader") > 0.0;
        self.hosts.iter().position(leads).expect("a leader")
    }
}

async fn measure_group() {
    let mut group = Group::start().await;
    measure_acceptance(&mut group).await;
    measure_distribution(&mut group).await;
    measure_traffic(&mut group).await;
    measure_catch_up(&mut group).await;
    for host in group.hosts {
        host.stop.send_replace(true);
        host.thread.join().unwrap();
    }
}

async fn measure_acceptance(group: &mut Group) {
    group.change().await;
    let leader = group.leader();
    let syncs = |group: &Group| group.hosts[leader].gauge("limpet_control_disk_syncs");
    let before = syncs(group);
    let mut times = Histogram::<u64>::new(3).unwrap();
    let count = 500u32;
    for _ in 0..count {
        let asked = Instant::now();
        let (_, at) = group.change().await;
        times.record(as_micros(at - asked)).unwrap();
    }
    let mut table = table(
        "Acceptance of a change, one after the other, three hosts",
        [
            "changes",
            "p50 ms",
            "p99 ms",
            "syncs a change at the leader",
        ],
    );
    table.add_row([
        count.to_string(),
        format_millis(times.value_at_quantile(0.5)),
        format_millis(times.value_at_quantile(0.99)),
        format!("{:.2}", (syncs(group) - before) / f64::from(count)),
    ]);
    println!("{table}");
}

/// Waits until every node has applied a revision.
async fn wait_until_applied(nodes: &[Node], revision: Revision) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while nodes.iter().any(|node| node.applied_at(revision).is_none()) {
        assert!(
            Instant::now() < deadline,
            "a node has not applied {revision} within {WAIT_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

async fn measure_distribution(group: &mut Group) {
    let mut table = table(
        "From the answer to a change until it is in force",
        ["nodes", "pause ms", "changes", "p50 ms", "p99 ms", "max ms"],
    );
    for count in [1u32, 10, 100, 1_000] {
        let nodes: Vec<Node> = (0..count)
            .map(|n| {
                let host = format!("lb-{n}");
                Node::start(
                    &group.control,
                    &host,
                    Role::Balancer,
                    NodeAnnouncement::default(),
                )
            })
            .collect();
        wait_until_applied(&nodes, group.base).await;
        sleep(Duration::from_secs(1)).await;
        // Changes with long intervals, and in quick succession.
        for (pause, changes) in [(613, 8), (137, 12)] {
            let times = distribution_times(group, &nodes, pause, changes).await;
            table.add_row([
                count.to_string(),
                pause.to_string(),
                changes.to_string(),
                format_millis(times.value_at_quantile(0.5)),
                format_millis(times.value_at_quantile(0.99)),
                format_millis(times.max()),
            ]);
        }
    }
    println!("{table}");
}

/// Makes changes; returns the times from their acceptance until each node has
/// applied them.
async fn distribution_times(
    group: &mut Group,
    nodes: &[Node],
    pause: u64,
    changes: u32,
) -> Histogram<u64> {
    let mut accepted = Vec::new();
    for _ in 0..changes {
        accepted.push(group.change().await);
        sleep(Duration::from_millis(pause)).await;
    }
    wait_until_applied(nodes, group.base).await;
    let mut times = Histogram::new(3).unwrap();
    for (revision, accepted) in accepted {
        for node in nodes {
            let at = node.applied_at(revision).unwrap_or(accepted);
            let time = at.saturating_duration_since(accepted);
            times.record(as_micros(time)).unwrap();
        }
    }
    times
}

/// Lengths in bytes of the heads of a sync request and of its reply.
async fn head_lengths(leader: SocketAddr) -> (u64, u64) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let req = sync_request("lb-0".parse().unwrap(), None);
    let body = wire::encode(&req).unwrap();
    let sent = thread::spawn(move || head_length(&mut listener.accept().unwrap().0));
    let deadline = Instant::now() + Duration::from_millis(300);
    let _: client::Result<SyncReply> = HttpClient::default()
        .post(address, "/v1/sync", &req, deadline)
        .await;
    let mut stream = TcpStream::connect(leader).unwrap();
    let len = body.len();
    let start =
        format!("POST /v1/sync HTTP/1.1\r\nhost: {leader}\r\ncontent-length: {len}\r\n\r\n");
    stream.write_all(start.as_bytes()).unwrap();
    stream.write_all(&body).unwrap();
    (sent.join().unwrap(), head_length(&mut stream))
}

fn head_length(stream: &mut TcpStream) -> u64 {
    let mut bytes = Vec::new();
    let mut buf = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut buf).unwrap();
        bytes.push(buf[0]);
    }
    bytes.len() as u64
}

/// Starts the nodes of the site of an early user: 10 upstreams and 4 balancers.
fn start_user_nodes(control: &[SocketAddr]) -> Vec<Node> {
    let agents = (0..10).map(|n| {
        let service = SERVICES[usize::from(n >= 7)];
        let report = NodeAnnouncement {
            upstream: Some(announcement(n, service)),
            balancer: None,
        };
        Node::start(control, &format!("app-{n}"), Role::Agent, report)
    });
    let balancers = (0..4u8).map(|n| {
        let return_address = ([127, 79, 1, n], 7100).into();
        let report = NodeAnnouncement {
            upstream: None,
            balancer: Some(BalancerAnnouncement { return_address }),
        };
        Node::start(control, &format!("lb-{n}"), Role::Balancer, report)
    });
    agents.chain(balancers).collect()
}

async fn measure_traffic(group: &mut Group) {
    let (request_head, reply_head) = head_lengths(group.control[group.leader()]).await;
    let nodes = start_user_nodes(&group.control);
    // Waits until every upstream has its full share.
    sleep(Duration::from_secs(14)).await;
    let title = format!(
        "Bytes a second of a node, both ways, heads of {request_head} and {reply_head} bytes included"
    );
    let mut table = table(
        &title,
        [
            "changes a second",
            "role",
            "requests/s",
            "sent",
            "received",
            "sum",
        ],
    );
    for (rate, pause, rounds) in [("0", 8_000, 0), ("0.2", 5_000, 2), ("5", 200, 40)] {
        let before: Vec<_> = nodes.iter().map(|node| node.http.traffic()).collect();
        let started = Instant::now();
        for n in 0..u32::max(rounds, 1) {
            if n < rounds {
                group.change().await;
            }
            // Loads change all the time, without a notification to the sync task.
            for (id, node) in nodes.iter().enumerate() {
                node.report.send_if_modified(|report| {
                    if let Some(upstream) = &mut report.upstream {
                        upstream.loads = loads((u32::try_from(id).unwrap() + n) % 7);
                    }
                    false
                });
            }
            sleep(Duration::from_millis(pause)).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        for role in [Role::Agent, Role::Balancer] {
            let mut sums = [0u64; 3];
            let mut count = 0u32;
            for (node, before) in nodes.iter().zip(&before) {
                if node.role == role {
                    let now = node.http.traffic();
                    count += 1;
                    sums[0] += now.requests - before.requests;
                    sums[1] += now.sent_bytes - before.sent_bytes;
                    sums[2] += now.received_bytes - before.received_bytes;
                }
            }
            let [requests, sent, received] = sums;
            let sent = sent + requests * request_head;
            let received = received + requests * reply_head;
            #[allow(clippy::cast_precision_loss)]
            let each = |sum: u64| format!("{:.1}", sum as f64 / seconds / f64::from(count));
            table.add_row([
                rate.into(),
                role.to_string(),
                each(requests),
                each(sent),
                each(received),
                each(sent + received),
            ]);
        }
    }
    println!("{table}");
}

async fn measure_catch_up(group: &mut Group) {
    let _nodes = start_user_nodes(&group.control);
    sleep(Duration::from_secs(4)).await;
    let leader = group.control[group.leader()];
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let http = HttpClient::default();
    let sync = async |have| -> SyncReply {
        let req = sync_request("lb-9".parse().unwrap(), have);
        http.post(leader, "/v1/sync", &req, deadline).await.unwrap()
    };
    let SyncReply::Update(update) = sync(None).await else {
        panic!("the first sync returned no update");
    };
    let have = update.version;
    for _ in 0..500 {
        group.change().await;
    }
    let mut table = table(
        "Catching up after 500 changes",
        ["node has", "replies", "body bytes", "ms"],
    );
    for (name, have) in [("the version before", Some(have)), ("nothing", None)] {
        let before = http.traffic();
        let asked = Instant::now();
        let reply = sync(have).await;
        let time = asked.elapsed();
        let SyncReply::Update(update) = reply else {
            panic!("expected an update, got {reply:?}");
        };
        assert!(update.version.revision >= group.base);
        let bytes = http.traffic().received_bytes - before.received_bytes;
        table.add_row([
            name.into(),
            "1".into(),
            bytes.to_string(),
            format_millis(as_micros(time)),
        ]);
    }
    println!("{table}");
}
