//! Error type of this crate.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to start the balancer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A UDP socket could not be bound to the address.
    #[error("failed to bind a UDP socket to {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// A metric could not be registered.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
}
