//! Settings of a control host.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

/// Settings of a control host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where nodes, operators and other members send requests; announced, so
    /// not a wildcard address.
    pub listen: SocketAddr,
    /// Folder for the state that must survive.
    pub data_dir: PathBuf,
    /// The hosts that form the first group, this one included. Not used once
    /// the host belongs to a group.
    pub initial_group: BTreeSet<SocketAddr>,
    /// Applied entries after which the log is replaced by a snapshot. What a
    /// snapshot costs grows with the state, so it must not come too often.
    pub compact_after_entries: u64,
    /// Times of the consensus.
    pub consensus: consensus::Settings,
    /// Times of the membership.
    pub member: member::Settings,
    /// Proofs of identity; plain HTTP without them.
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
