//! A group of control hosts on the loopback.

use std::{
    net::Ipv4Addr,
    path::Path,
    time::{Duration, Instant},
};

use actix_rt::{System, spawn, task::JoinHandle, time::sleep};
use bytes::Bytes;
use prometheus::Registry;
use replica::{ChangeOutcome, ReadOutcome, ReplicaHandle, Settings, start};
use tempfile::TempDir;
use tokio::sync::watch;
use types::{Part, RoutingSet, Rule, SetNumber};

/// Longest time for anything here: several elections.
const LIMIT: Duration = Duration::from_secs(15);

struct Host {
    replica: ReplicaHandle,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

struct Site {
    /// Differs for each test and process, so that runs do not collide.
    net: (u8, u8),
    dirs: Vec<TempDir>,
    seeds: watch::Sender<Vec<Ipv4Addr>>,
}

impl Site {
    fn new(test: u8, hosts: u8) -> Self {
        let net = (u8::try_from(std::process::id() % 120).unwrap() + 100, test);
        let seeds = (1..=hosts)
            .map(|n| Ipv4Addr::new(127, net.0, net.1, n))
            .collect();
        Site {
            net,
            dirs: (0..hosts + 2)
                .map(|_| tempfile::tempdir().unwrap())
                .collect(),
            seeds: watch::channel(seeds).0,
        }
    }

    fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, n)
    }

    async fn host(&self, n: u8, dir: &Path, bootstrap: bool) -> Host {
        let data_centre = "dc".parse().unwrap();
        let settings = Settings {
            bootstrap,
            ..Settings::new(
                self.ip(n),
                data_centre,
                dir.to_owned(),
                self.seeds.subscribe(),
            )
        };
        let (stop, stopped) = watch::channel(false);
        let started = start(settings, &Registry::new(), stopped).await;
        let (replica, run) = started.expect("the host starts");
        let task = spawn(async move {
            run.await.expect("the host runs");
        });
        Host {
            replica,
            task,
            _stop: stop,
        }
    }
}

fn set(number: u64) -> RoutingSet {
    let rule = Rule {
        parts: [("vouchers".parse().unwrap(), Part(1))].into(),
    };
    RoutingSet {
        number: SetNumber(number),
        rules: [(([198, 18, 0, 1], 443).into(), rule)].into(),
        document: Bytes::from(format!("set {number}")),
        ..RoutingSet::default()
    }
}

async fn accept(host: &Host, number: u64) {
    let author = "mira".parse().unwrap();
    let outcome = host
        .replica
        .replace_routes(author, set(number), Instant::now() + LIMIT);
    assert_eq!(outcome.await, ChangeOutcome::Accepted, "set {number}");
}

async fn read(host: &Host) -> Option<SetNumber> {
    match host.replica.read_routes(Instant::now() + LIMIT).await {
        ReadOutcome::Confirmed(set) => set.map(|set| set.number),
        ReadOutcome::Unavailable => panic!("no majority confirms a read"),
    }
}

/// Guards against hosts that form no group or several, against a host that
/// answers a read with an older set, and against a resend that is refused.
#[test]
fn three_hosts_form_a_group_and_agree() {
    System::new().block_on(async {
        let site = Site::new(1, 3);
        let mut hosts = Vec::new();
        for n in 1..=3 {
            hosts.push(site.host(n, site.dirs[usize::from(n)].path(), true).await);
        }
        for (number, at) in [(4, 0), (7, 1), (9, 2)] {
            accept(&hosts[at], number).await;
            for host in &hosts {
                assert_eq!(read(host).await, Some(SetNumber(number)));
            }
        }
        accept(&hosts[0], 9).await;
        accept(&hosts[1], 4).await;
        assert_eq!(read(&hosts[2]).await, Some(SetNumber(9)));
    });
}

/// Guards against a host on an empty disk, and one at a new address, that do
/// not come in by themselves, and against an accepted set that is lost with the
/// disks that are replaced one after the other.
#[test]
fn hosts_are_replaced_one_after_the_other() {
    System::new().block_on(async {
        let site = Site::new(2, 3);
        let mut hosts = Vec::new();
        for n in 1..=3 {
            hosts.push(site.host(n, site.dirs[usize::from(n)].path(), true).await);
        }
        accept(&hosts[0], 5).await;
        // The third host is gone for good; another comes at a new address.
        hosts.pop().unwrap().task.abort();
        let fresh = tempfile::tempdir().unwrap();
        hosts.push(site.host(9, fresh.path(), false).await);
        // It becomes the fourth voter; then the one that is gone goes out. A
        // learner already sees three voters.
        for expected in [4, 3] {
            let until = Instant::now() + LIMIT;
            while hosts[2].replica.voter_count() != expected {
                assert!(
                    Instant::now() < until,
                    "the group does not get to {expected} voters"
                );
                sleep(Duration::from_millis(5)).await;
            }
        }
        // Only hosts that came in later, and the second, are left.
        hosts.remove(0).task.abort();
        accept(&hosts[1], 6).await;
        assert_eq!(read(&hosts[0]).await, Some(SetNumber(6)));
    });
}
