//! Settings of a control host.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::Duration,
};

use tokio::sync::watch;
use types::DataCentre;

use crate::version::MembershipSettings;

/// Maximum size of a message between members, in bytes: a snapshot with the largest
/// routing set, 10,000 audit records of about 100 bytes and the answers to 17,000 changes
/// of about 60 bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Time to receive a message between members: as long as the longest transfer.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of a control host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address at which other processes reach the host.
    pub ip: Ipv4Addr,
    /// Local address to listen on.
    pub listen_ip: Ipv4Addr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Folder of the durable state.
    pub data_dir: PathBuf,
    /// UDP and TCP port for messages between members, the same on all members.
    pub member_port: u16,
    /// UDP port for node discovery, the same on all members.
    pub node_port: u16,
    /// Addresses of possible control hosts; may change at run time.
    pub seeds: watch::Receiver<Vec<Ipv4Addr>>,
    /// Whether this is the first start of the deployment, in which the seeds form
    /// the group.
    pub bootstrap: bool,
    /// Timeouts and limits of the consensus; `min_quorum` follows from `membership`.
    pub consensus: consensus::Settings,
    /// Limits and timeouts for membership changes.
    pub membership: MembershipSettings,
    /// Delay after a change before the log is compacted into a snapshot.
    pub compaction_delay: Duration,
}

impl Settings {
    /// Settings of a host, with default values for everything else.
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

    /// The settings of the consensus. A quorum has as many disks as one of the minimum
    /// number of voters.
    pub(crate) fn consensus_settings(&self) -> consensus::Settings {
        consensus::Settings {
            min_quorum: self.membership.min_voters / 2 + 1,
            ..self.consensus
        }
    }

    /// Address at which members reach this host.
    #[must_use]
    pub fn member_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.member_port)
    }

    /// The local address to listen on for a public address of this host.
    pub(crate) fn listen_address(&self, address: SocketAddrV4) -> SocketAddr {
        SocketAddrV4::new(self.listen_ip, address.port()).into()
    }

    /// Address at which nodes reach this host.
    #[must_use]
    pub fn node_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.node_port)
    }
}
