//! An HTTP client for one request to another process.

use std::{io, net::SocketAddr, time::Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout_at};

/// Why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The deadline passed before the response was complete.
    #[error("no complete response before the deadline")]
    Deadline,
    /// The connection could not be opened or configured.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed, or the response is not valid HTTP.
    #[error("HTTP exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
    /// The body of the response is longer than allowed, or incomplete.
    #[error("cannot read the response body: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The method, path and address make no valid request.
    #[error("invalid HTTP request: {0}")]
    Request(#[from] http::Error),
}

/// Sends a request on a new connection and returns the status and body of the
/// response. The body may have at most `max_body_bytes` bytes.
///
/// # Errors
///
/// The request failed, or no complete response arrived before the deadline.
pub async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    max_body_bytes: usize,
    deadline: Instant,
) -> Result<(StatusCode, Bytes), RequestError> {
    let exchange = exchange(address, method, path, body, max_body_bytes);
    timeout_at(deadline.into(), exchange)
        .await
        .map_err(|_| RequestError::Deadline)?
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    max_body_bytes: usize,
) -> Result<(StatusCode, Bytes), RequestError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(RequestError::Connect)?;
    stream.set_nodelay(true).map_err(RequestError::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body))?;
    let exchange = async {
        let response = sender.send_request(req).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), max_body_bytes).collect();
        let body = body.await.map_err(RequestError::Body)?;
        Ok((status, body.to_bytes()))
    };
    // Both futures run in this task, so that dropping the caller's future closes the
    // connection.
    tokio::pin!(exchange, connection);
    let mut connection_open = true;
    loop {
        tokio::select! {
            result = &mut exchange => return result,
            ended = &mut connection, if connection_open => {
                ended?;
                connection_open = false;
            }
        }
    }
}
