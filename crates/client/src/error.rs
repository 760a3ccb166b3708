//! Errors of requests to control hosts.

use std::net::SocketAddr;

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A request to a host failed.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(Box<ErrorKind>);

/// Whether the host may have received the request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The host has certainly not received the request.
    NotSent,
    /// The host denied the request because of the identity of the client, and
    /// did not execute it.
    Forbidden,
    /// The host may have received the request.
    MaybeSent,
    /// The host sent an error status or a body that cannot be decoded.
    InvalidReply,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum ErrorKind {
    #[error("cannot connect to {0}: {1}")]
    Connect(SocketAddr, awc::error::ConnectError),
    #[error("cannot connect to {0}: {1}")]
    Unreachable(SocketAddr, std::io::Error),
    #[error("connecting to {0} timed out")]
    ConnectTimeout(SocketAddr),
    #[error("cannot send a request to {0}: {1}")]
    Request(SocketAddr, awc::error::SendRequestError),
    #[error("request to {0} timed out")]
    Timeout(SocketAddr),
    #[error("cannot read the response body from {0}: {1}")]
    Body(SocketAddr, awc::error::PayloadError),
    #[error("{0} responded with status {1}, expected success")]
    Status(SocketAddr, awc::http::StatusCode),
    #[error("{0} denied the request to the holder of this certificate (status 403)")]
    Forbidden(SocketAddr),
    #[error("cannot encode the request to {0}: {1}")]
    Encode(SocketAddr, wire::Error),
    #[error("no control host is the leader of a majority")]
    NoLeader,
    #[error("cannot decode the response from {0}: {1}")]
    Decode(SocketAddr, wire::Error),
}

impl Error {
    /// Whether the host may have received the request.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Connect(..)
            | ErrorKind::Unreachable(..)
            | ErrorKind::ConnectTimeout(_)
            | ErrorKind::Encode(..)
            | ErrorKind::NoLeader => Category::NotSent,
            ErrorKind::Forbidden(_) => Category::Forbidden,
            ErrorKind::Request(..) | ErrorKind::Timeout(_) | ErrorKind::Body(..) => {
                Category::MaybeSent
            }
            ErrorKind::Status(..) | ErrorKind::Decode(..) => Category::InvalidReply,
        }
    }
}

impl Error {
    /// Whether the host has certainly not executed the request.
    #[must_use]
    pub fn is_not_executed(&self) -> bool {
        matches!(self.category(), Category::NotSent | Category::Forbidden)
    }
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Error(Box::new(kind))
    }
}
