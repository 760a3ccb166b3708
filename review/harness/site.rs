//! The platform's stand-in: hosts, settings, processes and the links between core hosts.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const DATAGRAM_PORT: u16 = 8172;
pub const READY_PORT: u16 = 8167;
pub const CONTROL_PORT: u16 = 8166;
pub const APP_PORT: u16 = 8165;
pub const OUTBOUND_PORT: u16 = 8162;
const INTERNAL_PORTS: (u16, u16) = (7720, 7735);
pub const SERVICE: &str = "huvo11a";

/// Number of core hosts of the smallest installations, and of seeds.
pub const CORE: u8 = 3;

/// Added to the last octet for the address at which a core host's process listens when
/// its links go through the proxy.
const BEHIND_PROXY: u8 = 100;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// The deploy file's role and its command.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control(u8),
    Balancer,
    Agent,
}

impl Role {
    fn host(self) -> u8 {
        match self {
            Role::Control(n) => 10 + n,
            Role::Balancer => 30,
            Role::Agent => 40,
        }
    }

    fn command(self) -> (&'static str, &'static str, &'static str) {
        match self {
            Role::Control(_) => ("control", "--metrics-port", "9402"),
            Role::Balancer => ("balancer", "--metrics-port", "9401"),
            Role::Agent => ("agent", "--metrics-port", "9403"),
        }
    }
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    since: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.since.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }
}

pub struct Site {
    net: (u8, u8),
    pub dir: PathBuf,
    children: Vec<(Role, Child)>,
    pub record: Record,
    proxied: bool,
    /// Number of core hosts; each has a disk.
    core: u8,
}

impl Site {
    /// A site without processes, with `core` core hosts, on loopback addresses that nobody
    /// uses. With `proxied`, the links between core hosts go through a proxy.
    pub fn new(folder: &Path, proxied: bool, core: u8) -> Result<Site, String> {
        let file = File::create(folder.join("record.txt")).map_err(|e| e.to_string())?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{pid}-{}", now.as_millis()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let mut net = None;
        for i in 0..200u32 {
            let mixed = now.subsec_nanos() / 1000 + pid * 7 + i * 97;
            let candidate = (100 + (mixed % 100) as u8, (mixed / 100 % 250) as u8);
            let free = [10u8, 11, 12, 30, 40].iter().all(|host| {
                let ip = Ipv4Addr::new(127, candidate.0, candidate.1, *host);
                TcpListener::bind((ip, CONTROL_PORT)).is_ok()
                    && UdpSocket::bind((ip, INTERNAL_PORTS.0)).is_ok()
            });
            if free {
                net = Some(candidate);
                break;
            }
        }
        Ok(Site {
            net: net.ok_or("no free addresses")?,
            dir,
            children: Vec::new(),
            record: Record {
                file: Arc::new(Mutex::new(file)),
                since: Instant::now(),
            },
            proxied,
            core,
        })
    }

    pub fn address(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    pub fn ip(&self, role: Role) -> Ipv4Addr {
        self.address(role.host())
    }

    pub fn control(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(Role::Control(n)), CONTROL_PORT)
    }

    fn name(role: Role) -> String {
        format!("{}-{}", role.command().0, role.host())
    }

    pub fn data_dir(&self, role: Role) -> PathBuf {
        self.dir.join(Site::name(role))
    }

    /// Starts the process of a role by its command in the deploy file, with settings
    /// from the template `deploy/settings.json`.
    pub fn start(&mut self, role: Role, bootstrap: bool) -> Result<(), String> {
        let ip = self.ip(role);
        let name = Site::name(role);
        let seeds: Vec<String> = (0..CORE)
            .map(|n| format!("\"{}\"", self.control(n)))
            .collect();
        let disk = match role {
            Role::Control(_) => {
                let dir = self.data_dir(role);
                fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
                format!("\"{}\"", dir.display())
            }
            _ => "null".to_owned(),
        };
        let listen_ip = match role {
            Role::Control(n) if self.proxied => format!("\"{}\"", self.behind_proxy(n)),
            _ => "null".to_owned(),
        };
        let (first, last) = INTERNAL_PORTS;
        let losses = if self.core > 3 { 2 } else { 1 };
        let settings = format!(
            r#"{{"host": "{name}", "ip": "{ip}", "listen_ip": {listen_ip}, "data_centre": "dar-kati",
"first_port": {first}, "last_port": {last}, "seeds": [{}], "bootstrap": {bootstrap},
"tolerated_losses": {losses}, "link_mbps": 1000.0, "data_dir": {disk},
"datagrams": "{ip}:{DATAGRAM_PORT}", "ready": "{ip}:{READY_PORT}", "control": "{ip}:{CONTROL_PORT}",
"outbound": "{ip}:{OUTBOUND_PORT}", "upstream": "{ip}:{APP_PORT}", "service": "{SERVICE}"}}"#,
            seeds.join(", ")
        );
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let (command, option, port) = role.command();
        let mut program = Command::new("target/release/limpet-node");
        // SAFETY: the call only sets a flag of the new process.
        unsafe {
            program.pre_exec(|| {
                // The process ends with this one, also if that is killed.
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = program
            .args([command, option, port])
            .env("LIMPETPLANK_NODE_FILE", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("limpet-node: {e}"))?;
        self.children.push((role, child));
        self.record
            .line(&format!("{name} started, bootstrap {bootstrap}"));
        Ok(())
    }

    fn child(&mut self, role: Role) -> Option<&mut Child> {
        let mut children = self.children.iter_mut();
        children.find(|(r, _)| *r == role).map(|(_, child)| child)
    }

    /// SIGKILL.
    pub fn kill(&mut self, role: Role) {
        if let Some(child) = self.child(role) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.retain(|(r, _)| *r != role);
        self.record.line(&format!("{} killed", Site::name(role)));
    }

    /// Empties the disk of a host whose process does not run.
    pub fn empty_disk(&self, role: Role) {
        let _ = fs::remove_dir_all(self.data_dir(role));
        self.record
            .line(&format!("{} lost its disk", Site::name(role)));
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self, role: Role) -> bool {
        let ended = match self.child(role) {
            Some(child) => child.try_wait().ok().flatten(),
            None => return false,
        };
        if let Some(status) = ended {
            self.children.retain(|(r, _)| *r != role);
            self.record
                .line(&format!("{} ended by itself: {status}", Site::name(role)));
        }
        ended.is_some()
    }

    fn behind_proxy(&self, n: u8) -> Ipv4Addr {
        self.address(10 + n + BEHIND_PROXY)
    }

    /// Starts the proxy between core hosts. Their connections have a delay, and together the
    /// rate of one link: what is long comes from one host, the leader. While `cut` is set, nothing passes between
    /// core host 0 and the other core hosts. A member's connection does not tell which
    /// host opened it, so no connection between core hosts passes meanwhile either; the
    /// other two are in no group then and open none.
    pub fn start_proxy(&self, cut: &Arc<AtomicBool>) -> Result<(), String> {
        let hosts: Vec<(Ipv4Addr, Ipv4Addr)> = (0..self.core)
            .map(|n| (self.ip(Role::Control(n)), self.behind_proxy(n)))
            .collect();
        for (to, (reached_at, listens_at)) in hosts.iter().copied().enumerate() {
            for port in [INTERNAL_PORTS.0, INTERNAL_PORTS.0 + 1] {
                let socket = UdpSocket::bind((reached_at, port)).map_err(|e| e.to_string())?;
                let mut senders = Vec::new();
                for (from, behind) in &hosts {
                    // The receiver sees the address of the sending host.
                    let sender = UdpSocket::bind((*from, 0)).map_err(|e| e.to_string())?;
                    senders.push((*behind, sender));
                }
                let cut = cut.clone();
                thread::spawn(move || {
                    let mut buf = vec![0; 64 * 1024];
                    while let Ok((len, source)) = socket.recv_from(&mut buf) {
                        let from = senders
                            .iter()
                            .position(|(behind, _)| source.ip() == *behind);
                        let Some(from) = from else { continue };
                        if cut.load(Ordering::SeqCst) && (from == 0 || to == 0) {
                            continue;
                        }
                        let _ = senders[from].1.send_to(&buf[..len], (listens_at, port));
                    }
                });
            }
            let port = INTERNAL_PORTS.0 + 1;
            let listener = TcpListener::bind((reached_at, port)).map_err(|e| e.to_string())?;
            let cut = cut.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let cut = cut.clone();
                    thread::spawn(move || {
                        let until = Instant::now() + Duration::from_secs(2);
                        while cut.load(Ordering::SeqCst) {
                            if Instant::now() > until {
                                return;
                            }
                            thread::sleep(Duration::from_millis(10));
                        }
                        thread::sleep(ONE_WAY * 2);
                        if let Ok(other) = TcpStream::connect((listens_at, port)) {
                            join(stream, other);
                        }
                    });
                }
            });
        }
        Ok(())
    }
}

fn join(a: TcpStream, b: TcpStream) {
    let (Ok(a2), Ok(b2)) = (a.try_clone(), b.try_clone()) else {
        return;
    };
    thread::spawn(move || copy(a2, b2));
    copy(b, a);
}

/// One way between the zones of `beji-pwani-grown`.
const ONE_WAY: Duration = Duration::from_micros(4900);
/// The link of a core host of `beji-pwani-grown`, 100 Mbit/s.
const LINK_BYTES_PER_S: f64 = 12.5e6;
/// When the link has sent all that it was given.
static LINK_FREE_AT: Mutex<Option<Instant>> = Mutex::new(None);

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len) = from.read(&mut buf) {
        if len == 0 {
            break;
        }
        let until = {
            let now = Instant::now();
            let mut free_at = LINK_FREE_AT.lock().unwrap();
            let time = Duration::from_secs_f64(len as f64 / LINK_BYTES_PER_S);
            let until = free_at.unwrap_or(now).max(now) + time;
            *free_at = Some(until);
            until
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        if to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

impl Drop for Site {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("kept {}", self.dir.display());
        }
    }
}

/// One HTTP/1.1 call. `None` without a whole response in time.
pub fn http(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let len = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {len}\r\n\r\n{body}"
    )
    .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n")?.1.to_owned()))
}
