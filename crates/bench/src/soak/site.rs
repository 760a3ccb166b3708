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
use client::{Http, Operator};
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

/// Control hosts and balancers.
pub const CONTROL: u8 = 3;
pub const BALANCERS: u8 = 3;

/// Upstreams, each with an agent.
pub const UPSTREAMS: u8 = 4;

/// Time between two health checks of the fabric, and for their answer.
const CHECK: Duration = Duration::from_millis(200);

/// Pause between two looks at a process.
const LOOK: Duration = Duration::from_millis(50);

/// One process of the site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// A control host.
    Control(u8),
    /// A balancer.
    Balancer(u8),
    /// An agent.
    Agent(u8),
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Part::Control(n) => write!(f, "control-{n}"),
            Part::Balancer(n) => write!(f, "balancer-{n}"),
            Part::Agent(n) => write!(f, "agent-{n}"),
        }
    }
}

/// The running processes. All of them end with it.
pub struct Site {
    program: PathBuf,
    range: u8,
    dir: TempDir,
    processes: BTreeMap<Part, Child>,
    upstreams: Vec<UpstreamHandle>,
    fabric: FabricHandle,
    starts: u32,
}

impl Site {
    /// Starts every process, the fabric and the upstreams.
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
            starts: 0,
        };
        for n in 0..UPSTREAMS {
            let listen = (Ipv4Addr::LOCALHOST, 0).into();
            let upstream = Upstream::start(&format!("upstream-{n}"), listen);
            site.upstreams.push(upstream.map_err(io::Error::other)?);
        }
        for part in Site::parts() {
            site.spawn(part)?;
        }
        let balancers = (0..BALANCERS).map(|n| site.address(11 + n, 7101));
        actix_rt::spawn(check_health(site.fabric.clone(), balancers.collect()));
        Ok(site)
    }

    /// Every process of a site.
    pub fn parts() -> impl Iterator<Item = Part> {
        let control = (0..CONTROL).map(Part::Control);
        let balancers = (0..BALANCERS).map(Part::Balancer);
        control
            .chain(balancers)
            .chain((0..UPSTREAMS).map(Part::Agent))
    }

    /// Where callers reach the service.
    #[must_use]
    pub fn service(&self) -> SocketAddr {
        self.fabric.service
    }

    /// A client of the control group.
    #[must_use]
    pub fn operator(&self) -> Operator {
        Operator::new(Http::default(), self.control())
    }

    /// How often each claim has run, over all upstreams.
    pub async fn runs(&self) -> BTreeMap<Bytes, u64> {
        let mut all = BTreeMap::new();
        for upstream in &self.upstreams {
            for (id, runs) in upstream.runs().await {
                *all.entry(id).or_default() += runs;
            }
        }
        all
    }

    /// Keeps the folder with the logs, and returns its path.
    #[must_use]
    pub fn keep_logs(mut self) -> PathBuf {
        self.end();
        self.dir.disable_cleanup(true);
        self.dir.path().into()
    }

    /// Starts a process that does not run.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn spawn(&mut self, part: Part) -> io::Result<()> {
        self.starts += 1;
        let log = self
            .dir
            .path()
            .join(format!("{:03}-{part}.log", self.starts));
        let child = Command::new(&self.program)
            .args(self.args(part))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log)?)
            .spawn()?;
        self.processes.insert(part, child);
        Ok(())
    }

    /// Sends a signal to a process.
    pub fn signal(&self, part: Part, signal: Signal) {
        if let Some(id) = self.processes.get(&part).map(Child::id) {
            // A process that has ended meanwhile gets no signal.
            let _ = i32::try_from(id).map(|id| kill(Pid::from_raw(id), signal));
        }
    }

    /// Whether a process has ended, and if so, whether by itself and well.
    pub fn ended(&mut self, part: Part) -> Option<bool> {
        let child = self.processes.get_mut(&part)?;
        let status = child.try_wait().ok()??;
        Some(status.success())
    }

    fn args(&self, part: Part) -> Vec<String> {
        let control: Vec<String> = self.control().iter().map(ToString::to_string).collect();
        let control = control.join(",");
        let at = |host, port| self.address(host, port);
        let node = |n: u8| {
            vec![
                format!("--host={part}"),
                format!("--data-centre=dc{}", n % 3),
                format!("--control={control}"),
            ]
        };
        let (role, args) = match part {
            Part::Control(n) => (
                "control",
                vec![
                    format!("--listen={}", at(1 + n, 7000)),
                    format!(
                        "--data-dir={}",
                        self.dir.path().join(part.to_string()).display()
                    ),
                    format!("--group={control}"),
                ],
            ),
            Part::Balancer(n) => {
                let mut args = node(n);
                args.push(format!("--fabric-listen={}", at(11 + n, 7101)));
                args.push(format!("--return-listen={}", at(11 + n, 7100)));
                ("balancer", args)
            }
            Part::Agent(n) => {
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
        (0..CONTROL).map(|n| self.address(1 + n, 7000)).collect()
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, 77, self.range, host), port).into()
    }

    fn end(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end();
    }
}

/// Waits until `check` holds, at most until `deadline`.
pub async fn holds_by(deadline: Instant, mut check: impl AsyncFnMut() -> bool) -> bool {
    while !check().await {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(LOOK).await;
    }
    true
}

/// Stands in for the health check of a fabric: hands datagrams only to balancers
/// that answer a probe in time, and to all if none does.
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
        let _ = timeout(CHECK, answers).await;
        let used = if healthy.is_empty() {
            balancers.clone()
        } else {
            healthy
        };
        fabric.set_balancers(used).await;
    }
}
