//! Errors that prevent a node from starting.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error that prevents a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A UDP socket cannot be bound to the address.
    #[error("cannot bind a UDP socket to {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// A metric cannot be registered.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
}
