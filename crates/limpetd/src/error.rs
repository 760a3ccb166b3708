//! Errors that end the daemon.

use std::{io, net::SocketAddr, path::PathBuf};

/// A [`std::result::Result`] with the daemon's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error that ends the daemon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The agent cannot start, or it failed while running.
    #[error(transparent)]
    Agent(#[from] agent::Error),
    /// The files for mutual TLS cannot be read, or do not match each other.
    #[error(transparent)]
    Credentials(#[from] auth::Error),
    /// The certificate lacks the DNS name that this role requires.
    #[error("--tls-certificate {file}: expected a certificate with the DNS name {name}", file = .0.display(), name = .1)]
    CertificateName(PathBuf, &'static str),
    /// The numbers of the limit of a cold upstream are out of range.
    #[error("--cold-excess {0} and --cold-slack {1}: expected numbers from 0 to 1000000")]
    ColdBound(f64, f64),
    /// The balancer cannot start, or it failed while running.
    #[error(transparent)]
    Balancer(#[from] balancer::Error),
    /// The control host cannot start, or it failed while running.
    #[error(transparent)]
    Control(#[from] control::Error),
    /// The stand-in upstream cannot start.
    #[error(transparent)]
    Standin(#[from] standin::Error),
    /// The certificate or key file of the service cannot be read.
    #[error("cannot read {0}: {1}")]
    Pem(PathBuf, rustls::pki_types::pem::Error),
    /// The address of the metrics server cannot be bound.
    #[error("cannot open a socket at {0}: {1}")]
    MetricsListen(SocketAddr, io::Error),
    /// The signal handlers cannot be installed.
    #[error("cannot listen for signals: {0}")]
    Signal(io::Error),
    /// The embedded control host rejected the configuration of the local
    /// service.
    #[error("the embedded control host rejected the configuration of the local service: {0:?}")]
    LocalServiceRejected(Box<types::Answer>),
    /// The embedded control host gave no final answer before the deadline.
    #[error("the embedded control host gave no final answer before the deadline")]
    LocalControlTimeout,
}

impl Error {
    /// The exit status of the process: 2 for a wrong setting, else 1.
    pub fn exit_status(&self) -> u8 {
        match self {
            Error::Credentials(_)
            | Error::CertificateName(..)
            | Error::ColdBound(..)
            | Error::Pem(..) => 2,
            _ => 1,
        }
    }
}
