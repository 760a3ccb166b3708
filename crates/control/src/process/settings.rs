//! Settings of a control host.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

/// Settings of a control host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the HTTP server for nodes, operators and other members. It is
    /// announced to the other members, so it must not be a wildcard address.
    pub listen: SocketAddr,
    /// Folder of the persistent state: the log and the snapshots.
    pub data_dir: PathBuf,
    /// Addresses of the hosts that form the initial group, including this one.
    /// Ignored once the host belongs to a group.
    pub initial_group: BTreeSet<SocketAddr>,
    /// Number of applied log entries after which a snapshot replaces them. The
    /// cost of a snapshot grows with the size of the state, so snapshots must not
    /// be too frequent.
    pub compact_after_entries: u64,
    /// Settings of the consensus.
    pub consensus: consensus::Settings,
    /// Settings of the upstream membership.
    pub member: member::Settings,
    /// TLS certificate, key and CA; `None` for plain HTTP without
    /// authentication.
    pub credentials: Option<auth::Credentials>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            data_dir: PathBuf::from("data"),
            initial_group: BTreeSet::new(),
            compact_after_entries: 4096,
            consensus: consensus::Settings::default(),
            member: member::Settings::default(),
            credentials: None,
        }
    }
}
