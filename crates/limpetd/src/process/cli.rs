//! Command line arguments.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use admit::ColdSettings;
use agent::ServiceCertificate;
use clap::{Args, Parser, Subcommand};
use cold::ColdBound;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use types::{ClassName, DataCentre, HostName, PathPrefix, RequestRate, ServiceName};

use super::tls::TlsArgs;
use crate::error::{Error, Result};

/// The daemon of limpetplank, a layer-4 load balancer.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example: limpetd local\n\nExit status: 0 after a graceful end, 1 on a failure, 2 on a wrong setting."
)]
pub struct Cli {
    /// Address of the metrics server; none if unset
    #[arg(
        long,
        env = "LIMPET_METRICS_LISTEN",
        value_name = "IP:PORT",
        global = true
    )]
    pub metrics_listen: Option<SocketAddr>,

    /// What the process does
    #[command(subcommand)]
    pub role: Role,
}

/// What the process does.
#[derive(Debug, Subcommand)]
pub enum Role {
    /// Run a member of the control group
    #[command(
        after_help = "Example: limpetd control --listen 10.0.0.1:7000 --data-dir /var/lib/limpetd --group 10.0.0.1:7000,10.0.0.2:7000,10.0.0.3:7000"
    )]
    Control(ControlArgs),
    /// Run a balancer
    #[command(
        after_help = "Example: limpetd balancer --host lb1 --data-centre sofia --control 10.0.0.1:7000,10.0.0.2:7000,10.0.0.3:7000 --return-listen 10.0.1.1:7100"
    )]
    Balancer(BalancerArgs),
    /// Run the agent of an upstream
    #[command(
        after_help = "Example: limpetd agent --host app1 --data-centre sofia --control 10.0.0.1:7000 --service vouchers --upstream 127.0.0.1:8080 --data-listen 10.0.2.1:7200 --peer-listen 10.0.2.1:7201"
    )]
    Agent(Box<AgentArgs>),
    /// Run everything in one process on the loopback, with a stand-in upstream
    #[command(
        after_help = "Example: limpetd local, then: limpetctl call https://127.0.0.1:4433/ --insecure"
    )]
    Local(LocalArgs),
}

/// Complete settings of a role, with the contents of the files that the command
/// line names.
pub enum RoleSettings {
    Control(Box<control::Settings>),
    Balancer(Box<balancer::Settings>),
    Agent(Box<agent::Settings>, ServiceCertificate),
    Local(LocalArgs),
}

impl Role {
    /// Converts the arguments to settings and reads the files that they name.
    pub(super) fn read_settings(self) -> Result<RoleSettings> {
        Ok(match self {
            Role::Control(args) => RoleSettings::Control(Box::new(args.settings()?)),
            Role::Balancer(args) => RoleSettings::Balancer(Box::new(args.settings()?)),
            Role::Agent(args) => {
                let certificate = args.service_certificate()?;
                RoleSettings::Agent(Box::new(args.settings()?), certificate)
            }
            Role::Local(args) => RoleSettings::Local(args),
        })
    }
}

/// Where a node is and whom it asks.
#[derive(Debug, Clone, Args)]
pub struct NodeArgs {
    /// Name of this host, unique among the processes of its role
    #[arg(long, env = "LIMPET_HOST", value_name = "NAME")]
    host: HostName,

    /// Data centre of this host
    #[arg(long, env = "LIMPET_DATA_CENTRE", value_name = "NAME")]
    data_centre: DataCentre,

    /// The control hosts
    #[arg(
        long,
        env = "LIMPET_CONTROL",
        value_name = "IP:PORT",
        value_delimiter = ',',
        required = true
    )]
    control: Vec<SocketAddr>,
}

/// Settings of a control host.
#[derive(Debug, Args)]
pub struct ControlArgs {
    /// Address for nodes, operators and the other members
    #[arg(long, env = "LIMPET_LISTEN", value_name = "IP:PORT", value_parser = parse_advertised_address)]
    listen: SocketAddr,

    /// Folder for the state that must survive
    #[arg(long, env = "LIMPET_DATA_DIR", value_name = "FOLDER")]
    data_dir: PathBuf,

    /// The hosts that form the first group, this one included; leave it out on
    /// a host that is to be added to an existing group
    #[arg(
        long,
        env = "LIMPET_GROUP",
        value_name = "IP:PORT",
        value_delimiter = ','
    )]
    group: Vec<SocketAddr>,

    #[command(flatten)]
    tls: TlsArgs,
}

impl ControlArgs {
    pub(super) fn settings(self) -> Result<control::Settings> {
        Ok(control::Settings {
            credentials: self.tls.control_credentials()?,
            listen: self.listen,
            data_dir: self.data_dir,
            initial_group: self.group.into_iter().collect(),
            ..control::Settings::default()
        })
    }
}

/// Settings of a balancer.
#[derive(Debug, Args)]
pub struct BalancerArgs {
    #[command(flatten)]
    node: NodeArgs,

    /// Address for a fabric that encapsulates; without it the balancer opens
    /// the addresses of the services itself
    #[arg(long, env = "LIMPET_FABRIC_LISTEN", value_name = "IP:PORT")]
    fabric_listen: Option<SocketAddr>,

    /// Address for answers and probes of agents
    #[arg(long, env = "LIMPET_RETURN_LISTEN", value_name = "IP:PORT", value_parser = parse_advertised_address)]
    return_listen: SocketAddr,

    /// Open only the addresses of services at this IP address
    #[arg(
        long,
        env = "LIMPET_SERVICES_LISTEN",
        value_name = "IP",
        conflicts_with = "fabric_listen"
    )]
    services_listen: Option<IpAddr>,

    #[command(flatten)]
    tls: TlsArgs,
}

impl BalancerArgs {
    pub(super) fn settings(self) -> Result<balancer::Settings> {
        let NodeArgs {
            host,
            data_centre,
            control,
        } = self.node;
        Ok(balancer::Settings {
            credentials: self.tls.node_credentials()?,
            fabric_listen: self.fabric_listen,
            return_listen: self.return_listen,
            services_listen: self.services_listen,
            ..balancer::Settings::new(host, data_centre, control)
        })
    }
}

/// Settings of an agent.
#[derive(Debug, Args)]
pub struct AgentArgs {
    #[command(flatten)]
    node: NodeArgs,

    /// Service that the upstream serves
    #[arg(long, env = "LIMPET_SERVICE", value_name = "NAME")]
    service: ServiceName,

    /// Class of work that the upstream serves; all if unset
    #[arg(
        long = "class",
        env = "LIMPET_CLASSES",
        value_name = "NAME",
        value_delimiter = ','
    )]
    classes: Vec<ClassName>,

    /// Address at which the upstream takes HTTP/1.1 requests
    #[arg(long, env = "LIMPET_UPSTREAM", value_name = "IP:PORT")]
    upstream: SocketAddr,

    /// Path of the upstream's load endpoint, which answers in JSON, for example
    /// `{"default": {"slots": 7, "in_flight": 3}}`; not read if unset
    #[arg(long, env = "LIMPET_LOAD_PATH", value_name = "PATH")]
    load_path: Option<PathPrefix>,

    /// Address for datagrams of balancers
    #[arg(long, env = "LIMPET_DATA_LISTEN", value_name = "IP:PORT", value_parser = parse_advertised_address)]
    data_listen: SocketAddr,

    /// Address for requests that peers hand off
    #[arg(long, env = "LIMPET_PEER_LISTEN", value_name = "IP:PORT", value_parser = parse_advertised_address)]
    peer_listen: SocketAddr,

    /// Certificate chain of the service in PEM; self-signed if unset
    #[arg(
        long,
        env = "LIMPET_CERTIFICATE",
        value_name = "FILE",
        requires = "key"
    )]
    certificate: Option<PathBuf>,

    /// Private key of the certificate in PEM
    #[arg(
        long,
        env = "LIMPET_KEY",
        value_name = "FILE",
        requires = "certificate"
    )]
    key: Option<PathBuf>,

    /// Longest time that a leaving agent stays for requests in progress
    #[arg(long, env = "LIMPET_STAY_AT_MOST", value_name = "TIME", default_value = "1h", value_parser = parse_drain_timeout)]
    stay_at_most: Duration,

    /// Give the callers of a class equal shares of its slots
    #[arg(long, env = "LIMPET_FAIR_QUEUEING")]
    fair_queueing: bool,

    #[command(flatten)]
    cold: ColdArgs,

    #[command(flatten)]
    tls: TlsArgs,
}

/// Limit of the requests at a cold upstream.
#[derive(Debug, Args)]
struct ColdArgs {
    /// Requests per second that the upstream handles while it is cold; no limit if unset
    #[arg(long = "cold-per-s", env = "LIMPET_COLD_PER_S", value_name = "RATE")]
    rate: Option<RequestRate>,

    /// Time for which the upstream is cold after it started
    #[arg(long = "cold-start", env = "LIMPET_COLD_START", value_name = "TIME", default_value = "10s", value_parser = humantime::parse_duration)]
    start: Duration,

    /// Factor by which the requests of a second may exceed that rate
    #[arg(
        long = "cold-excess",
        env = "LIMPET_COLD_EXCESS",
        value_name = "FACTOR",
        default_value = "1.5"
    )]
    excess: f64,

    /// Number of requests by which they may exceed it beyond that
    #[arg(
        long = "cold-slack",
        env = "LIMPET_COLD_SLACK",
        value_name = "NUMBER",
        default_value = "5"
    )]
    slack: f64,
}

impl ColdArgs {
    fn settings(&self) -> Result<Option<ColdSettings>> {
        let Some(rate) = self.rate else {
            return Ok(None);
        };
        let bound = ColdBound::new(self.excess, self.slack);
        let bound = bound.ok_or(Error::ColdBound(self.excess, self.slack))?;
        let duration = self.start;
        Ok(Some(ColdSettings {
            rate,
            bound,
            duration,
        }))
    }
}

impl AgentArgs {
    pub(super) fn service_certificate(&self) -> Result<ServiceCertificate> {
        if let (Some(certificate), Some(key)) = (&self.certificate, &self.key) {
            return read_service_certificate(certificate, key);
        }
        let names = vec![self.service.to_string(), "localhost".into()];
        Ok(ServiceCertificate::self_signed(names)?)
    }

    pub(super) fn settings(self) -> Result<agent::Settings> {
        let NodeArgs {
            host,
            data_centre,
            control,
        } = self.node;
        let settings =
            agent::Settings::new(host, data_centre, control, self.service, self.upstream);
        Ok(agent::Settings {
            credentials: self.tls.node_credentials()?,
            served_classes: self.classes.into_iter().collect::<BTreeSet<_>>(),
            load_path: self.load_path,
            data_listen: self.data_listen,
            peer_listen: self.peer_listen,
            drain_timeout: self.stay_at_most,
            admission: admit::Settings {
                fair_queueing: self.fair_queueing,
                ..admit::Settings::default()
            },
            cold: self.cold.settings()?,
            ..settings
        })
    }
}

fn read_service_certificate(certificate: &Path, key: &Path) -> Result<ServiceCertificate> {
    let chain = CertificateDer::pem_file_iter(certificate)
        .and_then(Iterator::collect)
        .map_err(|e| Error::Pem(certificate.into(), e))?;
    let key = PrivateKeyDer::from_pem_file(key).map_err(|e| Error::Pem(key.into(), e))?;
    Ok(ServiceCertificate { chain, key })
}

/// Settings of the embedded system.
#[derive(Debug, Args)]
pub struct LocalArgs {
    /// Address of the service
    #[arg(
        long,
        env = "LIMPET_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:4433"
    )]
    pub listen: SocketAddr,

    /// Address of the control host
    #[arg(
        long,
        env = "LIMPET_CONTROL",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7000"
    )]
    pub control: SocketAddr,

    /// Folder for the state that must survive
    #[arg(
        long,
        env = "LIMPET_DATA_DIR",
        value_name = "FOLDER",
        default_value = "limpet-data"
    )]
    pub data_dir: PathBuf,

    /// Upstream to use instead of the stand-in
    #[arg(long, env = "LIMPET_UPSTREAM", value_name = "IP:PORT")]
    pub upstream: Option<SocketAddr>,
}

/// An argument whose value is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum ArgumentError {
    #[error(
        "expected IP:PORT with a specific IP address and a port from 1 to 65535, because other hosts are told this address"
    )]
    AdvertisedAddress,
    #[error("expected a time from 1s to 7days, for example 90s or 1h")]
    DrainTimeout,
}

/// Parses an address that this process advertises to other hosts, which rules
/// out wildcard addresses and port 0.
fn parse_advertised_address(text: &str) -> std::result::Result<SocketAddr, ArgumentError> {
    let address: SocketAddr = text.parse().map_err(|_| ArgumentError::AdvertisedAddress)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err(ArgumentError::AdvertisedAddress);
    }
    Ok(address)
}

/// Parses the maximum time that an agent drains, from 1 s to 7 days.
fn parse_drain_timeout(text: &str) -> std::result::Result<Duration, ArgumentError> {
    let timeout = humantime::parse_duration(text).map_err(|_| ArgumentError::DrainTimeout)?;
    let allowed_range = Duration::from_secs(1)..=Duration::from_hours(7 * 24);
    if allowed_range.contains(&timeout) {
        Ok(timeout)
    } else {
        Err(ArgumentError::DrainTimeout)
    }
}
