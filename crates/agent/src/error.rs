//! The error of this crate.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The agent cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket cannot be opened.
    #[error("cannot open a socket at {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The certificate or its key cannot be used.
    #[error("cannot use the certificate: {0}")]
    Certificate(#[from] rustls::Error),
    /// A certificate cannot be made.
    #[error("cannot make a certificate: {0}")]
    Generate(#[from] rcgen::Error),
    /// The key is in a format that is not supported.
    #[error("cannot use the private key: {0}")]
    Key(&'static str),
    /// The TLS settings lack what QUIC needs.
    #[error("the TLS settings do not fit QUIC: {0}")]
    Quic(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
    /// The QUIC endpoint cannot be started.
    #[error("cannot start the QUIC endpoint: {0}")]
    Endpoint(io::Error),
    /// A metric cannot be registered.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
}
