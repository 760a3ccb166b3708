//! A group of control hosts on the loopback interface.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    time::{Duration, Instant},
};

use actix_rt::{System, spawn, task::JoinHandle, time::sleep};
use bytes::Bytes;
use prometheus::Registry;
use replica::{ChangeOutcome, ReadOutcome, ReplicaHandle, Settings, start};
use tempfile::TempDir;
use tokio::sync::watch;
use types::{RouteWeight, RoutingRule, RoutingSet, RoutingSetNumber};

/// Timeout of each wait: several elections.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

struct Host {
    replica: ReplicaHandle,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

struct TestGroup {
    /// Second and third byte of the addresses: they differ by process and test, so
    /// that concurrent runs do not collide.
    net: (u8, u8),
    dirs: Vec<TempDir>,
    seeds: watch::Sender<Vec<Ipv4Addr>>,
}

impl TestGroup {
    fn new(test: u8, hosts: u8) -> Self {
        let net = (u8::try_from(std::process::id() % 120).unwrap() + 100, test);
        let seeds = (1..=hosts)
            .map(|n| Ipv4Addr::new(127, net.0, net.1, n))
            .collect();
        TestGroup {
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
        // Each host of the first three has its own data centre, as have three successors.
        let data_centre = format!("dc-{}", (n - 1) % 3).parse().unwrap();
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

async fn replace_routes(host: &Host, number: u64) {
    let author = "mira".parse().unwrap();
    let outcome = host
        .replica
        .replace_routes(author, set(number), Instant::now() + WAIT_TIMEOUT);
    assert_eq!(outcome.await, ChangeOutcome::Accepted, "set {number}");
}

async fn read_number(host: &Host) -> Option<RoutingSetNumber> {
    match host
        .replica
        .read_routes(Instant::now() + WAIT_TIMEOUT)
        .await
    {
        ReadOutcome::Confirmed(set) => set.map(|set| set.number),
        ReadOutcome::Unavailable => panic!("no majority confirms a read"),
    }
}

/// Guards against hosts that form no group or several, against a stale read, and
/// against a resent set that is refused.
#[test]
fn three_hosts_form_a_group_and_agree() {
    System::new().block_on(async {
        let group = TestGroup::new(1, 3);
        let mut hosts = Vec::new();
        for n in 1..=3 {
            hosts.push(group.host(n, group.dirs[usize::from(n)].path(), true).await);
        }
        for (number, at) in [(4, 0), (7, 1), (9, 2)] {
            replace_routes(&hosts[at], number).await;
            for host in &hosts {
                assert_eq!(read_number(host).await, Some(RoutingSetNumber(number)));
            }
        }
        replace_routes(&hosts[0], 9).await;
        replace_routes(&hosts[1], 4).await;
        assert_eq!(read_number(&hosts[2]).await, Some(RoutingSetNumber(9)));
    });
}

/// Guards against hosts with an empty disk or a new address that are not added
/// automatically, and against the loss of an accepted set when disks are replaced
/// one after the other.
#[test]
fn lost_hosts_are_replaced_one_after_the_other() {
    System::new().block_on(async {
        let group = TestGroup::new(2, 3);
        let mut hosts = Vec::new();
        for n in 1..=3 {
            hosts.push(group.host(n, group.dirs[usize::from(n)].path(), true).await);
        }
        replace_routes(&hosts[0], 5).await;
        // The third host is lost permanently; a new one starts at another address.
        hosts.pop().unwrap().task.abort();
        let fresh = tempfile::tempdir().unwrap();
        hosts.push(group.host(9, fresh.path(), false).await);
        // The new host becomes the fourth voter, then the lost one is removed. The
        // number of voters in between may be over before this task sees it.
        let address = |n| SocketAddr::from((group.ip(n), 7001));
        let until = Instant::now() + WAIT_TIMEOUT;
        let is_replaced = |host: &Host| {
            let others = host.replica.other_members();
            host.replica.voter_count() == 3
                && others.contains(&address(9))
                && !others.contains(&address(3))
        };
        while !(is_replaced(&hosts[0]) && is_replaced(&hosts[1])) {
            assert!(Instant::now() < until, "the lost host is not replaced");
            sleep(Duration::from_millis(5)).await;
        }
        // Only the second host and the one added later are left.
        hosts.remove(0).task.abort();
        replace_routes(&hosts[1], 6).await;
        assert_eq!(read_number(&hosts[0]).await, Some(RoutingSetNumber(6)));
    });
}

/// Guards against successors that do not take over: three hosts joined before the three
/// former ones were removed at once, and were half of a group of six voters, which neither
/// led nor returned the accepted set.
#[test]
fn hosts_that_are_removed_at_once_leave_their_successors_in_charge() {
    System::new().block_on(async {
        let group = TestGroup::new(3, 3);
        let mut former = Vec::new();
        for n in 1..=3 {
            former.push(group.host(n, group.dirs[usize::from(n)].path(), true).await);
        }
        replace_routes(&former[0], 5).await;
        let folders = [(); 3].map(|()| tempfile::tempdir().unwrap());
        let mut successors = Vec::new();
        for (n, dir) in (7..).zip(&folders) {
            successors.push(group.host(n, dir.path(), false).await);
        }
        let until = Instant::now() + WAIT_TIMEOUT;
        while !successors.iter().all(|host| host.replica.votes()) {
            assert!(Instant::now() < until, "the successors do not vote");
            sleep(Duration::from_millis(5)).await;
        }
        replace_routes(&successors[0], 6).await;
        for host in former {
            host.task.abort();
        }
        for host in &successors {
            assert_eq!(read_number(host).await, Some(RoutingSetNumber(6)));
        }
        replace_routes(&successors[1], 7).await;
    });
}
