//! Settings of a balancer.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use types::{DataCentre, HostName};

/// Default of [`Settings::shutdown_grace_period`]. A lease of 3 s ends, the news takes at most
/// the 1 s that a sync request is held, and 1 s is left for the packets on
/// their way.
const DEFAULT_SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Settings of a balancer.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// The control hosts; never empty.
    pub control: Vec<SocketAddr>,
    /// Where a fabric that encapsulates sends datagrams. Without it the
    /// balancer opens the addresses of the services itself.
    pub fabric_listen: Option<SocketAddr>,
    /// Where agents send answers and probes.
    pub return_listen: SocketAddr,
    /// Opens only services at this address; all if unset. Used without
    /// `fabric_listen`.
    pub services_listen: Option<IpAddr>,
    /// Time for which a stopping balancer goes on forwarding, so that agents
    /// and fabric can turn to others. Longer than the lease of a balancer.
    pub shutdown_grace_period: Duration,
    /// Proofs of identity; plain HTTP without them.
    pub credentials: Option<auth::Credentials>,
}

impl Settings {
    /// Settings for a host with default sockets.
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
