//! Errors of the control host.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that prevents the control host from starting or makes it exit.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The HTTP listener cannot be opened at this address.
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The data folder cannot be opened or read.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The storage thread has exited.
    #[error("the storage thread of the data folder has exited")]
    StoreThreadEnded,
    /// The HTTP server has ended although it was not stopped.
    #[error("the HTTP server has ended: {0}")]
    ServerEnded(io::Error),
    /// The configuration in a snapshot cannot be encoded or decoded.
    #[error("invalid configuration snapshot: {0}")]
    InvalidSnapshot(#[from] config::Error),
    /// The command in a committed log entry cannot be decoded.
    #[error("cannot decode log entry {0}: {1}; a newer version of limpetd may have written it")]
    InvalidLogEntry(types::Revision, wire::Error),
    /// A metric cannot be registered.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
}
