//! The error of this crate.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A stand-in cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket cannot be opened.
    #[error("cannot open a socket at {0}: {1}")]
    Bind(SocketAddr, io::Error),
}
