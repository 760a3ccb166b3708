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
    /// The control hosts; never empty.
    pub control: Vec<SocketAddr>,
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// Classes of work that the upstream serves; all if empty.
    pub classes: BTreeSet<ClassName>,
    /// Where the upstream takes HTTP/1.1 requests.
    pub upstream: SocketAddr,
    /// Where balancers send datagrams; announced, so not a wildcard address.
    pub data_listen: SocketAddr,
    /// Where peers send requests; announced, so not a wildcard address.
    pub peer_listen: SocketAddr,
    /// Path of the upstream's load endpoint; none if it reports no load.
    pub load_path: Option<PathPrefix>,
    /// Longest time that a leaving agent stays for requests in progress.
    pub stay_at_most: Duration,
    /// Settings of the admission.
    pub admission: admit::Settings,
    /// Proofs of identity; plain HTTP without them.
    pub credentials: Option<auth::Credentials>,
}

impl Settings {
    /// Settings with default sockets and times.
    #[must_use]
    pub fn new(
        host: HostName,
        data_centre: DataCentre,
        control: Vec<SocketAddr>,
        service: ServiceName,
        upstream: SocketAddr,
    ) -> Self {
        Settings {
            host,
            data_centre,
            control,
            service,
            classes: BTreeSet::new(),
            upstream,
            data_listen: (Ipv4Addr::LOCALHOST, 0).into(),
            peer_listen: (Ipv4Addr::LOCALHOST, 0).into(),
            load_path: None,
            stay_at_most: Duration::from_hours(1),
            admission: admit::Settings::default(),
            credentials: None,
        }
    }
}
