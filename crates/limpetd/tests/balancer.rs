//! Balancers that are restarted, frozen and sent garbage, as real processes.

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
use caller::{Caller, Endpoint, Trust};
use harness::{PATIENCE, Plan, Process, SERVICE, Site, address, feed_lines, request, wait_for};
use nix::sys::signal::Signal;
use standin::{FabricHandle, Upstream};
use types::{Change, ClassName, Connections, Revision, Slots, Target};
use wire::{Endpoints, Prefix};

/// Enough slots for the feeds and requests of every test.
const CARRY: u32 = 64;

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Pause between two health checks, and time for their answer.
const CHECK: Duration = Duration::from_millis(100);

fn balancer(range: u8, n: u8) -> SocketAddr {
    address(range, 11 + n, 7101)
}

/// Stands in for the health check of a fabric: hands datagrams only to balancers
/// that answer a probe in time. Returns those that answered last.
fn check_health(fabric: FabricHandle, range: u8) -> Rc<RefCell<BTreeSet<SocketAddr>>> {
    let healthy = Rc::<RefCell<BTreeSet<SocketAddr>>>::default();
    let result = Rc::clone(&healthy);
    actix_rt::spawn(async move {
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        loop {
            let mut answered = BTreeSet::new();
            for n in 0..2 {
                let _ = socket.send_to(&Prefix::probe(), balancer(range, n)).await;
            }
            let answers = async {
                let mut buf = [0; 64];
                while let Ok((_, from)) = socket.recv_from(&mut buf).await {
                    answered.insert(from);
                }
            };
            let _ = timeout(CHECK, answers).await;
            fabric.set_balancers(answered.clone()).await;
            healthy.replace(answered);
        }
    });
    result
}

/// Opens feeds that are read to their end by tasks of their own. Each returns
/// what it has read.
async fn open_feeds(site: &Site, count: usize, lines: u32) -> Vec<JoinHandle<String>> {
    let mut feeds = Vec::new();
    for _ in 0..count {
        let mut caller = site.connect().await;
        let path = format!("/feed?ms=50&lines={lines}");
        let mut feed = caller.send(request("GET", &path, "")).await.unwrap();
        feeds.push(actix_rt::spawn(async move {
            // The connection stays open as long as its caller lives.
            let _caller = caller;
            match feed.body().await {
                Ok(body) => String::from_utf8_lossy(&body).into_owned(),
                Err(e) => e.to_string(),
            }
        }));
    }
    feeds
}

async fn expect_whole(feeds: Vec<JoinHandle<String>>, lines: u32) {
    for feed in feeds {
        assert_eq!(feed.await.unwrap(), feed_lines(0, lines));
    }
}

/// Requests one after another on new connections until `done` is set. Returns
/// how many there were, and what failed.
fn request_steadily(
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
            sleep(PAUSE).await;
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
    let body = answer.body().await.map_err(text)?;
    let body = String::from_utf8_lossy(&body);
    if answer.status == 200 && body.starts_with(expected) {
        Ok(())
    } else {
        Err(format!("{} {body}", answer.status))
    }
}

/// Requests that go on until they are to end.
struct Steady {
    done: Rc<Cell<bool>>,
    requests: JoinHandle<(u32, Vec<String>)>,
}

impl Steady {
    fn start(endpoint: &Endpoint, service: SocketAddr, expected: &'static str) -> Self {
        let done = Rc::new(Cell::new(false));
        let requests = request_steadily(endpoint.clone(), service, done.clone(), expected);
        Steady { done, requests }
    }

    fn on(site: &Site) -> Self {
        let endpoint = Endpoint::open(site.fabric.service, Trust::Any).unwrap();
        Steady::start(&endpoint, site.fabric.service, "served by upstream-")
    }

    async fn expect_all_answered(self) {
        self.done.set(true);
        let (count, failures) = self.requests.await.unwrap();
        let failed = failures.len();
        assert!(failures.is_empty(), "{failed} of {count}: {failures:?}");
        assert!(count > 50, "only {count} requests");
    }
}

/// Guards against a planned restart that breaks a flow or a request (promise
/// P1): a balancer that closes before agents and fabric have turned away, or
/// that is chosen before it can forward.
#[actix_rt::test]
async fn a_rolling_restart_of_the_balancers_breaks_nothing() {
    const LINES: u32 = 340;
    let range = 70;
    let mut site = Site::serving(Plan {
        range,
        carry: CARRY,
        ..Plan::default()
    })
    .await;
    let healthy = check_health(site.fabric.clone(), range);
    let feeds = open_feeds(&site, 6, LINES).await;
    let requests = Steady::on(&site);
    for n in 0..2 {
        let at = usize::from(n);
        site.balancers[at].signal(Signal::SIGTERM);
        let process = &mut site.balancers[at];
        wait_for("end of the balancer", async || process.ended().is_some()).await;
        assert_eq!(process.ended(), Some(true), "balancer {n} ended gracefully");
        site.balancers[at] = site.start_balancer(n);
        wait_for("restarted balancer", async || {
            healthy.borrow().contains(&balancer(range, n))
        })
        .await;
    }
    // Long enough for both to be used again.
    sleep(Duration::from_secs(1)).await;
    requests.expect_all_answered().await;
    expect_whole(feeds, LINES).await;
}

/// Guards against a frozen balancer that breaks flows, and against one that
/// wakes and stays on an old version or is not used again.
#[actix_rt::test]
async fn a_frozen_balancer_breaks_nothing_and_catches_up() {
    const LINES: u32 = 140;
    let range = 71;
    let site = Site::serving(Plan {
        range,
        carry: CARRY,
        ..Plan::default()
    })
    .await;
    let healthy = check_health(site.fabric.clone(), range);
    let feeds = open_feeds(&site, 4, LINES).await;
    let requests = Steady::on(&site);
    sleep(Duration::from_millis(500)).await;
    site.balancers[0].signal(Signal::SIGSTOP);
    sleep(Duration::from_secs(1)).await;
    let before = site.status().await.version.revision;
    let revision = site.set_target(before, CARRY + 1).await;
    sleep(Duration::from_secs(2)).await;
    site.balancers[0].signal(Signal::SIGCONT);
    wait_for("woken balancer on the new revision", async || {
        let status = site.status().await;
        let mut nodes = status.nodes.iter();
        let node = nodes.find(|node| node.host.to_string() == "balancer-0");
        node.is_some_and(|node| node.version.is_some_and(|v| v.revision >= revision))
            && healthy.borrow().contains(&balancer(range, 0))
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    requests.expect_all_answered().await;
    expect_whole(feeds, LINES).await;
}

/// Guards against an answer of another service (promise P2), and against
/// services that one balancer opens itself.
#[actix_rt::test]
async fn two_services_never_answer_for_each_other() {
    let range = 72;
    let mut site = Site::start(Plan {
        range,
        balancers: 0,
        upstreams: 1,
        ..Plan::default()
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
    let _processes = processes.map(|(args, name)| Process::start(&args, &site.log(name)));
    for (name, address) in [(SERVICE, vouchers), ("badges", badges)] {
        configure(&site, name, address).await;
    }
    site.wait_until_shared(2).await;

    let cases = [
        (vouchers, "served by upstream-0"),
        (badges, "served by badge-0"),
    ];
    // The same socket asks both services, so that only the service tells
    // their datagrams apart.
    let endpoint = Endpoint::open(vouchers, Trust::Any).unwrap();
    let steady = cases
        .map(|(service, expected)| [(); 2].map(|()| Steady::start(&endpoint, service, expected)));
    sleep(Duration::from_secs(4)).await;
    for requests in steady.into_iter().flatten() {
        requests.expect_all_answered().await;
    }
}

async fn configure(site: &Site, name: &str, address: SocketAddr) {
    let create = Change::CreateService {
        name: name.parse().unwrap(),
        address,
    };
    let created = harness::accepted(&site.change(Revision(0), create).await);
    let set = Change::SetTarget {
        service: name.parse().unwrap(),
        class: ClassName::default(),
        target: Target {
            carry: Slots(CARRY),
            connections: Connections(2000),
            ..Target::default()
        },
    };
    harness::accepted(&site.change(created, set).await);
}

/// Guards against input from outside that ends or blocks a process.
#[actix_rt::test]
async fn garbage_at_every_port_stops_nothing() {
    const LINES: u32 = 100;
    let range = 73;
    let mut site = Site::serving(Plan {
        range,
        carry: CARRY,
        ..Plan::default()
    })
    .await;
    let service = site.fabric.service;
    let feeds = open_feeds(&site, 2, LINES).await;
    let requests = Steady::on(&site);
    let mut ports = vec![service];
    for n in 0..2 {
        ports.push(balancer(range, n));
        ports.push(address(range, 11 + n, 7100));
        ports.push(address(range, 51 + n, 7200));
    }
    let garbage = std::thread::spawn(move || throw_garbage(&ports, service));
    wait_for("end of the garbage", async || garbage.is_finished()).await;
    garbage.join().unwrap();
    requests.expect_all_answered().await;
    expect_whole(feeds, LINES).await;
    let processes = site.balancers.iter_mut().chain(&mut site.agents);
    for process in processes {
        assert_eq!(process.ended(), None);
    }
}

/// Sends 500 rounds of a random datagram to each port: bare, behind a valid
/// prefix, and behind one with a changed byte. It takes about 3 s.
fn throw_garbage(ports: &[SocketAddr], service: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    // A fixed seed; splitmix64 gives the bytes.
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
        assert!(begun.elapsed() < PATIENCE);
    }
}
