//! Errors of this crate.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why an agent could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket could not be opened.
    #[error("cannot open a socket at {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The certificate or its key cannot be used.
    #[error("cannot use the certificate: {0}")]
    Certificate(#[from] rustls::Error),
    /// A certificate could not be generated.
    #[error("cannot generate a self-signed certificate: {0}")]
    Generate(#[from] rcgen::Error),
    /// The key is in a format that is not supported.
    #[error("cannot use the private key: {0}")]
    Key(&'static str),
    /// The TLS configuration has no cipher suite that QUIC requires.
    #[error("the TLS configuration cannot be used for QUIC: {0}")]
    Quic(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
    /// The QUIC endpoint could not be started.
    #[error("cannot start the QUIC endpoint: {0}")]
    Endpoint(io::Error),
    /// A metric could not be registered.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
}
