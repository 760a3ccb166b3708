//! One call to another process.

use std::{io, net::SocketAddr, time::Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout_at};

/// Why a call brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The deadline has passed.
    #[error("no answer before the deadline")]
    Deadline,
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or the answer is not HTTP.
    #[error("the exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
    /// The answer is longer than allowed, or broke off.
    #[error("cannot read the body of the answer: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The request cannot be written.
    #[error("invalid request: {0}")]
    Request(#[from] http::Error),
}

/// Sends a request on a connection of its own and returns the status and body
/// of the answer, of at most `max_body` bytes.
///
/// # Errors
///
/// No whole answer came before the deadline.
pub async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    max_body: usize,
    deadline: Instant,
) -> Result<(StatusCode, Bytes), RequestError> {
    let exchange = exchange(address, method, path, body, max_body);
    timeout_at(deadline.into(), exchange)
        .await
        .map_err(|_| RequestError::Deadline)?
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    max_body: usize,
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
        let body = Limited::new(response.into_body(), max_body).collect();
        let body = body.await.map_err(RequestError::Body)?;
        Ok((status, body.to_bytes()))
    };
    // Both run in this task, so that dropping the call closes the connection.
    tokio::pin!(exchange, connection);
    let mut open = true;
    loop {
        tokio::select! {
            result = &mut exchange => return result,
            ended = &mut connection, if open => {
                ended?;
                open = false;
            }
        }
    }
}
