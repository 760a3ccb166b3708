//! The HTTP client of a process.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Instant};

use actix_service::ServiceExt;
use actix_tls::connect::{ConnectInfo, Connection, ConnectorService};
use auth::Credentials;
use awc::{
    Connector,
    error::{ConnectError, SendRequestError},
    http::{StatusCode, Uri},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time::timeout_at};

use crate::{Result, error::ErrorKind};

/// Messages that went through a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HttpTraffic {
    /// Requests that were sent.
    pub requests: u64,
    /// Bytes of their bodies.
    pub sent_bytes: u64,
    /// Bytes of the bodies of replies.
    pub received_bytes: u64,
}

/// Sends control messages over HTTP.
#[derive(Clone)]
pub struct HttpClient {
    client: awc::Client,
    /// Counted over all clones.
    traffic: Rc<Cell<HttpTraffic>>,
    scheme: &'static str,
}

impl Default for HttpClient {
    /// A client without TLS.
    fn default() -> Self {
        HttpClient::new(None)
    }
}

impl HttpClient {
    /// A client without limits of its own; every request has a deadline. With
    /// credentials it uses mutual TLS, without them plain HTTP.
    #[must_use]
    pub fn new(credentials: Option<&Credentials>) -> Self {
        let builder = awc::Client::builder().disable_timeout().disable_redirects();
        let Some(credentials) = credentials else {
            return HttpClient {
                client: builder.finish(),
                traffic: Rc::default(),
                scheme: "http",
            };
        };
        let tcp = ServiceExt::<ConnectInfo<Uri>>::map(ConnectorService::default(), without_delay);
        let connector = Connector::new().connector(tcp);
        HttpClient {
            client: builder
                .connector(connector.rustls_0_23(credentials.client_config()))
                .finish(),
            traffic: Rc::default(),
            scheme: "https",
        }
    }

    /// Messages that went through this client and its clones.
    #[must_use]
    pub fn traffic(&self) -> HttpTraffic {
        self.traffic.get()
    }

    fn count(&self, sent: usize, received: usize) {
        let traffic = self.traffic.get();
        self.traffic.set(HttpTraffic {
            requests: traffic.requests + u64::from(sent > 0),
            sent_bytes: traffic.sent_bytes + sent as u64,
            received_bytes: traffic.received_bytes + received as u64,
        });
    }

    /// Sends `message` to `path` at `host` and waits for the reply.
    ///
    /// # Errors
    ///
    /// The host cannot be reached, does not answer by the deadline, or answers
    /// with something that is not a `Reply`.
    pub async fn post<Message: Serialize, Reply: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
        message: &Message,
        deadline: Instant,
    ) -> Result<Reply> {
        let body = wire::encode(message).map_err(|e| ErrorKind::Encode(host, e))?;
        let exchange = self.exchange(host, path, body);
        let reply = timeout_at(deadline.into(), exchange)
            .await
            .map_err(|_| ErrorKind::Timeout(host))??;
        // A process that was frozen finds the reply before its timer.
        if Instant::now() > deadline {
            return Err(ErrorKind::Timeout(host).into());
        }
        Ok(wire::decode(&reply).map_err(|e| ErrorKind::Decode(host, e))?)
    }

    async fn exchange(&self, host: SocketAddr, path: &str, body: Vec<u8>) -> Result<bytes::Bytes> {
        self.count(body.len(), 0);
        let mut response = self
            .client
            .post(format!("{}://{host}{path}", self.scheme))
            .content_type(wire::CONTENT_TYPE)
            .send_body(body)
            .await
            .map_err(|e| send_error(host, e))?;
        if response.status() == StatusCode::FORBIDDEN {
            return Err(ErrorKind::Forbidden(host).into());
        }
        if !response.status().is_success() {
            return Err(ErrorKind::Status(host, response.status()).into());
        }
        let body = response.body().limit(wire::MAX_MESSAGE_LEN).await;
        let body = body.map_err(|e| ErrorKind::Body(host, e))?;
        self.count(0, body.len());
        Ok(body)
    }
}

/// Turns Nagle's algorithm off. The server does not answer the end of the TLS
/// handshake, so the first request of a connection would be held for a delayed
/// acknowledgement, 40 ms.
fn without_delay(connection: Connection<Uri, TcpStream>) -> Connection<Uri, TcpStream> {
    // Without the option requests are only slower.
    let _ = connection.io_ref().set_nodelay(true);
    connection
}

/// Sorts failures to connect from failures of a request on its way.
///
/// `awc` also reports a connection that closes before the answer as a
/// `ConnectError`; the host may have received the request then.
fn send_error(host: SocketAddr, error: SendRequestError) -> ErrorKind {
    match error {
        SendRequestError::Connect(e @ (ConnectError::Io(_) | ConnectError::Timeout)) => {
            ErrorKind::Connect(host, e)
        }
        e => ErrorKind::Request(host, e),
    }
}
