//! HTTP requests and responses whose bodies are in memory.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use http::{Method, StatusCode};

/// An HTTP request whose body has been read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The whole body.
    pub body: Bytes,
    /// Address from which the request was sent.
    pub client_address: SocketAddr,
}

/// An HTTP response whose body is in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedResponse {
    /// The status code.
    pub status: StatusCode,
    /// Value of the `content-type` field; the field is omitted if this is empty.
    pub content_type: &'static str,
    /// Value of the `location` field; the field is omitted if this is empty.
    pub location: String,
    /// The whole body; may be empty.
    pub body: Bytes,
}

impl BufferedResponse {
    /// A temporary redirect (307) to `location`.
    #[must_use]
    pub fn redirect(location: String) -> Self {
        BufferedResponse {
            location,
            ..BufferedResponse::empty(StatusCode::TEMPORARY_REDIRECT)
        }
    }

    /// A response without a body.
    #[must_use]
    pub fn empty(status: StatusCode) -> Self {
        BufferedResponse {
            status,
            content_type: "",
            location: String::new(),
            body: Bytes::new(),
        }
    }

    /// A response with status 200 and a body.
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

/// Handles requests. Each connection gets a clone of the handler.
pub trait Handler: Clone + 'static {
    /// Returns the response to a request.
    fn handle(&self, req: BufferedRequest) -> impl Future<Output = BufferedResponse>;
}
