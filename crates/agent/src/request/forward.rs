//! One attempt to forward a request to an upstream.

use std::{
    error::Error as StdError,
    future::Future,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use admit::{Failure, Progress};
use auth::Credentials;
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::JoinHandle,
    time::{sleep_until, timeout},
};
use types::{ReservationId, ServiceId, UpstreamId};
use wire::ClaimHeader;

use super::{EndToEndHeaders, ResponseBody};
use crate::version::Peer;

/// Timeout for opening a connection. The upstream is on the same host and a
/// peer a few milliseconds away; TCP retransmits a lost packet within a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Destination of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardTarget {
    /// The agent's own upstream.
    Upstream(SocketAddr),
    /// A peer that has reserved a slot.
    Peer {
        /// The peer.
        peer: Peer,
        /// Id of the peer's upstream.
        upstream: UpstreamId,
        /// Service of the request.
        service: ServiceId,
        /// Reservation of the slot.
        reservation: ReservationId,
    },
}

impl ForwardTarget {
    fn address(&self) -> SocketAddr {
        match self {
            ForwardTarget::Upstream(address) => *address,
            ForwardTarget::Peer { peer, .. } => peer.address,
        }
    }

    /// Adds the header fields by which a peer checks the reservation.
    fn add_headers(&self, headers: &mut EndToEndHeaders) {
        if let ForwardTarget::Peer {
            upstream,
            service,
            reservation,
            ..
        } = self
        {
            headers.set(ClaimHeader::RESERVATION, reservation);
            headers.set(ClaimHeader::SERVICE, service);
            headers.set(ClaimHeader::UPSTREAM, upstream);
        }
    }
}

/// An attempt that returned no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptError {
    /// Whether the request may have been run.
    pub progress: Progress,
    /// Why the attempt failed.
    pub failure: Failure,
}

impl AttemptError {
    fn not_started(failure: Failure) -> Self {
        AttemptError {
            progress: Progress::NotStarted,
            failure,
        }
    }

    fn started(failure: Failure) -> Self {
        AttemptError {
            progress: Progress::Started,
            failure,
        }
    }

    /// Whether the upstream accepted the connection; `None` if the deadline
    /// passed before the connection was open.
    #[must_use]
    pub fn upstream_connected(self) -> Option<bool> {
        match (self.progress, self.failure) {
            (_, Failure::Connect) => Some(false),
            (Progress::NotStarted, _) => None,
            _ => Some(true),
        }
    }
}

/// A response whose headers have arrived. Dropping it closes the connection,
/// which cancels the request at the upstream.
#[derive(Debug)]
pub struct ForwardedResponse {
    /// The headers, and the body, which is still being received.
    pub response: Response<ResponseBody>,
    /// The task that drives the connection.
    connection: ConnectionTask,
}

impl ForwardedResponse {
    /// Splits the response. Dropping the [`ConnectionTask`] closes the
    /// connection.
    #[must_use]
    pub fn into_parts(self) -> (http::response::Parts, ResponseBody, ConnectionTask) {
        let (parts, body) = self.response.into_parts();
        (parts, body, self.connection)
    }
}

/// The task that drives a connection; aborted on drop.
#[derive(Debug)]
pub struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request to be forwarded.
#[derive(Debug)]
pub struct ForwardedRequest<B> {
    /// Destination of the request.
    pub target: ForwardTarget,
    /// Method, path and body; header fields come from `headers`.
    pub request: Request<B>,
    /// Header fields.
    pub headers: EndToEndHeaders,
    /// Deadline of the caller, if it set one.
    pub deadline: Option<Instant>,
}

impl<B> ForwardedRequest<B>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    /// Sends the request on a new connection and waits for the response headers.
    ///
    /// Connections are not reused: if the server closes an idle connection while
    /// a request is being sent, it is unknown whether the request was run.
    ///
    /// # Errors
    ///
    /// Fails if nothing was sent or the response was lost;
    /// [`AttemptError::progress`] tells which.
    pub async fn send(self) -> Result<ForwardedResponse, AttemptError> {
        let stream = self.connect(open_connection(self.target.address())).await?;
        self.send_on(stream).await
    }

    /// Like [`ForwardedRequest::send`], with mutual TLS if there are credentials.
    ///
    /// # Errors
    ///
    /// Fails if nothing was sent or the response was lost;
    /// [`AttemptError::progress`] tells which. When the TLS handshake fails,
    /// nothing of the request was sent.
    pub async fn send_to_peer(
        self,
        credentials: Option<&Credentials>,
    ) -> Result<ForwardedResponse, AttemptError> {
        let Some(credentials) = credentials else {
            return self.send().await;
        };
        let address = self.target.address();
        let tls_connect = async {
            let stream = open_connection(address).await?;
            credentials.connect_tls(address, stream).await
        };
        let stream = self.connect(tls_connect).await?;
        self.send_on(stream).await
    }

    async fn send_on<S>(mut self, stream: S) -> Result<ForwardedResponse, AttemptError>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) =
            handshake.map_err(|_| AttemptError::not_started(Failure::Connect))?;
        let connection = ConnectionTask(actix_rt::spawn(async move {
            // A connection error also fails `send_request`, which returns it.
            let _ = connection.await;
        }));

        self.headers.set_timeout(Instant::now(), self.deadline);
        self.target.add_headers(&mut self.headers);
        *self.request.headers_mut() = self.headers.headers;
        let received = until_deadline(self.deadline, sender.send_request(self.request)).await;
        let received = received.ok_or(AttemptError::started(Failure::Deadline))?;
        let response = received.map_err(|_| AttemptError::started(Failure::Broken))?;
        self.target.check_response(ForwardedResponse {
            response: response.map(ResponseBody::new),
            connection,
        })
    }

    /// Waits for a connection, at most [`CONNECT_TIMEOUT`] and until the deadline.
    async fn connect<S>(
        &self,
        connect: impl Future<Output = io::Result<S>>,
    ) -> Result<S, AttemptError> {
        let connected = until_deadline(self.deadline, timeout(CONNECT_TIMEOUT, connect)).await;
        match connected {
            Some(Ok(Ok(stream))) => Ok(stream),
            Some(_) => Err(AttemptError::not_started(Failure::Connect)),
            None => Err(AttemptError::not_started(Failure::Deadline)),
        }
    }
}

impl ForwardTarget {
    /// Checks the outcome that a peer reports. On a response of the agent's own
    /// upstream these fields are ignored, because only agents set them.
    fn check_response(
        &self,
        received: ForwardedResponse,
    ) -> Result<ForwardedResponse, AttemptError> {
        let ForwardTarget::Peer { upstream, .. } = self else {
            return Ok(received);
        };
        match PeerOutcome::from_headers(received.response.headers(), *upstream) {
            PeerOutcome::Response => Ok(received),
            PeerOutcome::NotRun => Err(AttemptError::not_started(Failure::PeerRefused)),
            PeerOutcome::Unknown => Err(AttemptError::started(Failure::Broken)),
        }
    }
}

/// Outcome of a request that was handed off, as the response headers tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerOutcome {
    /// The response comes from the intended upstream.
    Response,
    /// An agent reports that the request was not run.
    NotRun,
    /// The response is lost, or comes from a server other than the peer: the
    /// address may have been reassigned, and a server may respond before its
    /// handlers see the request. In each case the request may have been run.
    Unknown,
}

impl PeerOutcome {
    /// Reads the outcome from the response headers to a request for `upstream`.
    /// Every agent adds its upstream id to its responses, and runs only requests
    /// that carry this id.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap, upstream: UpstreamId) -> Self {
        let field = |name: &str| headers.get(name)?.to_str().ok();
        let sender_id = field(ClaimHeader::UPSTREAM).and_then(|id| id.parse::<UpstreamId>().ok());
        match (sender_id, headers.get(ClaimHeader::OUTCOME)) {
            (Some(sender_id), None) if sender_id == upstream => PeerOutcome::Response,
            (Some(_), Some(outcome)) if outcome == ClaimHeader::NOT_RUN => PeerOutcome::NotRun,
            _ => PeerOutcome::Unknown,
        }
    }
}

/// Waits for a future until the deadline; `None` if the deadline passed first.
async fn until_deadline<F: Future>(deadline: Option<Instant>, future: F) -> Option<F::Output> {
    let Some(deadline) = deadline else {
        return Some(future.await);
    };
    tokio::select! {
        output = future => Some(output),
        () = sleep_until(deadline.into()) => None,
    }
}

/// Opens a connection without Nagle's algorithm, so that a small chunk of a
/// streamed response does not wait for the previous acknowledgement. If the
/// option cannot be set, such chunks are only delayed.
async fn open_connection(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
