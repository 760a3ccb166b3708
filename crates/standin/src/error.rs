//! Error type of the stand-ins.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error that prevents the start of a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket cannot be bound to the address.
    #[error("cannot open a socket at {0}: {1}")]
    Bind(SocketAddr, io::Error),
}
