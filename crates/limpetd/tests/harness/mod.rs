//! A small site of real processes on the loopback.
//!
//! Each test has a range of loopback addresses of its own, so that tests can
//! run at the same time. Every process ends with the test.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bytes::Bytes;
use caller::{Answer, Caller, Endpoint, Trust};
use client::{Http, Operator};
use http::Request;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use standin::{Fabric, FabricHandle, Upstream, UpstreamHandle};
use tempfile::TempDir;
use types::{
    Answer as ChangeAnswer, Change, ChangeId, ChangeRequest, Connections, Revision, Slots, Target,
};
use wire::request::{ChangeReply, Query, QueryReply, StatusReport};

/// Longest time for anything in a test to come about.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Pause between two looks at whether something has come about.
const LOOK: Duration = Duration::from_millis(50);

/// A process that ends with its owner.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn start(args: &[String], log: &Path) -> Process {
        let log = std::fs::File::create(log).expect("log file");
        let child = Command::new(env!("CARGO_BIN_EXE_limpetd"))
            .args(args)
            .env("LIMPET_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("limpetd starts");
        Process { child }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process id");
        kill(Pid::from_raw(id), signal).expect("signal");
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("process status");
        status.map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Parts of a site.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Second octet pair of the site's addresses; unique for each test.
    pub range: u8,
    pub control: u8,
    pub balancers: u8,
    pub upstreams: u8,
    /// Slots of each upstream.
    pub carry: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            range: 0,
            control: 3,
            balancers: 2,
            upstreams: 2,
            carry: 4,
        }
    }
}

/// A running site with one service.
pub struct Site {
    pub plan: Plan,
    pub dir: TempDir,
    pub control: Vec<Process>,
    pub balancers: Vec<Process>,
    pub agents: Vec<Process>,
    pub upstreams: Vec<UpstreamHandle>,
    pub fabric: FabricHandle,
    pub operator: Operator,
    starts: u32,
}

pub const SERVICE: &str = "vouchers";

impl Site {
    /// Starts the processes and the stand-ins; nothing is configured yet.
    pub async fn start(plan: Plan) -> Site {
        let service = address(plan.range, 100, 4433);
        let (fabric, handle) = Fabric::open(service, u64::from(plan.range))
            .await
            .expect("fabric");
        actix_rt::spawn(fabric.run());
        let mut site = Site {
            plan,
            dir: tempfile::tempdir().expect("data folder"),
            control: Vec::new(),
            balancers: Vec::new(),
            agents: Vec::new(),
            upstreams: Vec::new(),
            fabric: handle,
            operator: Operator::new(Http::default(), control_addresses(plan)),
            starts: 0,
        };
        for n in 0..plan.control {
            let process = site.start_control(n);
            site.control.push(process);
        }
        for n in 0..plan.balancers {
            let process = site.start_balancer(n);
            site.balancers.push(process);
        }
        for n in 0..plan.upstreams {
            let listen = (Ipv4Addr::LOCALHOST, 0).into();
            let upstream = Upstream::start(&format!("upstream-{n}"), listen).expect("upstream");
            site.upstreams.push(upstream);
            let process = site.start_agent(n);
            site.agents.push(process);
        }
        let all = (0..plan.balancers).map(|n| fabric_address(plan, n));
        site.fabric.set_balancers(all.collect()).await;
        site
    }

    /// Starts a site whose service is configured and answers.
    pub async fn serving(plan: Plan) -> Site {
        let site = Site::start(plan).await;
        let created = site.create_service().await;
        site.set_target(created, plan.carry).await;
        site.wait_until_shared(usize::from(plan.upstreams)).await;
        site
    }

    pub fn log(&mut self, name: &str) -> std::path::PathBuf {
        self.starts += 1;
        self.dir.path().join(format!("{name}.{}.log", self.starts))
    }

    pub fn start_control(&mut self, n: u8) -> Process {
        let group: Vec<String> = control_addresses(self.plan)
            .iter()
            .map(ToString::to_string)
            .collect();
        let data = self.dir.path().join(format!("control-{n}"));
        let args = [
            "control".into(),
            format!("--listen={}", control_address(self.plan, n)),
            format!("--data-dir={}", data.display()),
            format!("--group={}", group.join(",")),
        ];
        Process::start(&args, &self.log(&format!("control-{n}")))
    }

    pub fn node_args(&self, host: &str, n: u8) -> [String; 3] {
        let control: Vec<String> = control_addresses(self.plan)
            .iter()
            .map(ToString::to_string)
            .collect();
        [
            format!("--host={host}-{n}"),
            format!("--data-centre=dc{}", n % 3),
            format!("--control={}", control.join(",")),
        ]
    }

    pub fn start_balancer(&mut self, n: u8) -> Process {
        let mut args = vec!["balancer".into()];
        args.extend(self.node_args("balancer", n));
        args.push(format!("--fabric-listen={}", fabric_address(self.plan, n)));
        let return_address = address(self.plan.range, 11 + n, 7100);
        args.push(format!("--return-listen={return_address}"));
        Process::start(&args, &self.log(&format!("balancer-{n}")))
    }

    pub fn start_agent(&mut self, n: u8) -> Process {
        let upstream = self.upstreams[usize::from(n)].address;
        let mut args = vec!["agent".into()];
        args.extend(self.node_args("agent", n));
        args.push(format!("--service={SERVICE}"));
        args.push(format!("--upstream={upstream}"));
        args.push(format!(
            "--data-listen={}",
            address(self.plan.range, 51 + n, 7200)
        ));
        args.push(format!(
            "--peer-listen={}",
            address(self.plan.range, 51 + n, 7201)
        ));
        Process::start(&args, &self.log(&format!("agent-{n}")))
    }

    /// Sends a change and returns its answer.
    pub async fn change(&self, base: Revision, change: Change) -> ChangeReply {
        let req = ChangeRequest {
            id: ChangeId::generate(),
            author: "operator".parse().expect("name"),
            base,
            change,
        };
        self.operator.change(&req, Instant::now() + PATIENCE).await
    }

    pub async fn create_service(&self) -> Revision {
        let change = Change::CreateService {
            name: SERVICE.parse().expect("name"),
            address: self.fabric.service,
        };
        accepted(&self.change(Revision(0), change).await)
    }

    pub async fn set_target(&self, base: Revision, carry: u32) -> Revision {
        let change = Change::SetTarget {
            service: SERVICE.parse().expect("name"),
            class: "default".parse().expect("name"),
            target: Target {
                carry: Slots(carry),
                connections: Connections(2000),
                ..Target::default()
            },
        };
        accepted(&self.change(base, change).await)
    }

    pub async fn status(&self) -> StatusReport {
        let deadline = Instant::now() + PATIENCE;
        let reply = self.operator.query("/v1/query", &Query::Status, deadline);
        match reply.await.expect("status") {
            QueryReply::Status(report) => *report,
            other => panic!("unexpected reply {other:?}"),
        }
    }

    /// Waits until `count` upstreams get new flows.
    pub async fn wait_until_shared(&self, count: usize) {
        wait_for("upstreams with a share", async || {
            let status = self.status().await;
            let upstreams = status.services.iter().flat_map(|s| &s.upstreams);
            upstreams.filter(|u| u.share.0 > 0).count() >= count
        })
        .await;
    }

    /// Opens a connection to the service.
    pub async fn connect(&self) -> Caller {
        self.try_connect().await.expect("connection")
    }

    pub async fn try_connect(&self) -> caller::Result<Caller> {
        let endpoint = Endpoint::open(self.fabric.service, Trust::Any)?;
        Caller::connect(&endpoint, self.fabric.service, "localhost").await
    }

    /// Sends a request on a connection of its own.
    pub async fn call(&self, method: &str, path: &str, body: &str) -> caller::Result<Answer> {
        let mut caller = self.try_connect().await?;
        caller.send(request(method, path, body)).await
    }

    /// Hands datagrams only to these balancers.
    pub async fn use_balancers(&self, balancers: &[u8]) {
        let addresses: BTreeSet<_> = balancers
            .iter()
            .map(|n| fabric_address(self.plan, *n))
            .collect();
        self.fabric.set_balancers(addresses).await;
    }
}

/// A request of a caller.
pub fn request(method: &str, path: &str, body: &str) -> Request<Bytes> {
    Request::builder()
        .method(method)
        .uri(format!("https://localhost{path}"))
        .body(Bytes::copy_from_slice(body.as_bytes()))
        .expect("request")
}

/// The lines of a feed from `from` up to but without `to`.
pub fn feed_lines(from: u32, to: u32) -> String {
    use std::fmt::Write;
    (from..to).fold(String::new(), |mut text, line| {
        let _ = writeln!(text, "{line}");
        text
    })
}

pub fn accepted(reply: &ChangeReply) -> Revision {
    match reply {
        ChangeReply::Final(ChangeAnswer::Accepted(revision)) => *revision,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Waits until `check` holds.
pub async fn wait_for(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !check().await {
        assert!(Instant::now() < deadline, "no {what} in time");
        actix_rt::time::sleep(LOOK).await;
    }
}

pub fn address(range: u8, host: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 77, range, host), port).into()
}

pub fn control_address(plan: Plan, n: u8) -> SocketAddr {
    address(plan.range, 1 + n, 7000)
}

fn control_addresses(plan: Plan) -> Vec<SocketAddr> {
    (0..plan.control)
        .map(|n| control_address(plan, n))
        .collect()
}

fn fabric_address(plan: Plan, n: u8) -> SocketAddr {
    address(plan.range, 11 + n, 7101)
}
