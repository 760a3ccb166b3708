//! Tests of control hosts that run in the test process, with real sockets and a
//! disk that can run full.

mod common;

use std::{
    fs::File,
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use actix_rt::{task::JoinHandle, time::sleep};
use client::{HttpClient, OperatorClient};
use common::{balancer, create, request, set_target};
use control::{Settings, run_with_disk};
use store::{DataDir, Disk};
use tempfile::TempDir;
use tokio::sync::watch;
use types::{Answer, ChangeRequest, Revision, Version};
use wire::{
    SyncReply,
    request::{ChangeReply, Query, QueryReply},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of the first change on slow disks: four elections with the longest timeout
/// (3.2 s) and two writes each, and five more writes for the first group, the first entry
/// of the term and the change.
const SLOW_TIMEOUT: Duration = Duration::from_millis(4 * (3200 + 2 * 900) + 5 * 900);

/// Time that a write takes on a slow disk, longer than any first election timeout.
const SLOW_SYNC: Duration = Duration::from_millis(900);

/// A data folder whose writes fail while `full` is set. Its syncs reach no disk, since no
/// test cuts the power: beside builds, a sync of the real disk took up to 3.6 s. The store
/// thread waits for each of them if `slow` is set.
struct FaultyDisk {
    dir: DataDir,
    full: Arc<AtomicBool>,
    slow: bool,
}

impl Disk for FaultyDisk {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        self.dir.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.dir.read(name)
    }

    fn open(&self, name: &str) -> io::Result<File> {
        self.dir.open(name)
    }

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if self.full.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.dir.append(file, bytes)
    }

    fn truncate(&self, file: &mut File, len: u64) -> io::Result<()> {
        self.dir.truncate(file, len)
    }

    fn sync(&self, _: &mut File) -> io::Result<()> {
        // The folder is created by the thread of the test.
        if self.slow && std::thread::current().name() == Some("store") {
            std::thread::sleep(SLOW_SYNC);
        }
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.dir.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.dir.remove(name)
    }

    fn sync_dir(&self) -> io::Result<()> {
        Ok(())
    }
}

struct Host {
    full: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    task: JoinHandle<control::Result<()>>,
    metrics: prometheus::Registry,
}

impl Host {
    fn start(folder: &Path, listen: SocketAddr, group: &[SocketAddr], slow: bool) -> Host {
        let cfg = Settings {
            listen,
            initial_group: group.iter().copied().collect(),
            compact_after_entries: 64,
            ..Settings::default()
        };
        let full = Arc::new(AtomicBool::new(false));
        let disk = FaultyDisk {
            dir: DataDir::new(folder).unwrap(),
            full: full.clone(),
            slow,
        };
        let (stop, stopped) = watch::channel(false);
        let metrics = prometheus::Registry::new();
        let registry = metrics.clone();
        let run = async move { run_with_disk(disk, cfg, &registry, stopped).await };
        Host {
            full,
            stop,
            task: actix_rt::spawn(run),
            metrics,
        }
    }

    async fn stop(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap().unwrap();
    }

    /// Value of a metric, summed over its labels.
    fn metric(&self, name: &str) -> f64 {
        let families = self.metrics.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family
            .map(prometheus::proto::MetricFamily::get_metric)
            .unwrap_or_default();
        let value =
            |m: &prometheus::proto::Metric| m.get_gauge().get_value() + m.get_counter().get_value();
        metrics.iter().map(value).sum()
    }
}

fn addresses(subnet: u8, count: u8) -> Vec<SocketAddr> {
    let address = |n| ([127, 78, subnet, n], 7000).into();
    (1..=count).map(address).collect()
}

struct Cluster {
    dir: TempDir,
    addresses: Vec<SocketAddr>,
    operator: OperatorClient,
    http: HttpClient,
}

impl Cluster {
    fn new(subnet: u8, count: u8) -> Cluster {
        let addresses = addresses(subnet, count);
        let http = HttpClient::default();
        Cluster {
            dir: tempfile::tempdir().unwrap(),
            operator: OperatorClient::new(http.clone(), addresses.clone()),
            addresses,
            http,
        }
    }

    fn start(&self, n: usize) -> Host {
        let folder = self.dir.path().join(n.to_string());
        Host::start(&folder, self.addresses[n], &self.addresses, false)
    }

    fn start_slow(&self, n: usize) -> Host {
        let folder = self.dir.path().join(n.to_string());
        Host::start(&folder, self.addresses[n], &self.addresses, true)
    }

    async fn change(&self, req: &ChangeRequest) -> ChangeReply {
        self.operator
            .change(req, Instant::now() + WAIT_TIMEOUT)
            .await
    }

    async fn accepted(&self, req: &ChangeRequest) -> Revision {
        match self.change(req).await {
            ChangeReply::Final(Answer::Accepted(revision)) => revision,
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Changes a target `count` times and returns the last revision.
    async fn change_repeatedly(&self, mut base: Revision, count: u32) -> Revision {
        for n in 0..count {
            let req = request(base, set_target("vouchers", n + 1));
            base = self.accepted(&req).await;
        }
        base
    }

    async fn sync(&self, have: Option<Version>, hold: Duration) -> SyncReply {
        let req = wire::SyncRequest {
            max_wait: hold,
            ..balancer(have)
        };
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let reply = self
            .http
            .post(self.addresses[0], "/v1/sync", &req, deadline);
        reply.await.unwrap()
    }

    async fn query(&self, query: Query) -> QueryReply {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let reply = self.operator.query("/v1/query", &query, deadline);
        reply.await.unwrap()
    }
}

async fn wait_for(what: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !check() {
        assert!(Instant::now() < deadline, "no {what} in time");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a change that is accepted before it is on disk, and against a
/// full disk that stops reads and syncs of the committed configuration.
#[actix_rt::test]
async fn a_full_disk_rejects_changes_and_serves_reads() {
    let cluster = Cluster::new(1, 1);
    let host = cluster.start(0);
    let created = request(Revision(0), create("vouchers", 4433));
    let base = cluster.accepted(&created).await;

    host.full.store(true, Ordering::Relaxed);
    let lost = request(base, set_target("vouchers", 3));
    let deadline = Instant::now() + Duration::from_secs(1);
    let reply = cluster.operator.change(&lost, deadline).await;
    assert_eq!(reply, ChangeReply::Unknown, "the write was in progress");
    wait_for("failed write", || {
        host.metric("limpet_control_disk_failed") > 0.0
    })
    .await;
    let late = request(base, set_target("vouchers", 5));
    let deadline = Instant::now() + Duration::from_secs(1);
    let reply = cluster.operator.change(&late, deadline).await;
    assert_eq!(reply, ChangeReply::Unavailable);
    let reply = cluster.query(Query::Services).await;
    let QueryReply::Services(services) = reply else {
        panic!("unexpected {reply:?}");
    };
    assert_eq!(services[0].revision, base);
    wait_for("published membership", || {
        host.metric("limpet_control_publications_total") > 0.0
    })
    .await;
    let reply = cluster.sync(None, Duration::from_secs(1)).await;
    assert!(matches!(reply, SyncReply::Update(_)), "{reply:?}");

    host.full.store(false, Ordering::Relaxed);
    wait_for("working disk", || {
        host.metric("limpet_control_disk_failed") < 1.0
    })
    .await;
    // The first change was only waiting for the disk; the second was never
    // proposed.
    let revision = cluster.accepted(&lost).await;
    let reply = cluster.change(&late).await;
    assert!(
        matches!(&reply, ChangeReply::Final(Answer::Conflict(c)) if c.winner == revision),
        "{reply:?}"
    );
    host.stop().await;
}

/// Guards against a host that cannot elect itself while a write takes longer than an
/// election timeout, so that no change is accepted.
#[actix_rt::test]
async fn a_slow_disk_delays_changes_and_does_not_prevent_them() {
    for (subnet, hosts) in [(5, 1), (6, 3)] {
        let cluster = Cluster::new(subnet, hosts);
        let hosts: Vec<Host> = (0..usize::from(hosts))
            .map(|n| cluster.start_slow(n))
            .collect();
        let created = request(Revision(0), create("vouchers", 4433));
        let deadline = Instant::now() + SLOW_TIMEOUT;
        let reply = cluster.operator.change(&created, deadline).await;
        assert!(
            matches!(reply, ChangeReply::Final(Answer::Accepted(_))),
            "{} hosts: {reply:?}",
            hosts.len()
        );
        for host in hosts {
            host.stop().await;
        }
    }
}

/// Guards against a snapshot that loses the configuration or the answers to
/// changes, and against a data folder that stays locked after the host has stopped.
#[actix_rt::test]
async fn snapshots_keep_configuration_and_answers() {
    let cluster = Cluster::new(2, 1);
    let host = cluster.start(0);
    let created = request(Revision(0), create("vouchers", 4433));
    let first = cluster.accepted(&created).await;
    let last = cluster.change_repeatedly(first, 150).await;
    host.stop().await;
    let files: Vec<_> = std::fs::read_dir(cluster.dir.path().join("0"))
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .filter(|name| name.starts_with("snapshot-"))
        .collect();
    assert_eq!(files.len(), 1, "{files:?}");
    assert_ne!(files[0], "snapshot-0000000000000000");

    let host = cluster.start(0);
    assert_eq!(cluster.accepted(&created).await, first, "resend");
    let last = cluster.change_repeatedly(last, 150).await;
    let name = "vouchers".parse().unwrap();
    let reply = cluster.query(Query::Service(name)).await;
    let QueryReply::Service(Some(service)) = reply else {
        panic!("unexpected {reply:?}");
    };
    assert_eq!(service.revision, last);
    host.stop().await;
}

/// Guards against a member that cannot catch up because the log entries that it
/// missed have been replaced by a snapshot.
#[actix_rt::test]
async fn a_member_that_missed_hundreds_of_entries_catches_up() {
    let cluster = Cluster::new(3, 3);
    let mut hosts: Vec<Host> = (0..3).map(|n| cluster.start(n)).collect();
    let created = request(Revision(0), create("vouchers", 4433));
    let first = cluster.accepted(&created).await;
    let late = hosts.pop().unwrap();
    late.stop().await;
    let last = cluster.change_repeatedly(first, 300).await;

    let late = cluster.start(2);
    wait_for("member that caught up", || {
        late.metric("limpet_control_commit") >= f64::from(u32::try_from(last.0).unwrap())
    })
    .await;
    let applied = late.metric("limpet_control_changes_total");
    assert!(applied < 100.0, "{applied} changes were applied one by one");
    for host in hosts {
        host.stop().await;
    }
    late.stop().await;
}

/// Guards against a sync request that is held without limit, so that the node loses
/// its lease.
#[actix_rt::test]
async fn an_unbounded_hold_is_capped() {
    let cluster = Cluster::new(4, 1);
    let host = cluster.start(0);
    cluster
        .accepted(&request(Revision(0), create("vouchers", 4433)))
        .await;
    wait_for("published membership", || {
        host.metric("limpet_control_publications_total") > 0.0
    })
    .await;
    // The first reply may precede the first key, which is the last change; the
    // second one includes it.
    let mut have = None;
    for _ in 0..2 {
        let reply = cluster.sync(have, Duration::from_secs(1)).await;
        if let SyncReply::Update(update) = reply {
            have = Some(update.version);
        }
    }
    let started = Instant::now();
    let reply = cluster.sync(have, Duration::from_millis(u64::MAX)).await;
    assert!(matches!(reply, SyncReply::Current { .. }), "{reply:?}");
    assert!(started.elapsed() < Duration::from_secs(3));
    host.stop().await;
}
