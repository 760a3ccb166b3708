//! The error of this crate.

use std::net::SocketAddr;

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An exchange with a host failed.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(Box<ErrorKind>);

/// What a failed exchange means for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The host has certainly not received the request.
    NotSent,
    /// The host has refused the request because of who asked, and has not
    /// acted on it.
    Forbidden,
    /// The host may have received the request.
    MaybeSent,
    /// The host has answered with something that is not a reply.
    InvalidReply,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum ErrorKind {
    #[error("cannot connect to {0}: {1}")]
    Connect(SocketAddr, awc::error::ConnectError),
    #[error("cannot connect to {0}: {1}")]
    Unreachable(SocketAddr, std::io::Error),
    #[error("no connection to {0} in time")]
    ConnectTimeout(SocketAddr),
    #[error("cannot send a request to {0}: {1}")]
    Request(SocketAddr, awc::error::SendRequestError),
    #[error("{0} did not answer in time")]
    Timeout(SocketAddr),
    #[error("the answer of {0} was cut off: {1}")]
    Body(SocketAddr, awc::error::PayloadError),
    #[error("{0} answered with status {1}")]
    Status(SocketAddr, awc::http::StatusCode),
    #[error("{0} does not allow this to the holder of the certificate (status 403)")]
    Forbidden(SocketAddr),
    #[error("message to {0}: {1}")]
    Encode(SocketAddr, wire::Error),
    #[error("no control host is the leader of a majority")]
    NoLeader,
    #[error("message of {0}: {1}")]
    Decode(SocketAddr, wire::Error),
}

impl Error {
    /// What the failure means for the request.
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
    /// Whether the host has certainly not acted on the request.
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
