//! Requests and answers whose bodies are in memory.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use http::{Method, StatusCode};

/// A request whose body has been read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// The path, without a query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Address from which the request was sent.
    pub client_address: SocketAddr,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The type of the body; none without a body.
    pub content_type: &'static str,
    /// Where else to ask; none if empty.
    pub location: String,
    /// The body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Sends the caller to another place.
    #[must_use]
    pub fn redirect(location: String) -> Self {
        BufferedResponse {
            location,
            ..BufferedResponse::empty(StatusCode::TEMPORARY_REDIRECT)
        }
    }

    /// An answer without a body.
    #[must_use]
    pub fn empty(status: StatusCode) -> Self {
        BufferedResponse {
            status,
            content_type: "",
            location: String::new(),
            body: Bytes::new(),
        }
    }

    /// A successful answer with a body.
    #[must_use]
    pub fn ok(content_type: &'static str, body: impl Into<Bytes>) -> Self {
        BufferedResponse {
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
    fn handle(&self, req: BufferedRequest) -> impl Future<Output = BufferedResponse>;
}
