//! Balancers that are restarted, paused and sent random datagrams, as real
//! processes.

mod harness;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::{
    task::JoinHandle,
    time::{sleep, timeout},
};
use caller::{Caller, Endpoint, ServerTrust};
use harness::{
    Process, SERVICE, Site, SitePlan, WAIT_TIMEOUT, address, feed_lines, request, wait_for,
};
use nix::sys::signal::Signal;
use standin::{FabricHandle, Upstream};
use types::{Change, ClassName, Connections, Revision, Slots, Target};
use wire::{Endpoints, Prefix};

/// Slots of each upstream, enough for all feeds and requests of each test.
const UPSTREAM_SLOTS: u32 = 64;

/// Interval between two requests of a loop.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two health checks, and the timeout for their answers.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn fabric_address(range: u8, n: u8) -> SocketAddr {
    address(range, 11 + n, 7101)
}

/// Simulates the health check of a fabric, which sends datagrams only to
/// balancers that answer a probe within [`HEALTH_CHECK_INTERVAL`]. Returns the
/// set of balancers that answered the last probe.
fn check_health(fabric: FabricHandle, range: u8) -> Rc<RefCell<BTreeSet<SocketAddr>>> {
    let healthy = Rc::<RefCell<BTreeSet<SocketAddr>>>::default();
    let result = Rc::clone(&healthy);
    actix_rt::spawn(async move {
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        loop {
            let mut answered = BTreeSet::new();
            for n in 0..2 {
                let _ = socket
                    .send_to(&Prefix::probe(), fabric_address(range, n))
                    .await;
            }
            let answers = async {
                let mut buf = [0; 64];
                while let Ok((_, from)) = socket.recv_from(&mut buf).await {
                    answered.insert(from);
                }
            };
            let _ = timeout(HEALTH_CHECK_INTERVAL, answers).await;
            fabric.set_balancers(answered.clone()).await;
            healthy.replace(answered);
        }
    });
    result
}

/// Opens `count` feeds and spawns a task for each that reads the feed to its end
/// and returns the text, or the error.
async fn open_feeds(site: &Site, count: usize, lines: u32) -> Vec<JoinHandle<String>> {
    let mut feeds = Vec::new();
    for _ in 0..count {
        let mut caller = site.connect().await;
        let path = format!("/feed?ms=50&lines={lines}");
        let mut feed = caller.send(request("GET", &path, "")).await.unwrap();
        feeds.push(actix_rt::spawn(async move {
            // Dropping the caller would close the connection.
            let _caller = caller;
            match feed.read_body().await {
                Ok(body) => String::from_utf8_lossy(&body).into_owned(),
                Err(e) => e.to_string(),
            }
        }));
    }
    feeds
}

async fn expect_complete(feeds: Vec<JoinHandle<String>>, lines: u32) {
    for feed in feeds {
        assert_eq!(feed.await.unwrap(), feed_lines(0, lines));
    }
}

/// Sends one request after another, each on a new connection, until `done` is
/// set. Returns the number of requests and the failures.
fn send_requests_until(
    endpoint: Endpoint,
    service: SocketAddr,
    done: Rc<Cell<bool>>,
    expected: &'static str,
) -> JoinHandle<(u32, Vec<String>)> {
    actix_rt::spawn(async move {
        let (mut count, mut failures) = (0, Vec::new());
        while !done.get() {
            count += 1;
            if let Err(failure) = one_request(&endpoint, service, expected).await {
                failures.push(failure);
            }
            sleep(REQUEST_INTERVAL).await;
        }
        (count, failures)
    })
}

async fn one_request(
    endpoint: &Endpoint,
    service: SocketAddr,
    expected: &str,
) -> Result<(), String> {
    let text = |e: caller::Error| e.to_string();
    let mut caller = Caller::connect(endpoint, service, "localhost")
        .await
        .map_err(text)?;
    let mut answer = caller.send(request("GET", "/", "")).await.map_err(text)?;
    let body = answer.read_body().await.map_err(text)?;
    let body = String::from_utf8_lossy(&body);
    if answer.status == 200 && body.starts_with(expected) {
        Ok(())
    } else {
        Err(format!("{} {body}", answer.status))
    }
}

/// A task that sends requests until it is told to stop.
struct RequestLoop {
    done: Rc<Cell<bool>>,
    requests: JoinHandle<(u32, Vec<String>)>,
}

impl RequestLoop {
    fn start(endpoint: &Endpoint, service: SocketAddr, expected: &'static str) -> Self {
        let done = Rc::new(Cell::new(false));
        let requests = send_requests_until(endpoint.clone(), service, done.clone(), expected);
        RequestLoop { done, requests }
    }

    fn start_on(site: &Site) -> Self {
        let endpoint = Endpoint::open(site.fabric.service, ServerTrust::Any).unwrap();
        RequestLoop::start(&endpoint, site.fabric.service, "served by upstream-")
    }

    async fn expect_all_answered(self) {
        self.done.set(true);
        let (count, failures) = self.requests.await.unwrap();
        let failed = failures.len();
        assert!(
            failures.is_empty(),
            "{failed} of {count} requests failed: {failures:?}"
        );
        assert!(count > 50, "expected more than 50 requests, sent {count}");
    }
}

/// P1. Guards against a planned restart that breaks a flow or a request: a
/// balancer that closes its sockets while agents or the fabric still use it, or
/// that gets datagrams before it can forward them.
#[actix_rt::test]
async fn rolling_restart_of_balancers_breaks_no_flow() {
    const LINES: u32 = 340;
    let range = 70;
    let mut site = Site::start_serving(SitePlan {
        range,
        carry: UPSTREAM_SLOTS,
        ..SitePlan::default()
    })
    .await;
    let healthy = check_health(site.fabric.clone(), range);
    let feeds = open_feeds(&site, 6, LINES).await;
    let requests = RequestLoop::start_on(&site);
    for n in 0..2 {
        let at = usize::from(n);
        site.balancers[at].signal(Signal::SIGTERM);
        let process = &mut site.balancers[at];
        wait_for("exit of the balancer", async || {
            process.exit_success().is_some()
        })
        .await;
        assert_eq!(
            process.exit_success(),
            Some(true),
            "balancer {n} exited with status 0"
        );
        site.balancers[at] = site.start_balancer(n);
        wait_for("restarted balancer", async || {
            healthy.borrow().contains(&fabric_address(range, n))
        })
        .await;
    }
    // Long enough for both balancers to get datagrams again.
    sleep(Duration::from_secs(1)).await;
    requests.expect_all_answered().await;
    expect_complete(feeds, LINES).await;
}

/// Guards against a paused balancer that breaks flows, and against one that
/// stays on an old version or gets no datagrams after it is resumed.
#[actix_rt::test]
async fn paused_balancer_breaks_no_flow_and_catches_up() {
    const LINES: u32 = 140;
    let range = 71;
    let site = Site::start_serving(SitePlan {
        range,
        carry: UPSTREAM_SLOTS,
        ..SitePlan::default()
    })
    .await;
    let healthy = check_health(site.fabric.clone(), range);
    let feeds = open_feeds(&site, 4, LINES).await;
    let requests = RequestLoop::start_on(&site);
    sleep(Duration::from_millis(500)).await;
    site.balancers[0].signal(Signal::SIGSTOP);
    sleep(Duration::from_secs(1)).await;
    let before = site.service_revision().await;
    let revision = site.set_target(before, UPSTREAM_SLOTS + 1).await;
    sleep(Duration::from_secs(2)).await;
    site.balancers[0].signal(Signal::SIGCONT);
    wait_for("new revision at the resumed balancer", async || {
        let status = site.status().await;
        let mut nodes = status.nodes.iter();
        let node = nodes.find(|node| node.host.to_string() == "balancer-0");
        node.is_some_and(|node| node.version.is_some_and(|v| v.revision >= revision))
            && healthy.borrow().contains(&fabric_address(range, 0))
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    requests.expect_all_answered().await;
    expect_complete(feeds, LINES).await;
}

/// P2. Guards against an answer from the upstream of another service, with two
/// services whose addresses the same balancer opens itself.
#[actix_rt::test]
async fn answers_come_from_the_requested_service() {
    let range = 72;
    let mut site = Site::start(SitePlan {
        range,
        balancers: 0,
        upstreams: 1,
        ..SitePlan::default()
    })
    .await;
    let own = Upstream::start("badge-0", "127.0.0.1:0".parse().unwrap()).unwrap();
    let [vouchers, badges] = [4433, 4434].map(|port| address(range, 101, port));
    let mut agent = vec!["agent".into()];
    agent.extend(site.node_args("agent", 1));
    agent.push("--service=badges".into());
    agent.push(format!("--upstream={}", own.address));
    agent.push(format!("--data-listen={}", address(range, 52, 7200)));
    agent.push(format!("--peer-listen={}", address(range, 52, 7201)));
    let mut direct = vec!["balancer".into()];
    direct.extend(site.node_args("balancer", 0));
    direct.push(format!("--services-listen={}", address(range, 101, 0).ip()));
    direct.push(format!("--return-listen={}", address(range, 11, 7100)));
    let processes = [(agent, "badges"), (direct, "direct")];
    let _processes = processes.map(|(args, name)| Process::start(&args, &site.next_log_path(name)));
    for (name, address) in [(SERVICE, vouchers), ("badges", badges)] {
        create_service(&site, name, address).await;
    }
    site.wait_for_upstreams_with_share(2).await;

    let cases = [
        (vouchers, "served by upstream-0"),
        (badges, "served by badge-0"),
    ];
    // Requests to both services share one socket, so that their datagrams
    // differ only in the service address.
    let endpoint = Endpoint::open(vouchers, ServerTrust::Any).unwrap();
    let request_loops = cases.map(|(service, expected)| {
        [(); 2].map(|()| RequestLoop::start(&endpoint, service, expected))
    });
    sleep(Duration::from_secs(4)).await;
    for requests in request_loops.into_iter().flatten() {
        requests.expect_all_answered().await;
    }
}

async fn create_service(site: &Site, name: &str, address: SocketAddr) {
    let create = Change::CreateService {
        name: name.parse().unwrap(),
        address,
    };
    let created = harness::accepted_revision(&site.change(Revision(0), create).await);
    let set = Change::SetTarget {
        service: name.parse().unwrap(),
        class: ClassName::default(),
        target: Target {
            carry: Slots(UPSTREAM_SLOTS),
            connections: Connections(2000),
            ..Target::default()
        },
    };
    harness::accepted_revision(&site.change(created, set).await);
}

/// Guards against datagrams from outside that crash or block a process.
#[actix_rt::test]
async fn random_datagrams_at_every_port_stop_no_process() {
    const LINES: u32 = 100;
    let range = 73;
    let mut site = Site::start_serving(SitePlan {
        range,
        carry: UPSTREAM_SLOTS,
        ..SitePlan::default()
    })
    .await;
    let service = site.fabric.service;
    let feeds = open_feeds(&site, 2, LINES).await;
    let requests = RequestLoop::start_on(&site);
    let mut ports = vec![service];
    for n in 0..2 {
        ports.push(fabric_address(range, n));
        ports.push(address(range, 11 + n, 7100));
        ports.push(address(range, 51 + n, 7200));
    }
    let sender = std::thread::spawn(move || send_random_datagrams(&ports, service));
    wait_for("end of the random datagrams", async || sender.is_finished()).await;
    sender.join().unwrap();
    requests.expect_all_answered().await;
    expect_complete(feeds, LINES).await;
    let processes = site.balancers.iter_mut().chain(&mut site.agents);
    for process in processes {
        assert_eq!(process.exit_success(), None);
    }
}

/// Sends 500 rounds of a random datagram to each port, in turn without a prefix,
/// with a valid prefix, and with a prefix in which one bit is flipped. Takes
/// about 3 s.
fn send_random_datagrams(ports: &[SocketAddr], service: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    // Bytes from splitmix64 with a fixed seed.
    let mut seed = 73_u64;
    let mut random = move || {
        seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z ^ (z >> 27)
    };
    let begun = Instant::now();
    for round in 0..500 {
        for port in ports {
            let words = random() % 80;
            let mut bytes: Vec<u8> = (0..words).flat_map(|_| random().to_be_bytes()).collect();
            if round % 3 > 0 {
                let mut datagram = Vec::new();
                let caller = "127.0.0.1:9".parse().unwrap();
                Endpoints { caller, service }.encode(&mut datagram);
                if round % 3 == 2 {
                    let at = usize::try_from(random() % 28).unwrap();
                    datagram[at] ^= 1 << (random() % 8);
                }
                datagram.append(&mut bytes);
                bytes = datagram;
            }
            let _ = socket.send_to(&bytes, port);
        }
        std::thread::sleep(Duration::from_millis(6));
        assert!(begun.elapsed() < WAIT_TIMEOUT);
    }
}
