//! Disks of control hosts that are full for some seconds each, or slow.

use std::{
    fs::File,
    io,
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use actix_rt::{System, spawn, task::JoinHandle, time::sleep};
use bytes::Bytes;
use prometheus::Registry;
use replica::{ChangeOutcome, ReadOutcome, ReplicaHandle, Settings, start_on};
use store::{DataDir, Disk};
use tempfile::TempDir;
use tokio::sync::watch;
use types::{RouteWeight, RoutingRule, RoutingSet, RoutingSetNumber};

const HOSTS: u8 = 3;

/// Time in which a change is accepted while no disk is full: several elections.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// How long each disk is full, longer than an election timeout.
const FULL_TIME: Duration = Duration::from_secs(2);

/// Time that a sync takes on a slow disk, longer than any first election timeout.
const SLOW_SYNC: Duration = Duration::from_millis(900);

/// Time in which a group on slow disks elects a leader and accepts a change: four
/// elections with the longest timeout (3.2 s) and two writes each, and four more writes
/// for the first entry of the term and the change.
const SLOW_TIMEOUT: Duration = Duration::from_millis(4 * (3200 + 2 * 900) + 4 * 900);

/// A data folder whose disk takes no more bytes while `full` is set, and waits for each
/// sync while `slow` is set. No test cuts the power, so no sync reaches the real disk,
/// where it takes seconds beside builds.
#[derive(Clone)]
struct FillableDisk {
    folder: DataDir,
    full: Arc<AtomicBool>,
    slow: Arc<AtomicBool>,
    /// Also refuses to create, truncate, rename and sync.
    refuses_all: bool,
}

impl FillableDisk {
    fn check_room(&self) -> io::Result<()> {
        if self.full.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn check_change(&self) -> io::Result<()> {
        if self.refuses_all {
            self.check_room()
        } else {
            Ok(())
        }
    }
}

impl Disk for FillableDisk {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        self.folder.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.folder.read(name)
    }

    fn open(&self, name: &str) -> io::Result<File> {
        self.check_change()?;
        self.folder.open(name)
    }

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if let Err(e) = self.check_room() {
            // A part of the bytes fits.
            self.folder.append(file, &bytes[..bytes.len() / 2])?;
            return Err(e);
        }
        self.folder.append(file, bytes)
    }

    fn truncate(&self, file: &mut File, len: u64) -> io::Result<()> {
        self.check_change()?;
        self.folder.truncate(file, len)
    }

    fn sync(&self, _: &mut File) -> io::Result<()> {
        self.check_change()?;
        if self.slow.load(Ordering::SeqCst) {
            std::thread::sleep(SLOW_SYNC);
        }
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.check_change()?;
        self.folder.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.folder.remove(name)
    }

    fn sync_dir(&self) -> io::Result<()> {
        self.check_change()
    }
}

struct Host {
    replica: ReplicaHandle,
    full: Arc<AtomicBool>,
    slow: Arc<AtomicBool>,
    dir: TempDir,
    registry: Registry,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Host {
    fn leads(&self) -> bool {
        let families = self.registry.gather();
        let mut families = families.iter();
        let family = families.find(|family| family.name() == "limpet_replica_leader");
        family.is_some_and(|family| family.get_metric()[0].get_gauge().get_value() > 0.0)
    }
}

async fn start_hosts(test: u8, refuses_all: bool) -> Vec<Host> {
    let net = u8::try_from(std::process::id() % 120).unwrap() + 100;
    let ip = |n: u8| Ipv4Addr::new(127, net, test, n);
    let (_, seeds) = watch::channel((1..=HOSTS).map(ip).collect());
    let mut hosts = Vec::new();
    for n in 1..=HOSTS {
        let dir = tempfile::tempdir().unwrap();
        let full = Arc::new(AtomicBool::new(false));
        let slow = Arc::new(AtomicBool::new(false));
        let disk = FillableDisk {
            folder: DataDir::new(dir.path()).unwrap(),
            full: full.clone(),
            slow: slow.clone(),
            refuses_all,
        };
        let data_centre = "dc".parse().unwrap();
        let settings = Settings {
            bootstrap: true,
            ..Settings::new(ip(n), data_centre, dir.path().to_owned(), seeds.clone())
        };
        let (stop, stopped) = watch::channel(false);
        let registry = Registry::new();
        let started = start_on(disk, settings, &registry, stopped).await;
        let (replica, run) = started.expect("the host starts");
        let task = spawn(async move { run.await.expect("the host runs") });
        hosts.push(Host {
            replica,
            full,
            slow,
            dir,
            registry,
            task,
            _stop: stop,
        });
    }
    hosts
}

fn set(number: u64) -> RoutingSet {
    let rule = RoutingRule {
        weights: [("vouchers".parse().unwrap(), RouteWeight(1))].into(),
        ..RoutingRule::default()
    };
    RoutingSet {
        number: RoutingSetNumber(number),
        rules: [(([198, 18, 0, 1], 443).into(), rule)].into(),
        document: Bytes::from(format!("set {number}")),
        ..RoutingSet::default()
    }
}

/// Sends a change to a host, with a deadline in `timeout`.
async fn change(host: &Host, number: u64, timeout: Duration) -> ChangeOutcome {
    let author = "mira".parse().unwrap();
    let deadline = Instant::now() + timeout;
    host.replica
        .replace_routes(author, set(number), deadline)
        .await
}

async fn fill_in_turn(test: u8, refuses_all: bool) {
    let hosts = start_hosts(test, refuses_all).await;
    let mut number = 1;
    let first = change(&hosts[0], number, Duration::from_secs(15)).await;
    assert_eq!(first, ChangeOutcome::Accepted);
    // Each host is filled, the first one twice.
    for turn in 0..=usize::from(HOSTS) {
        let full = &hosts[turn % usize::from(HOSTS)].full;
        full.store(true, Ordering::SeqCst);
        let until = Instant::now() + FULL_TIME;
        while Instant::now() < until {
            number += 1;
            let at = usize::try_from(number).unwrap() % usize::from(HOSTS);
            // It may be accepted by the two hosts with room, or stay unanswered.
            let outcome = change(&hosts[at], number, Duration::from_millis(300)).await;
            assert!(!matches!(outcome, ChangeOutcome::Refused(_)), "{outcome:?}");
        }
        full.store(false, Ordering::SeqCst);
    }
    for _ in 0..3 {
        for (n, host) in hosts.iter().enumerate() {
            number += 1;
            let outcome = change(host, number, ACCEPT_TIMEOUT).await;
            assert_eq!(outcome, ChangeOutcome::Accepted, "host {n}, set {number}");
        }
    }
    for host in &hosts {
        let read = host.replica.read_routes(Instant::now() + ACCEPT_TIMEOUT);
        let ReadOutcome::Confirmed(Some(set)) = read.await else {
            panic!("no majority confirms a read");
        };
        assert_eq!(set.number, RoutingSetNumber(number));
    }
    // Each host has the changes on its own disk: any two of them are enough.
    for n in 0..usize::from(HOSTS) {
        hosts[n].full.store(true, Ordering::SeqCst);
        number += 1;
        let other = &hosts[(n + 1) % usize::from(HOSTS)];
        let outcome = change(other, number, ACCEPT_TIMEOUT).await;
        assert_eq!(outcome, ChangeOutcome::Accepted, "without the disk of {n}");
        hosts[n].full.store(false, Ordering::SeqCst);
        sleep(Duration::from_secs(1)).await;
    }
    for host in &hosts {
        assert_readable(&host.dir);
    }
}

/// Opens a copy of a data folder, as a restart would.
fn assert_readable(dir: &TempDir) {
    let copy = tempfile::tempdir().unwrap();
    for entry in std::fs::read_dir(dir.path()).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), copy.path().join(entry.file_name())).unwrap();
    }
    store::open(DataDir::new(copy.path()).unwrap()).expect("the folder is readable");
}

/// Guards against changes that stay unanswered to the end of the day after the disks
/// of the control hosts were full one after another, never two at once.
#[test]
fn changes_are_accepted_after_each_disk_was_full() {
    System::new().block_on(fill_in_turn(33, false));
}

/// The same where a full disk refuses each change of the folder, not only more bytes.
#[test]
fn changes_are_accepted_after_each_disk_refused_all_changes() {
    System::new().block_on(fill_in_turn(34, true));
}

/// Guards against a deployment that waits for the first seed: its disk is full when it
/// would propose the first group, so it cannot save a promise and stays silent.
#[test]
fn a_group_forms_while_the_disk_of_the_first_seed_is_full() {
    System::new().block_on(async {
        let hosts = start_hosts(35, true).await;
        hosts[0].full.store(true, Ordering::SeqCst);
        let outcome = change(&hosts[1], 1, Duration::from_secs(15)).await;
        assert_eq!(outcome, ChangeOutcome::Accepted);
        hosts[0].full.store(false, Ordering::SeqCst);
        let outcome = change(&hosts[0], 2, ACCEPT_TIMEOUT).await;
        assert_eq!(outcome, ChangeOutcome::Accepted);
        // The first host is a member: without one of the others, it is needed.
        sleep(Duration::from_secs(1)).await;
        hosts[2].full.store(true, Ordering::SeqCst);
        let outcome = change(&hosts[1], 3, ACCEPT_TIMEOUT).await;
        assert_eq!(outcome, ChangeOutcome::Accepted);
    });
}

/// Guards against two remaining hosts that never elect a leader because a write takes
/// longer than an election timeout: a change then stays unanswered (`Unknown`).
#[test]
fn the_rest_of_a_group_on_slow_disks_elects_a_leader() {
    System::new().block_on(async {
        let mut hosts = start_hosts(36, false).await;
        let outcome = change(&hosts[0], 1, Duration::from_secs(15)).await;
        assert_eq!(outcome, ChangeOutcome::Accepted);
        for host in &hosts {
            host.slow.store(true, Ordering::SeqCst);
        }
        let leader = hosts.iter().position(Host::leads).expect("a leader");
        hosts.remove(leader).task.abort();
        let outcome = change(&hosts[0], 2, SLOW_TIMEOUT).await;
        assert_eq!(outcome, ChangeOutcome::Accepted);
    });
}
