//! Answer times of requests when a balancer is lost without notice, with the
//! agents' choice of balancers and with one at random among all known; and the
//! cost of a hand-off. Runs whole sites on the loopback, in one process.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use actix_rt::{
    System,
    task::JoinHandle,
    time::{sleep, sleep_until},
};
use agent::{
    ServiceCertificate,
    process::{AnyKnown, BalancerPolicy, ReachableOnly, run_with_policy},
};
use bytes::Bytes;
use caller::{Caller, Endpoint, Trust};
use client::{Http, Operator};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::Request;
use prometheus::Registry;
use standin::{Fabric, FabricHandle, Upstream, UpstreamHandle};
use tempfile::TempDir;
use tokio::sync::watch;
use types::{Answer, Change, ChangeId, ChangeRequest, Connections, Revision, Share, Slots, Target};
use wire::request::{ChangeReply, Query, QueryReply};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Balancers and upstreams of a site.
const BALANCERS: u8 = 4;
const UPSTREAMS: u8 = 2;

/// Callers that each send one request after the other, and their pause.
const CALLERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(5);

/// Time that is looked at, before and after a balancer is lost.
const WINDOW: Duration = Duration::from_secs(1);

/// Time after which a lost balancer is known everywhere: its lease ends.
const LEASE: Duration = Duration::from_secs(4);

/// Requests of each kind for the cost of a hand-off, and its rounds.
const HAND_OFFS: usize = 200;
const ROUNDS: usize = 5;

/// Longest time for anything to come about.
const PATIENCE: Duration = Duration::from_secs(30);

type Millis = Histogram<u64>;

fn main() {
    System::new().block_on(async {
        println!("answer times in the second after a balancer of {BALANCERS} is lost, in ms");
        println!("fabric   choice  seed    before p50/p99    after p50/p99/max");
        let mut range = 200;
        for seed in SEEDS {
            let (heard, known) = tokio::join!(
                Site::start::<ReachableOnly>(range, seed, Slots(64)),
                Site::start::<AnyKnown>(range + 1, seed, Slots(64)),
            );
            lose("heard", seed, heard).await;
            lose("known", seed, known).await;
            range += 2;
        }
        hand_off(range).await;
    });
}

/// Loses a balancer, once while the fabric leaves it out at the same moment, so
/// that only answers can be lost, and once while it does not.
async fn lose(choice: &str, seed: u64, site: Site) {
    let mut callers = site.connect_all().await;
    for (fabric, lost) in [("aware", 0), ("unaware", 1)] {
        // The loss before this one is known everywhere by now.
        site.use_balancers(lost).await;
        sleep(LEASE * u32::from(lost > 0)).await;
        let before = load(&mut callers).await;
        if fabric == "aware" {
            site.use_balancers(1).await;
        }
        site.balancers[lost].abort();
        let after = load(&mut callers).await;
        println!(
            "{fabric:8} {choice:6} {seed:5} {:>9} /{:>7} {:>9} /{:>7} /{:>7}",
            millis(&before, 0.5),
            millis(&before, 0.99),
            millis(&after, 0.5),
            millis(&after, 0.99),
            millis(&after, 1.0),
        );
    }
    site.stop();
}

/// Answer times of local requests beside handed-off ones, in rounds.
async fn hand_off(range: u8) {
    let site = Site::start::<ReachableOnly>(range, 1, Slots(1)).await;
    println!("answer time p50 in ms, local beside handed off, {HAND_OFFS} requests of each");
    let mut costs = Vec::new();
    for round in 0..ROUNDS {
        let mut caller = site.connect().await;
        let local = sequence(&mut caller).await;
        // Holds the only slot of the agent, so that the others are handed off.
        let mut held = get(&mut caller, "/feed").await;
        held.part().await.expect("line");
        let handed_off = sequence(&mut caller).await;
        held.cancel();
        sleep(Duration::from_millis(200)).await;
        let cost = handed_off.value_at_quantile(0.5) - local.value_at_quantile(0.5);
        println!(
            "round {round}: {:>7} {:>7}",
            millis(&local, 0.5),
            millis(&handed_off, 0.5)
        );
        costs.push(cost);
    }
    costs.sort_unstable();
    let (least, most) = (costs[0], costs[ROUNDS - 1]);
    println!(
        "cost of a hand-off: median {} us, from {least} to {most} us",
        costs[ROUNDS / 2]
    );
}

async fn sequence(caller: &mut Caller) -> Millis {
    let mut times = histogram();
    for _ in 0..HAND_OFFS {
        times.saturating_record(timed(caller).await);
    }
    times
}

/// Answer times of the requests that begin within the window.
async fn load(callers: &mut [Caller]) -> Millis {
    let until = Instant::now() + WINDOW;
    let lanes = callers.iter_mut().map(|caller| async move {
        let mut times = Vec::new();
        while Instant::now() < until {
            times.push(timed(caller).await);
            sleep(PAUSE).await;
        }
        times
    });
    let mut times = histogram();
    for time in join_all(lanes).await.into_iter().flatten() {
        times.saturating_record(time);
    }
    sleep_until(until.into()).await;
    times
}

/// Microseconds to the end of the answer.
async fn timed(caller: &mut Caller) -> u64 {
    let began = Instant::now();
    let mut answer = get(caller, "/").await;
    assert_eq!(answer.status, 200);
    answer.body().await.expect("whole answer");
    u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX)
}

async fn get(caller: &mut Caller, path: &str) -> caller::Answer {
    let request = Request::get(format!("https://localhost{path}"));
    let request = request.body(Bytes::new()).expect("request");
    caller.send(request).await.expect("answer")
}

fn histogram() -> Millis {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds")
}

/// A quantile of microseconds in milliseconds.
fn millis(times: &Millis, quantile: f64) -> String {
    let micros = times.value_at_quantile(quantile);
    format!("{}.{:03}", micros / 1000, micros % 1000)
}

/// A site in this process.
struct Site {
    fabric: FabricHandle,
    range: u8,
    /// Ends each balancer at once.
    balancers: Vec<JoinHandle<()>>,
    /// Ends the control host and the agents.
    others: Vec<watch::Sender<bool>>,
    upstreams: Vec<UpstreamHandle>,
    _dir: TempDir,
}

impl Site {
    async fn start<P: BalancerPolicy + 'static>(range: u8, seed: u64, carry: Slots) -> Site {
        let service = address(range, 100, 4433);
        let (fabric, handle) = Fabric::open(service, seed).await.expect("fabric");
        actix_rt::spawn(fabric.run());
        let dir = tempfile::tempdir().expect("data folder");
        let control = address(range, 1, 7000);
        let cfg = control::Settings {
            listen: control,
            data_dir: dir.path().into(),
            group: [control].into(),
            ..control::Settings::default()
        };
        let (stop_tx, stop) = watch::channel(false);
        actix_rt::spawn(async move {
            let ended = control::run(cfg, &Registry::new(), stop).await;
            ended.expect("control host");
        });
        let mut site = Site {
            fabric: handle,
            range,
            balancers: Vec::new(),
            others: vec![stop_tx],
            upstreams: Vec::new(),
            _dir: dir,
        };
        for n in 0..BALANCERS {
            site.start_balancer(n, control);
        }
        for n in 0..UPSTREAMS {
            site.start_agent::<P>(n, control);
        }
        site.use_balancers(0).await;
        configure(control, service, carry).await;
        // The balancers learn the last shares within a sync.
        sleep(WINDOW).await;
        site
    }

    fn start_balancer(&mut self, n: u8, control: SocketAddr) {
        let (host, data_centre) = (name(format!("lb-{n}")), name("dc"));
        let cfg = balancer::Settings {
            fabric_listen: Some(fabric_address(self.range, n)),
            return_listen: address(self.range, 11 + n, 7100),
            ..balancer::Settings::new(host, data_centre, vec![control])
        };
        // Ended by an abort, which closes its sockets without notice; a stop
        // would let it leave and forward for a while.
        self.balancers.push(actix_rt::spawn(async move {
            let (_stop_tx, stop) = watch::channel(false);
            let ended = balancer::run(cfg, &Registry::new(), stop).await;
            ended.expect("balancer");
        }));
    }

    fn start_agent<P: BalancerPolicy + 'static>(&mut self, n: u8, control: SocketAddr) {
        let listen = (Ipv4Addr::LOCALHOST, 0).into();
        let upstream = Upstream::start("upstream", listen).expect("upstream");
        let (host, data_centre) = (name(format!("app-{n}")), name("dc"));
        let service = name("vouchers");
        let settings =
            agent::Settings::new(host, data_centre, vec![control], service, upstream.address);
        let cfg = agent::Settings {
            data_listen: address(self.range, 51 + n, 7200),
            peer_listen: address(self.range, 51 + n, 7201),
            ..settings
        };
        self.upstreams.push(upstream);
        let (stop_tx, stop) = watch::channel(false);
        self.others.push(stop_tx);
        actix_rt::spawn(async move {
            let identity =
                ServiceCertificate::self_signed(vec!["localhost".into()]).expect("certificate");
            let ended = run_with_policy::<P>(cfg, identity, &Registry::new(), stop).await;
            ended.expect("agent");
        });
    }

    /// Ends the site, so that it costs the next one no time.
    fn stop(self) {
        for balancer in &self.balancers {
            balancer.abort();
        }
        for stop in &self.others {
            stop.send_replace(true);
        }
    }

    /// Lets the fabric leave out the first `lost` balancers.
    async fn use_balancers(&self, lost: usize) {
        let all = (0..BALANCERS).map(|n| fabric_address(self.range, n));
        let used: BTreeSet<SocketAddr> = all.skip(lost).collect();
        self.fabric.set_balancers(used).await;
    }

    async fn connect(&self) -> Caller {
        let service = self.fabric.service;
        let endpoint = Endpoint::open(service, Trust::Any).expect("socket");
        let caller = Caller::connect(&endpoint, service, "localhost").await;
        caller.expect("connection")
    }

    async fn connect_all(&self) -> Vec<Caller> {
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            callers.push(self.connect().await);
        }
        callers
    }
}

/// Creates the service and waits until each upstream has its share.
async fn configure(control: SocketAddr, service: SocketAddr, carry: Slots) {
    let operator = Operator::new(Http::default(), vec![control]);
    let create = Change::CreateService {
        name: name("vouchers"),
        address: service,
    };
    let base = change(&operator, Revision(0), create).await;
    let target = Target {
        carry,
        connections: Connections(2000),
        ..Target::default()
    };
    let set = Change::SetTarget {
        service: name("vouchers"),
        class: name("default"),
        target,
    };
    change(&operator, base, set).await;
    let deadline = Instant::now() + PATIENCE;
    while shared(&operator).await < usize::from(UPSTREAMS) {
        assert!(Instant::now() < deadline, "no shares in time");
        sleep(Duration::from_millis(100)).await;
    }
}

async fn change(operator: &Operator, base: Revision, change: Change) -> Revision {
    let req = ChangeRequest {
        id: ChangeId::generate(),
        author: name("bench"),
        base,
        change,
    };
    match operator.change(&req, Instant::now() + PATIENCE).await {
        ChangeReply::Final(Answer::Accepted(revision)) => revision,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Upstreams that get new flows.
async fn shared(operator: &Operator) -> usize {
    let deadline = Instant::now() + PATIENCE;
    match operator.query("/v1/query", &Query::Status, deadline).await {
        Ok(QueryReply::Status(status)) => {
            let upstreams = status.services.iter().flat_map(|s| &s.upstreams);
            upstreams.filter(|u| u.share > Share(0)).count()
        }
        _ => 0,
    }
}

fn name<T: std::str::FromStr<Err = types::Error>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("valid name")
}

fn address(range: u8, host: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 78, range, host), port).into()
}

fn fabric_address(range: u8, n: u8) -> SocketAddr {
    address(range, 11 + n, 7101)
}
