//! Starts a small site of `limpetd` processes on the loopback interface.
//!
//! Each test has its own range of loopback addresses, so that tests can run in
//! parallel. All processes are killed when the test ends.

// Each test file is a crate of its own and uses only some of these items.
#![allow(dead_code)]

pub mod certificates;

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use auth::CertificateIdentity;
use bytes::Bytes;
use caller::{Caller, Endpoint, Response, ServerTrust};
use certificates::{CertificateAuthority, read_credentials, tls_flags};
use client::{HttpClient, OperatorClient};
use http::Request;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use standin::{Fabric, FabricHandle, Upstream, UpstreamHandle};
use tempfile::TempDir;
use types::{
    Answer as ChangeAnswer, Change, ChangeId, ChangeRequest, Connections, HedgeBudget, Revision,
    Share, Slots, Target,
};
use wire::request::{ChangeReply, Query, QueryReply, StatusReport};

/// Timeout for each condition that a test waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A `limpetd` process that is killed when this handle is dropped.
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

    /// Sends SIGKILL and waits until the process has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// `None` while the process runs, else its exit status or the signal that ended it.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("process status")
    }

    /// `None` while the process runs, else whether it exited with status 0.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.exit_status().map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Number and settings of the processes of a site.
#[derive(Debug, Clone, Copy)]
pub struct SitePlan {
    /// Third octet of the site's loopback addresses; unique for each test.
    pub range: u8,
    pub control: u8,
    pub balancers: u8,
    pub upstreams: u8,
    /// Slots of each upstream in the target of the service.
    pub carry: u32,
    /// Maximum number of connections of each upstream.
    pub connections: u32,
    /// Value of the agents' `--stay-at-most`.
    pub stay_at_most: &'static str,
    /// Path of the upstreams' load report; the agents read none if unset.
    pub load_path: Option<&'static str>,
    /// Requests per second that a cold upstream handles; no limit if unset.
    pub cold_per_s: Option<&'static str>,
    /// Whether the processes use mutual TLS.
    pub tls: bool,
}

impl Default for SitePlan {
    fn default() -> Self {
        SitePlan {
            range: 0,
            control: 3,
            balancers: 2,
            upstreams: 2,
            carry: 4,
            connections: 2000,
            stay_at_most: "1h",
            load_path: None,
            cold_per_s: None,
            tls: false,
        }
    }
}

/// A running site with one service. Its processes are killed on drop.
pub struct Site {
    pub plan: SitePlan,
    pub dir: TempDir,
    pub control: Vec<Process>,
    pub balancers: Vec<Process>,
    pub agents: Vec<Process>,
    pub upstreams: Vec<UpstreamHandle>,
    pub fabric: FabricHandle,
    pub operator: OperatorClient,
    /// Issues the certificates; `None` without mutual TLS.
    pub authority: Option<CertificateAuthority>,
    process_starts: u32,
}

/// On a failed test, keeps the logs and prints which processes had exited.
impl Drop for Site {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for (role, processes) in [
            ("control", &mut self.control),
            ("balancer", &mut self.balancers),
            ("agent", &mut self.agents),
        ] {
            for (n, process) in processes.iter_mut().enumerate() {
                if let Some(status) = process.exit_status() {
                    eprintln!("{role} {n} had exited before the test failed: {status}");
                }
            }
        }
        let kept_dir = self.dir.path().with_extension("kept");
        if std::fs::rename(self.dir.path(), &kept_dir).is_ok() {
            eprintln!("logs are kept in {}", kept_dir.display());
        }
    }
}

/// Name of the service.
pub const SERVICE: &str = "vouchers";

impl Site {
    /// Starts the processes, the fabric and the upstreams, without a service.
    pub async fn start(plan: SitePlan) -> Site {
        let service = address(plan.range, 100, 4433);
        let (fabric, handle) = Fabric::open(service, u64::from(plan.range))
            .await
            .expect("fabric");
        actix_rt::spawn(fabric.run());
        let dir = tempfile::tempdir().expect("data folder");
        let authority = plan
            .tls
            .then(|| CertificateAuthority::new(dir.path(), "site"));
        let operator = authority
            .as_ref()
            .map(|ca| read_credentials(&ca.issue("operator.operator.limpetplank.internal", None)));
        let mut site = Site {
            plan,
            dir,
            authority,
            control: Vec::new(),
            balancers: Vec::new(),
            agents: Vec::new(),
            upstreams: Vec::new(),
            fabric: handle,
            operator: OperatorClient::new(
                HttpClient::new(operator.as_ref()),
                control_addresses(plan),
            ),
            process_starts: 0,
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
        let fabric_addresses = (0..plan.balancers).map(|n| fabric_address(plan, n));
        site.fabric.set_balancers(fabric_addresses.collect()).await;
        site
    }

    /// Starts a site and creates its service, and returns once every upstream
    /// has a share.
    pub async fn start_serving(plan: SitePlan) -> Site {
        let site = Site::start(plan).await;
        let created = site.create_service().await;
        site.set_target(created, plan.carry).await;
        site.wait_for_upstreams_with_share(usize::from(plan.upstreams))
            .await;
        site
    }

    pub fn next_log_path(&mut self, name: &str) -> std::path::PathBuf {
        self.process_starts += 1;
        self.dir
            .path()
            .join(format!("{name}.{}.log", self.process_starts))
    }

    pub fn start_control(&mut self, n: u8) -> Process {
        let group: Vec<String> = control_addresses(self.plan)
            .iter()
            .map(ToString::to_string)
            .collect();
        let data = self.dir.path().join(format!("control-{n}"));
        let mut args = vec![
            "control".into(),
            format!("--listen={}", control_address(self.plan, n)),
            format!("--data-dir={}", data.display()),
            format!("--group={}", group.join(",")),
            format!("--metrics-listen={}", address(self.plan.range, 1 + n, 7300)),
        ];
        args.extend(self.tls_args(
            CertificateIdentity::CONTROL_DNS_NAME,
            control_address(self.plan, n),
        ));
        Process::start(&args, &self.next_log_path(&format!("control-{n}")))
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

    /// Issues a certificate for a process at `address` and returns the flags for
    /// it. Empty without mutual TLS.
    fn tls_args(&self, name: &str, address: SocketAddr) -> Vec<String> {
        let files = self
            .authority
            .as_ref()
            .map(|ca| ca.issue(name, Some(address.ip())));
        files.iter().flat_map(tls_flags).collect()
    }

    pub fn start_balancer(&mut self, n: u8) -> Process {
        let mut args = vec!["balancer".into()];
        args.extend(self.node_args("balancer", n));
        args.push(format!("--fabric-listen={}", fabric_address(self.plan, n)));
        let return_address = address(self.plan.range, 11 + n, 7100);
        args.push(format!("--return-listen={return_address}"));
        args.extend(self.tls_args(CertificateIdentity::NODE_DNS_NAME, return_address));
        Process::start(&args, &self.next_log_path(&format!("balancer-{n}")))
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
        args.push(format!("--stay-at-most={}", self.plan.stay_at_most));
        args.extend(self.tls_args(
            CertificateIdentity::NODE_DNS_NAME,
            peer_address(self.plan, n),
        ));
        if let Some(rate) = self.plan.cold_per_s {
            args.extend([format!("--cold-per-s={rate}"), "--cold-start=1h".into()]);
        }
        if let Some(path) = self.plan.load_path {
            args.push(format!("--load-path={path}"));
        }
        args.push(format!(
            "--metrics-listen={}",
            metrics_address(self.plan, n)
        ));
        Process::start(&args, &self.next_log_path(&format!("agent-{n}")))
    }

    /// Submits a change as `operator` and returns the reply.
    pub async fn change(&self, base: Revision, change: Change) -> ChangeReply {
        let req = ChangeRequest {
            id: ChangeId::generate(),
            author: "operator".parse().expect("name"),
            base,
            change,
        };
        self.operator
            .change(&req, Instant::now() + WAIT_TIMEOUT)
            .await
    }

    pub async fn create_service(&self) -> Revision {
        let change = Change::CreateService {
            name: SERVICE.parse().expect("name"),
            address: self.fabric.service,
        };
        accepted_revision(&self.change(Revision(0), change).await)
    }

    pub async fn set_target(&self, base: Revision, carry: u32) -> Revision {
        self.set_hedged_target(base, carry, None).await
    }

    pub async fn set_hedged_target(
        &self,
        base: Revision,
        carry: u32,
        hedge_budget: Option<HedgeBudget>,
    ) -> Revision {
        let change = Change::SetTarget {
            service: SERVICE.parse().expect("name"),
            class: "default".parse().expect("name"),
            target: Target {
                carry: Slots(carry),
                connections: Connections(self.plan.connections),
                hedge_budget,
                ..Target::default()
            },
        };
        accepted_revision(&self.change(base, change).await)
    }

    pub async fn status(&self) -> StatusReport {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let reply = self.operator.query("/v1/query", &Query::Status, deadline);
        match reply.await.expect("status") {
            QueryReply::Status(report) => *report,
            other => panic!("unexpected reply {other:?}"),
        }
    }

    /// Revision of the last change of the service.
    pub async fn service_revision(&self) -> Revision {
        let query = Query::Service(SERVICE.parse().expect("name"));
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let reply = self.operator.query("/v1/query", &query, deadline);
        match reply.await.expect("service") {
            QueryReply::Service(Some(service)) => service.revision,
            other => panic!("unexpected reply {other:?}"),
        }
    }

    /// Waits until at least `count` upstreams have a share above zero, so that
    /// they get new flows.
    pub async fn wait_for_upstreams_with_share(&self, count: usize) {
        self.wait_for_shares("upstreams with a share", count, Share(1))
            .await;
    }

    /// Waits until at least `count` upstreams have a share of `share` or more.
    pub async fn wait_for_shares(&self, what: &str, count: usize, share: Share) {
        wait_for(what, async || {
            let status = self.status().await;
            let upstreams = status.services.iter().flat_map(|s| &s.upstreams);
            upstreams.filter(|u| u.share >= share).count() >= count
        })
        .await;
    }

    /// Opens a connection to the service; panics if that fails.
    pub async fn connect(&self) -> Caller {
        self.try_connect().await.expect("connection")
    }

    pub async fn try_connect(&self) -> caller::Result<Caller> {
        let endpoint = Endpoint::open(self.fabric.service, ServerTrust::Any)?;
        Caller::connect(&endpoint, self.fabric.service, "localhost").await
    }

    /// Sends a request on a new connection.
    pub async fn call(&self, method: &str, path: &str, body: &str) -> caller::Result<Response> {
        let mut caller = self.try_connect().await?;
        caller.send(request(method, path, body)).await
    }

    /// Value of a metric of agent `n`; zero if the metric is missing.
    pub async fn agent_metric(&self, n: u8, name: &str) -> f64 {
        self.metric_at(metrics_address(self.plan, n), name).await
    }

    /// Value of a metric of control host `n`; zero if the metric is missing.
    pub async fn control_metric(&self, n: u8, name: &str) -> f64 {
        self.metric_at(address(self.plan.range, 1 + n, 7300), name)
            .await
    }

    async fn metric_at(&self, address: SocketAddr, name: &str) -> f64 {
        let get = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let text = send_text(address, get).await;
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.and_then(|v| v.trim().parse().ok()).unwrap_or(0.0)
    }

    /// Number of datagrams that agent `n` dropped for `cause`.
    pub async fn dropped_datagrams(&self, n: u8, cause: &str) -> f64 {
        let name = format!("limpet_agent_dropped_datagrams_total{{cause=\"{cause}\"}}");
        self.agent_metric(n, &name).await
    }

    /// Lets the fabric send datagrams only to these balancers.
    pub async fn set_fabric_balancers(&self, balancers: &[u8]) {
        let addresses: BTreeSet<_> = balancers
            .iter()
            .map(|n| fabric_address(self.plan, *n))
            .collect();
        self.fabric.set_balancers(addresses).await;
    }
}

/// A request to `localhost`.
pub fn request(method: &str, path: &str, body: &str) -> Request<Bytes> {
    Request::builder()
        .method(method)
        .uri(format!("https://localhost{path}"))
        .body(Bytes::copy_from_slice(body.as_bytes()))
        .expect("request")
}

/// Sends a GET and returns the body of the answer; panics if it is cut short.
pub async fn get_text(caller: &mut Caller, path: &str) -> String {
    let mut answer = caller.send(request("GET", path, "")).await.expect("answer");
    let body = answer.read_body().await.expect("whole answer");
    String::from_utf8_lossy(&body).into_owned()
}

/// Sends `text` over TCP and reads the answer until the server closes the
/// connection.
pub async fn send_text(address: SocketAddr, text: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connection");
    stream.write_all(text.as_bytes()).await.expect("write");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("answer");
    String::from_utf8_lossy(&answer).into_owned()
}

/// The text of the feed lines in `from..to`.
pub fn feed_lines(from: u32, to: u32) -> String {
    use std::fmt::Write;
    (from..to).fold(String::new(), |mut text, line| {
        let _ = writeln!(text, "{line}");
        text
    })
}

/// The revision of an accepted change; panics on any other reply.
pub fn accepted_revision(reply: &ChangeReply) -> Revision {
    match reply {
        ChangeReply::Final(ChangeAnswer::Accepted(revision)) => *revision,
        other => panic!("expected an accepted change, got {other:?}"),
    }
}

/// Polls `check` until it returns `true`; panics after [`WAIT_TIMEOUT`].
pub async fn wait_for(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !check().await {
        assert!(
            Instant::now() < deadline,
            "timed out after {WAIT_TIMEOUT:?} waiting for: {what}"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

pub fn address(range: u8, host: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 77, range, host), port).into()
}

pub fn control_address(plan: SitePlan, n: u8) -> SocketAddr {
    address(plan.range, 1 + n, 7000)
}

fn control_addresses(plan: SitePlan) -> Vec<SocketAddr> {
    (0..plan.control)
        .map(|n| control_address(plan, n))
        .collect()
}

/// Address of the metrics server of agent `n`.
pub fn metrics_address(plan: SitePlan, n: u8) -> SocketAddr {
    address(plan.range, 51 + n, 7300)
}

/// Address at which agent `n` accepts requests from peers.
pub fn peer_address(plan: SitePlan, n: u8) -> SocketAddr {
    address(plan.range, 51 + n, 7201)
}

/// Address at which agent `n` receives datagrams.
pub fn data_address(plan: SitePlan, n: u8) -> SocketAddr {
    address(plan.range, 51 + n, 7200)
}

fn fabric_address(plan: SitePlan, n: u8) -> SocketAddr {
    address(plan.range, 11 + n, 7101)
}
