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

/// Traffic counters of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HttpTraffic {
    /// Number of requests sent.
    pub requests: u64,
    /// Bytes of request bodies sent.
    pub sent_bytes: u64,
    /// Bytes of response bodies received.
    pub received_bytes: u64,
}

/// Sends control messages over HTTP.
#[derive(Clone)]
pub struct HttpClient {
    client: awc::Client,
    /// Shared by all clones.
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
    /// Creates a client that uses mutual TLS if `credentials` is given, else plain
    /// HTTP. It has no timeout of its own, as every request has a deadline.
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
        let tcp = ServiceExt::<ConnectInfo<Uri>>::map(ConnectorService::default(), disable_nagle);
        let connector = Connector::new().connector(tcp);
        HttpClient {
            client: builder
                .connector(connector.rustls_0_23(credentials.client_config()))
                .finish(),
            traffic: Rc::default(),
            scheme: "https",
        }
    }

    /// Traffic of this client and its clones.
    #[must_use]
    pub fn traffic(&self) -> HttpTraffic {
        self.traffic.get()
    }

    fn record_traffic(&self, sent: usize, received: usize) {
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
    /// The host cannot be reached, does not respond by the deadline, responds with
    /// an error status, or its response cannot be decoded as a `Reply`.
    pub async fn post<Message: Serialize, Reply: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
        message: &Message,
        deadline: Instant,
    ) -> Result<Reply> {
        let body = wire::encode(message).map_err(|e| ErrorKind::Encode(host, e))?;
        let request = self.send_request(host, path, body);
        let reply = timeout_at(deadline.into(), request)
            .await
            .map_err(|_| ErrorKind::Timeout(host))??;
        // After the process was suspended, the reply is polled before the timer,
        // so a late reply has to be discarded here.
        if Instant::now() > deadline {
            return Err(ErrorKind::Timeout(host).into());
        }
        Ok(wire::decode(&reply).map_err(|e| ErrorKind::Decode(host, e))?)
    }

    async fn send_request(
        &self,
        host: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<bytes::Bytes> {
        self.record_traffic(body.len(), 0);
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
        self.record_traffic(0, body.len());
        Ok(body)
    }
}

/// Disables Nagle's algorithm. The server does not reply to the last message of the
/// TLS handshake, so the first request of a connection would be delayed until a
/// delayed acknowledgement arrives, after 40 ms.
fn disable_nagle(connection: Connection<Uri, TcpStream>) -> Connection<Uri, TcpStream> {
    // A failure only makes requests slower.
    let _ = connection.io_ref().set_nodelay(true);
    connection
}

/// Distinguishes failures to connect from failures after the request may have been
/// sent.
///
/// `awc` also reports a connection that closes before the response as a
/// `ConnectError`; in that case the host may have received the request.
fn send_error(host: SocketAddr, error: SendRequestError) -> ErrorKind {
    match error {
        SendRequestError::Connect(e @ (ConnectError::Io(_) | ConnectError::Timeout)) => {
            ErrorKind::Connect(host, e)
        }
        e => ErrorKind::Request(host, e),
    }
}
