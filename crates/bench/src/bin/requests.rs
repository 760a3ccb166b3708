//! Measures answer times of requests when a balancer fails without notice, for
//! agents that use only reachable balancers and for agents that choose at random
//! among all known ones; and the cost of a hand-off. Runs whole sites on the
//! loopback interface, in one process.

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
use caller::{Caller, Endpoint, ServerTrust};
use client::{HttpClient, OperatorClient};
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

/// Number of balancers and of upstreams of a site.
const BALANCERS: u8 = 4;
const UPSTREAMS: u8 = 2;

/// Number of callers, each of which sends one request after the other, and the
/// interval between an answer and the next request.
const CALLERS: usize = 8;
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Time of the measurement before and after a balancer fails.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(1);

/// Time after which the lease of a failed balancer has expired, so that no node
/// uses it any more.
const LEASE_TIMEOUT: Duration = Duration::from_secs(4);

/// Requests of each kind in a round that measures the cost of a hand-off, and the
/// number of rounds.
const REQUESTS_PER_ROUND: usize = 200;
const ROUNDS: usize = 5;

/// Timeout for a change and for the start of a site.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

type LatencyHistogram = Histogram<u64>;

fn main() {
    System::new().block_on(async {
        println!("answer times in the second after a balancer of {BALANCERS} is lost, in ms");
        println!("fabric   choice  seed    before p50/p99    after p50/p99/max");
        let mut range = 200;
        for seed in SEEDS {
            let (reachable_only, any_known) = tokio::join!(
                Site::start::<ReachableOnly>(range, seed, Slots(64)),
                Site::start::<AnyKnown>(range + 1, seed, Slots(64)),
            );
            measure_balancer_loss("heard", seed, reachable_only).await;
            measure_balancer_loss("known", seed, any_known).await;
            range += 2;
        }
        measure_hand_off(range).await;
    });
}

/// Measures answer times before and after a balancer fails, once with a fabric
/// that leaves it out at the same moment, so that only answers can be lost, and
/// once with a fabric that still uses it.
async fn measure_balancer_loss(choice: &str, seed: u64, site: Site) {
    let mut callers = site.connect_all().await;
    for (fabric, lost) in [("aware", 0), ("unaware", 1)] {
        // Waits until no node uses the balancer that failed before.
        site.leave_out_balancers(lost).await;
        sleep(LEASE_TIMEOUT * u32::from(lost > 0)).await;
        let before = measure_load(&mut callers).await;
        if fabric == "aware" {
            site.leave_out_balancers(1).await;
        }
        site.balancers[lost].abort();
        let after = measure_load(&mut callers).await;
        println!(
            "{fabric:8} {choice:6} {seed:5} {:>9} /{:>7} {:>9} /{:>7} /{:>7}",
            format_millis(&before, 0.5),
            format_millis(&before, 0.99),
            format_millis(&after, 0.5),
            format_millis(&after, 0.99),
            format_millis(&after, 1.0),
        );
    }
    site.stop();
}

/// Compares the answer times of local and handed-off requests, in rounds.
async fn measure_hand_off(range: u8) {
    let site = Site::start::<ReachableOnly>(range, 1, Slots(1)).await;
    println!(
        "answer time p50 in ms, local beside handed off, {REQUESTS_PER_ROUND} requests of each"
    );
    let mut costs = Vec::new();
    for round in 0..ROUNDS {
        let mut caller = site.connect().await;
        let local = time_requests(&mut caller).await;
        // Takes the only slot of the agent, so that the requests after it are
        // handed off.
        let mut feed = get(&mut caller, "/feed").await;
        feed.next_chunk().await.expect("line");
        let handed_off = time_requests(&mut caller).await;
        feed.cancel();
        sleep(Duration::from_millis(200)).await;
        let cost = handed_off.value_at_quantile(0.5) - local.value_at_quantile(0.5);
        println!(
            "round {round}: {:>7} {:>7}",
            format_millis(&local, 0.5),
            format_millis(&handed_off, 0.5)
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

async fn time_requests(caller: &mut Caller) -> LatencyHistogram {
    let mut times = histogram();
    for _ in 0..REQUESTS_PER_ROUND {
        times.saturating_record(time_request(caller).await);
    }
    times
}

/// Answer times of the requests that begin within the measurement window.
async fn measure_load(callers: &mut [Caller]) -> LatencyHistogram {
    let until = Instant::now() + MEASUREMENT_WINDOW;
    let request_loops = callers.iter_mut().map(|caller| async move {
        let mut times = Vec::new();
        while Instant::now() < until {
            times.push(time_request(caller).await);
            sleep(REQUEST_INTERVAL).await;
        }
        times
    });
    let mut times = histogram();
    for time in join_all(request_loops).await.into_iter().flatten() {
        times.saturating_record(time);
    }
    sleep_until(until.into()).await;
    times
}

/// Sends a request; returns the microseconds until its answer was complete.
async fn time_request(caller: &mut Caller) -> u64 {
    let began = Instant::now();
    let mut answer = get(caller, "/").await;
    assert_eq!(answer.status, 200);
    answer.read_body().await.expect("whole answer");
    u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX)
}

async fn get(caller: &mut Caller, path: &str) -> caller::Response {
    let request = Request::get(format!("https://localhost{path}"));
    let request = request.body(Bytes::new()).expect("request");
    caller.send(request).await.expect("answer")
}

fn histogram() -> LatencyHistogram {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds")
}

/// Formats a quantile, which is in microseconds, as milliseconds.
fn format_millis(times: &LatencyHistogram, quantile: f64) -> String {
    let micros = times.value_at_quantile(quantile);
    format!("{}.{:03}", micros / 1000, micros % 1000)
}

/// A site whose balancers, agents and control host run in this process.
struct Site {
    fabric: FabricHandle,
    range: u8,
    /// Tasks of the balancers; aborting one simulates its crash.
    balancers: Vec<JoinHandle<()>>,
    /// Stop the control host and the agents.
    stop_senders: Vec<watch::Sender<bool>>,
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
            initial_group: [control].into(),
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
            stop_senders: vec![stop_tx],
            upstreams: Vec::new(),
            _dir: dir,
        };
        for n in 0..BALANCERS {
            site.start_balancer(n, control);
        }
        for n in 0..UPSTREAMS {
            site.start_agent::<P>(n, control);
        }
        site.leave_out_balancers(0).await;
        create_service(control, service, carry).await;
        // Waits until the balancers have received the last shares.
        sleep(MEASUREMENT_WINDOW).await;
        site
    }

    fn start_balancer(&mut self, n: u8, control: SocketAddr) {
        let (host, data_centre) = (name(format!("lb-{n}")), name("dc"));
        let cfg = balancer::Settings {
            fabric_listen: Some(fabric_address(self.range, n)),
            return_listen: address(self.range, 11 + n, 7100),
            ..balancer::Settings::new(host, data_centre, vec![control])
        };
        // The task is ended by an abort, which closes its sockets without
        // notice; a stop would let it drain.
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
        self.stop_senders.push(stop_tx);
        actix_rt::spawn(async move {
            let certificate =
                ServiceCertificate::self_signed(vec!["localhost".into()]).expect("certificate");
            let ended = run_with_policy::<P>(cfg, certificate, &Registry::new(), stop).await;
            ended.expect("agent");
        });
    }

    /// Stops the site, so that it takes no CPU time from the next one.
    fn stop(self) {
        for balancer in &self.balancers {
            balancer.abort();
        }
        for stop in &self.stop_senders {
            stop.send_replace(true);
        }
    }

    /// Removes the first `lost` balancers from the fabric.
    async fn leave_out_balancers(&self, lost: usize) {
        let all = (0..BALANCERS).map(|n| fabric_address(self.range, n));
        let used: BTreeSet<SocketAddr> = all.skip(lost).collect();
        self.fabric.set_balancers(used).await;
    }

    async fn connect(&self) -> Caller {
        let service = self.fabric.service;
        let endpoint = Endpoint::open(service, ServerTrust::Any).expect("socket");
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

/// Creates the service and waits until each upstream has a share above zero.
async fn create_service(control: SocketAddr, service: SocketAddr, carry: Slots) {
    let operator = OperatorClient::new(HttpClient::default(), vec![control]);
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
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while upstreams_with_share(&operator).await < usize::from(UPSTREAMS) {
        assert!(
            Instant::now() < deadline,
            "the upstreams got no share within {WAIT_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(100)).await;
    }
}

async fn change(operator: &OperatorClient, base: Revision, change: Change) -> Revision {
    let req = ChangeRequest {
        id: ChangeId::generate(),
        author: name("bench"),
        base,
        change,
    };
    match operator.change(&req, Instant::now() + WAIT_TIMEOUT).await {
        ChangeReply::Final(Answer::Accepted(revision)) => revision,
        other => panic!("expected an accepted change, got {other:?}"),
    }
}

/// Number of upstreams with a share above zero, that is, those that get new
/// flows.
async fn upstreams_with_share(operator: &OperatorClient) -> usize {
    let deadline = Instant::now() + WAIT_TIMEOUT;
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
