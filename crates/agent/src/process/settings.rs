//! Settings of an agent.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use types::{ClassName, DataCentre, HostName, PathPrefix, ServiceName};

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Addresses of the control hosts; never empty.
    pub control_hosts: Vec<SocketAddr>,
    /// Name of the service that the upstream belongs to.
    pub service: ServiceName,
    /// Request classes that the upstream serves; all if empty.
    pub served_classes: BTreeSet<ClassName>,
    /// Address on which the upstream accepts HTTP/1.1 requests.
    pub upstream_address: SocketAddr,
    /// Listen address for datagrams from balancers. It is announced, so it must
    /// not be a wildcard address.
    pub data_listen: SocketAddr,
    /// Listen address for requests from peers. It is announced, so it must not
    /// be a wildcard address.
    pub peer_listen: SocketAddr,
    /// Path of the upstream's load report; `None` if it has none.
    pub load_path: Option<PathPrefix>,
    /// Longest time that a stopping agent waits for requests in progress.
    pub drain_timeout: Duration,
    /// Settings of admission control.
    pub admission: admit::Settings,
    /// What the upstream handles while it is cold; `None` sets no limit.
    pub cold: Option<admit::ColdSettings>,
    /// Certificates for mutual TLS with control hosts and peers; `None` means
    /// plain HTTP.
    pub credentials: Option<auth::Credentials>,
}

impl Settings {
    /// Returns settings with loopback listen addresses and default timeouts.
    #[must_use]
    pub fn new(
        host: HostName,
        data_centre: DataCentre,
        control_hosts: Vec<SocketAddr>,
        service: ServiceName,
        upstream_address: SocketAddr,
    ) -> Self {
        Settings {
            host,
            data_centre,
            control_hosts,
            service,
            served_classes: BTreeSet::new(),
            upstream_address,
            data_listen: (Ipv4Addr::LOCALHOST, 0).into(),
            peer_listen: (Ipv4Addr::LOCALHOST, 0).into(),
            load_path: None,
            drain_timeout: Duration::from_hours(1),
            admission: admit::Settings::default(),
            cold: None,
            credentials: None,
        }
    }
}
