//! Settings of a control host.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::Duration,
};

use tokio::sync::watch;
use types::DataCentre;

use crate::version::MembershipSettings;

/// Settings of a control host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address by which others reach the host.
    pub ip: Ipv4Addr,
    /// Local address for it.
    pub listen_ip: Ipv4Addr,
    /// Where the host is.
    pub data_centre: DataCentre,
    /// Folder of the durable state.
    pub data_dir: PathBuf,
    /// Port for messages between members, the same on all of them, UDP and TCP.
    pub member_port: u16,
    /// UDP port to which nodes say hello, the same on all members.
    pub node_port: u16,
    /// Hosts where control hosts may be found; they may change.
    pub seeds: watch::Receiver<Vec<Ipv4Addr>>,
    /// The deployment starts for the first time: the seeds form the group.
    pub bootstrap: bool,
    /// Times of the consensus.
    pub consensus: consensus::Settings,
    /// How the group is kept complete.
    pub membership: MembershipSettings,
    /// Pause after a change before the log is replaced by a snapshot.
    pub compaction_delay: Duration,
}

impl Settings {
    /// Settings of a host, with the usual values for everything else.
    #[must_use]
    pub fn new(
        ip: Ipv4Addr,
        data_centre: DataCentre,
        data_dir: PathBuf,
        seeds: watch::Receiver<Vec<Ipv4Addr>>,
    ) -> Self {
        Settings {
            ip,
            listen_ip: ip,
            data_centre,
            data_dir,
            member_port: 7001,
            node_port: 7000,
            seeds,
            bootstrap: false,
            consensus: consensus::Settings::default(),
            membership: MembershipSettings::default(),
            compaction_delay: Duration::from_millis(300),
        }
    }

    /// Where members reach this host.
    #[must_use]
    pub fn member_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.member_port)
    }

    /// A local address for one by which this host is reached.
    pub(crate) fn local(&self, address: SocketAddrV4) -> SocketAddr {
        SocketAddrV4::new(self.listen_ip, address.port()).into()
    }

    /// Where nodes reach this host.
    #[must_use]
    pub fn node_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.node_port)
    }
}
