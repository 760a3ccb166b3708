//! A connection of a caller.

use std::{future::poll_fn, net::SocketAddr};

use bytes::Bytes;
use h3::client::SendRequest;
use http::Request;
use tokio::task::JoinHandle;

use crate::{
    Endpoint, PendingRequest, Response, Result, error::ErrorKind, request::stream_error_kind,
};

/// An HTTP/3 connection to a service. Dropping it closes the connection.
pub struct Caller {
    requests: SendRequest<h3_quinn::OpenStreams, Bytes>,
    connection: quinn::Connection,
    driver: JoinHandle<()>,
}

impl Caller {
    /// Connects to a service.
    ///
    /// # Errors
    ///
    /// The service does not respond, or its certificate is not accepted.
    pub async fn connect(endpoint: &Endpoint, server: SocketAddr, name: &str) -> Result<Self> {
        let connecting = endpoint.quic.connect(server, name)?;
        let connection = connecting.await.map_err(ErrorKind::Handshake)?;
        let (mut h3, requests) =
            h3::client::new(h3_quinn::Connection::new(connection.clone())).await?;
        let driver = actix_rt::spawn(async move {
            // The requests report the error of the connection.
            let _ = poll_fn(|cx| h3.poll_close(cx)).await;
        });
        Ok(Caller {
            requests,
            connection,
            driver,
        })
    }

    /// Sends a request with its whole body and waits for the response headers.
    ///
    /// # Errors
    ///
    /// The request was rejected, or its stream failed; [`Error::category`] tells
    /// which.
    ///
    /// [`Error::category`]: crate::Error::category
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response> {
        let (parts, body) = request.into_parts();
        let mut pending = self.start(Request::from_parts(parts, ())).await?;
        // A server may respond before it has received the whole body, and then
        // stops the request stream; that is not an error.
        if body.is_empty() || pending.send_chunk(body).await.is_ok() {
            let _ = pending.finish().await;
        }
        pending.response().await
    }

    /// Sends the headers of a request.
    ///
    /// # Errors
    ///
    /// The request was rejected, or its stream failed; [`Error::category`] tells
    /// which.
    ///
    /// [`Error::category`]: crate::Error::category
    pub async fn start(&mut self, request: Request<()>) -> Result<PendingRequest> {
        let stream = self
            .requests
            .send_request(request)
            .await
            .map_err(stream_error_kind)?;
        Ok(PendingRequest::new(stream))
    }

    /// The underlying QUIC connection, for its statistics.
    #[must_use]
    pub fn connection(&self) -> &quinn::Connection {
        &self.connection
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
