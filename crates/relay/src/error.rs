//! The error of this crate.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket cannot be opened.
    #[error("cannot open a socket at {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// A metric cannot be registered.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
}
