//! The error of the daemon.

use std::{io, net::SocketAddr, path::PathBuf};

/// A [`std::result::Result`] with the daemon's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The daemon cannot start or go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A role cannot start or go on.
    #[error(transparent)]
    Agent(#[from] agent::Error),
    /// The files of mutual TLS cannot be used.
    #[error(transparent)]
    Credentials(#[from] auth::Error),
    /// The certificate is not one for this role.
    #[error("--tls-certificate {file}: expected a certificate with the DNS name {name}", file = .0.display(), name = .1)]
    Role(PathBuf, &'static str),
    /// A role cannot start or go on.
    #[error(transparent)]
    Balancer(#[from] balancer::Error),
    /// A role cannot start or go on.
    #[error(transparent)]
    Control(#[from] control::Error),
    /// A stand-in cannot start.
    #[error(transparent)]
    Standin(#[from] standin::Error),
    /// The certificate or key file cannot be read.
    #[error("cannot read {0}: {1}")]
    Pem(PathBuf, rustls::pki_types::pem::Error),
    /// The metrics server cannot start.
    #[error("cannot open a socket at {0}: {1}")]
    Metrics(SocketAddr, io::Error),
    /// Signals cannot be received.
    #[error("cannot listen for signals: {0}")]
    Signal(io::Error),
    /// The configuration of the embedded system was not accepted.
    #[error("the embedded configuration was not accepted: {0:?}")]
    Local(Box<types::Answer>),
    /// The embedded control host does not answer.
    #[error("the embedded control host does not answer")]
    LocalControl,
}

impl Error {
    /// The exit status of the process: 2 for a wrong setting, else 1.
    pub fn exit_status(&self) -> u8 {
        match self {
            Error::Credentials(_) | Error::Role(..) | Error::Pem(..) => 2,
            _ => 1,
        }
    }
}
