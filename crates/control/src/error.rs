//! The error of this crate.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The control host cannot start or go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket cannot be opened.
    #[error("cannot open a socket at {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The data folder cannot be used.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The thread that writes to the disk has ended.
    #[error("the thread that writes to the data folder has ended")]
    StoreThreadEnded,
    /// The snapshot cannot be read.
    #[error("cannot read the snapshot: {0}")]
    InvalidSnapshot(#[from] config::Error),
    /// A log entry cannot be read.
    #[error("cannot read log entry {0}: {1}; a newer version of limpetd may have written it")]
    InvalidLogEntry(types::Revision, wire::Error),
    /// A metric cannot be registered.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
}
