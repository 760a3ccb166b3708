//! Errors of connections and requests.

use std::io;

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A connection failed, or a request got no complete response.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(Box<ErrorKind>);

/// Whether the request that failed may have been run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The request was certainly not run.
    NotRun,
    /// The request may have been run.
    Unknown,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum ErrorKind {
    #[error("cannot open a UDP socket: {0}")]
    Socket(io::Error),
    #[error("invalid TLS settings: {0}")]
    Tls(#[from] rustls::Error),
    #[error("the TLS settings do not fit QUIC: {0}")]
    Quic(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
    #[error("cannot connect: {0}")]
    Connect(#[from] quinn::ConnectError),
    #[error("the connection was not established: {0}")]
    Handshake(quinn::ConnectionError),
    #[error("the connection broke: {0}")]
    Connection(#[from] h3::error::ConnectionError),
    #[error("the request was rejected and not run")]
    Rejected,
    #[error("the request broke off: {0}")]
    Stream(#[from] h3::error::StreamError),
}

impl Error {
    /// Whether the request may have been run.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Stream(_) | ErrorKind::Connection(_) => Category::Unknown,
            _ => Category::NotRun,
        }
    }
}

impl<K: Into<ErrorKind>> From<K> for Error {
    fn from(kind: K) -> Self {
        Error(Box::new(kind.into()))
    }
}
