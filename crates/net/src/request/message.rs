//! Requests and answers whose bodies are in memory.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use http::{Method, StatusCode};

/// A request whose body has been read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path, without a query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Who sent the request.
    pub from: SocketAddr,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The type of the body; none without a body.
    pub content_type: &'static str,
    /// Where else to ask; none if empty.
    pub location: String,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Sends the caller to another place.
    #[must_use]
    pub fn redirect(location: String) -> Self {
        Answer {
            location,
            ..Answer::empty(StatusCode::TEMPORARY_REDIRECT)
        }
    }

    /// An answer without a body.
    #[must_use]
    pub fn empty(status: StatusCode) -> Self {
        Answer {
            status,
            content_type: "",
            location: String::new(),
            body: Bytes::new(),
        }
    }

    /// A successful answer with a body.
    #[must_use]
    pub fn ok(content_type: &'static str, body: impl Into<Bytes>) -> Self {
        Answer {
            status: StatusCode::OK,
            content_type,
            location: String::new(),
            body: body.into(),
        }
    }
}

/// Answers requests. A clone of it serves each connection.
pub trait Handler: Clone + 'static {
    /// Answers a request.
    fn answer(&self, call: Call) -> impl Future<Output = Answer>;
}
