//! The processes of a site.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    fs::File,
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use client::{HttpClient, OperatorClient};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use standin::{Fabric, FabricHandle, Upstream, UpstreamHandle};
use tempfile::TempDir;
use tokio::net::UdpSocket;
use wire::Prefix;

/// Name of the service.
pub const SERVICE: &str = "vouchers";

/// Number of control hosts.
pub const CONTROL_HOSTS: u8 = 3;
/// Number of balancers.
pub const BALANCERS: u8 = 3;

/// Number of upstreams, each with an agent.
pub const UPSTREAMS: u8 = 4;

/// Interval between two health checks of the fabric, and the timeout for their
/// answers.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A process of the site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SiteProcess {
    /// A control host.
    Control(u8),
    /// A balancer.
    Balancer(u8),
    /// An agent.
    Agent(u8),
}

impl fmt::Display for SiteProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SiteProcess::Control(n) => write!(f, "control-{n}"),
            SiteProcess::Balancer(n) => write!(f, "balancer-{n}"),
            SiteProcess::Agent(n) => write!(f, "agent-{n}"),
        }
    }
}

/// The running processes of a site, which are killed on drop.
pub struct Site {
    program: PathBuf,
    range: u8,
    dir: TempDir,
    processes: BTreeMap<SiteProcess, Child>,
    upstreams: Vec<UpstreamHandle>,
    fabric: FabricHandle,
    process_starts: u32,
}

impl Site {
    /// Starts all processes, the fabric and the upstreams.
    ///
    /// # Errors
    ///
    /// A process cannot be started, or an address cannot be bound.
    pub async fn start(program: PathBuf, range: u8) -> io::Result<Site> {
        let service = (Ipv4Addr::new(127, 77, range, 100), 4433).into();
        let (fabric, handle) = Fabric::open(service, 0).await.map_err(io::Error::other)?;
        actix_rt::spawn(fabric.run());
        let mut site = Site {
            program,
            range,
            dir: tempfile::tempdir()?,
            processes: BTreeMap::new(),
            upstreams: Vec::new(),
            fabric: handle,
            process_starts: 0,
        };
        for n in 0..UPSTREAMS {
            let listen = (Ipv4Addr::LOCALHOST, 0).into();
            let upstream = Upstream::start(&format!("upstream-{n}"), listen);
            site.upstreams.push(upstream.map_err(io::Error::other)?);
        }
        for process in Site::all_processes() {
            site.spawn(process)?;
        }
        let balancers = (0..BALANCERS).map(|n| site.address(11 + n, 7101));
        actix_rt::spawn(check_health(site.fabric.clone(), balancers.collect()));
        Ok(site)
    }

    /// All processes of a site.
    pub fn all_processes() -> impl Iterator<Item = SiteProcess> {
        let control = (0..CONTROL_HOSTS).map(SiteProcess::Control);
        let balancers = (0..BALANCERS).map(SiteProcess::Balancer);
        control
            .chain(balancers)
            .chain((0..UPSTREAMS).map(SiteProcess::Agent))
    }

    /// Address of the service.
    #[must_use]
    pub fn service(&self) -> SocketAddr {
        self.fabric.service
    }

    /// Creates a client of the control group.
    #[must_use]
    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new(HttpClient::default(), self.control())
    }

    /// Number of runs of each claim, summed over all upstreams.
    pub async fn runs(&self) -> BTreeMap<Bytes, u64> {
        let mut all = BTreeMap::new();
        for upstream in &self.upstreams {
            for (id, runs) in upstream.runs().await {
                *all.entry(id).or_default() += runs;
            }
        }
        all
    }

    /// Kills all processes, keeps the folder with their logs and returns its path.
    #[must_use]
    pub fn keep_logs(mut self) -> PathBuf {
        self.kill_all();
        self.dir.disable_cleanup(true);
        self.dir.path().into()
    }

    /// Starts a process, which must not be running.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn spawn(&mut self, process: SiteProcess) -> io::Result<()> {
        self.process_starts += 1;
        let log = self
            .dir
            .path()
            .join(format!("{:03}-{process}.log", self.process_starts));
        let child = Command::new(&self.program)
            .args(self.args(process))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log)?)
            .spawn()?;
        self.processes.insert(process, child);
        Ok(())
    }

    /// Sends a signal to a process, if it is running.
    pub fn signal(&self, process: SiteProcess, signal: Signal) {
        if let Some(id) = self.processes.get(&process).map(Child::id) {
            // Fails if the process has exited meanwhile.
            let _ = i32::try_from(id).map(|id| kill(Pid::from_raw(id), signal));
        }
    }

    /// `None` while the process runs, else whether it exited with status 0.
    pub fn exit_success(&mut self, process: SiteProcess) -> Option<bool> {
        let child = self.processes.get_mut(&process)?;
        let status = child.try_wait().ok()??;
        Some(status.success())
    }

    fn args(&self, process: SiteProcess) -> Vec<String> {
        let control: Vec<String> = self.control().iter().map(ToString::to_string).collect();
        let control = control.join(",");
        let at = |host, port| self.address(host, port);
        let node = |n: u8| {
            vec![
                format!("--host={process}"),
                format!("--data-centre=dc{}", n % 3),
                format!("--control={control}"),
            ]
        };
        let (role, args) = match process {
            SiteProcess::Control(n) => (
                "control",
                vec![
                    format!("--listen={}", at(1 + n, 7000)),
                    format!(
                        "--data-dir={}",
                        self.dir.path().join(process.to_string()).display()
                    ),
                    format!("--group={control}"),
                ],
            ),
            SiteProcess::Balancer(n) => {
                let mut args = node(n);
                args.push(format!("--fabric-listen={}", at(11 + n, 7101)));
                args.push(format!("--return-listen={}", at(11 + n, 7100)));
                ("balancer", args)
            }
            SiteProcess::Agent(n) => {
                let mut args = node(n);
                let upstream = self.upstreams[usize::from(n)].address;
                args.push(format!("--service={SERVICE}"));
                args.push(format!("--upstream={upstream}"));
                args.push(format!("--data-listen={}", at(51 + n, 7200)));
                args.push(format!("--peer-listen={}", at(51 + n, 7201)));
                ("agent", args)
            }
        };
        std::iter::once(role.to_string()).chain(args).collect()
    }

    fn control(&self) -> Vec<SocketAddr> {
        (0..CONTROL_HOSTS)
            .map(|n| self.address(1 + n, 7000))
            .collect()
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, 77, self.range, host), port).into()
    }

    fn kill_all(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Polls `check` until it returns `true`. Returns `false` if it has not done so
/// by `deadline`.
pub async fn wait_until(deadline: Instant, mut check: impl AsyncFnMut() -> bool) -> bool {
    while !check().await {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}

/// Simulates the health check of a fabric, which sends datagrams only to
/// balancers that answer a probe in time, and to all of them if none answers.
async fn check_health(fabric: FabricHandle, balancers: BTreeSet<SocketAddr>) {
    let Ok(socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else {
        return;
    };
    loop {
        let mut healthy = BTreeSet::new();
        for balancer in &balancers {
            let _ = socket.send_to(&Prefix::probe(), balancer).await;
        }
        let answers = async {
            let mut buf = [0; 64];
            while let Ok((_, from)) = socket.recv_from(&mut buf).await {
                healthy.insert(from);
            }
        };
        let _ = timeout(HEALTH_CHECK_INTERVAL, answers).await;
        let used = if healthy.is_empty() {
            balancers.clone()
        } else {
            healthy
        };
        fabric.set_balancers(used).await;
    }
}
