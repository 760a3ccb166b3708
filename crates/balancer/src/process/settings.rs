//! Settings of a balancer.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use types::{DataCentre, HostName};

/// Default of [`Settings::shutdown_grace_period`]. The lease of
/// 3 s expires, the change reaches the nodes within the 1 s for which a sync
/// request is held, and 1 s remains for packets in flight.
const DEFAULT_SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Settings of a balancer.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Addresses of the control hosts; must not be empty.
    pub control: Vec<SocketAddr>,
    /// Address to which a fabric that encapsulates sends datagrams. If `None`,
    /// the balancer binds the addresses of the services itself.
    pub fabric_listen: Option<SocketAddr>,
    /// Address to which agents send answers and probes.
    pub return_listen: SocketAddr,
    /// IP address whose services are opened; `None` opens all services. Used
    /// only without `fabric_listen`.
    pub services_listen: Option<IpAddr>,
    /// Time for which a balancer continues to forward after it was told to
    /// stop, so that agents and fabric can switch to other balancers. Must be
    /// longer than the lease of a balancer.
    pub shutdown_grace_period: Duration,
    /// TLS credentials for the control hosts; `None` uses plain HTTP.
    pub credentials: Option<auth::Credentials>,
}

impl Settings {
    /// Settings for a host with default values for the rest.
    #[must_use]
    pub fn new(host: HostName, data_centre: DataCentre, control: Vec<SocketAddr>) -> Self {
        Settings {
            host,
            data_centre,
            control,
            fabric_listen: None,
            return_listen: (Ipv4Addr::LOCALHOST, 0).into(),
            services_listen: None,
            shutdown_grace_period: DEFAULT_SHUTDOWN_GRACE_PERIOD,
            credentials: None,
        }
    }
}
