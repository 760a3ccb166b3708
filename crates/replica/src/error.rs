//! The error of this crate.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why the control host cannot start or continue.
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
    DiskThreadEnded,
    /// The acceptor state of a seed cannot be encoded.
    #[error("cannot encode the acceptor state: {0}")]
    EncodeAcceptor(#[from] wire::Error),
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
    /// A snapshot of the state cannot be encoded or decoded.
    #[error("cannot read or write a snapshot: {0}")]
    Snapshot(#[from] config::Error),
    /// A log entry cannot be decoded.
    #[error("cannot read log entry {0}: {1}; a newer version may have written it")]
    DecodeEntry(types::Revision, wire::Error),
    /// A metric cannot be registered.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
}
