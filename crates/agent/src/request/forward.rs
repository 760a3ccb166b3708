//! One attempt to run a request at an upstream.

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
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::JoinHandle,
    time::{sleep_until, timeout},
};
use types::{ReservationId, ServiceId, UpstreamId};
use wire::ClaimHeader;

use super::EndToEndHeaders;
use crate::version::Peer;

/// Time to open a connection. The upstream is on the same host and a peer a
/// few milliseconds away; a lost packet is repeated within a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardTarget {
    /// The agent's own upstream.
    Upstream(SocketAddr),
    /// A peer that holds a slot.
    Peer {
        /// The peer.
        peer: Peer,
        /// The peer's identity.
        upstream: UpstreamId,
        /// Service of the request.
        service: ServiceId,
        /// The slot.
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

    /// Adds the fields that the target needs to the head.
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

/// An attempt that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptError {
    /// How far it came.
    pub progress: Progress,
    /// Why it ended.
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

    /// What an attempt at the upstream shows of it: whether it could be
    /// connected to, or nothing if time ran out before.
    #[must_use]
    pub fn upstream_connected(self) -> Option<bool> {
        match (self.progress, self.failure) {
            (_, Failure::Connect) => Some(false),
            (Progress::NotStarted, _) => None,
            _ => Some(true),
        }
    }
}

/// An answer whose head has come. Dropping it closes the connection, which
/// cancels the request at the upstream.
#[derive(Debug)]
pub struct ForwardedResponse {
    /// The head and the body, which is still coming in.
    pub response: Response<Incoming>,
    /// The task that drives the connection.
    connection: ConnectionTask,
}

impl ForwardedResponse {
    /// Splits the answer; the connection lives as long as its guard.
    pub fn into_parts(self) -> (http::response::Parts, Incoming, ConnectionTask) {
        let (parts, body) = self.response.into_parts();
        (parts, body, self.connection)
    }
}

/// Ends the task that drives a connection when it is dropped.
#[derive(Debug)]
pub struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request to be sent.
#[derive(Debug)]
pub struct ForwardedRequest<B> {
    /// Where it goes.
    pub target: ForwardTarget,
    /// Method, path and body; header fields come from `head`.
    pub request: Request<B>,
    /// Header fields.
    pub headers: EndToEndHeaders,
    /// Instant after which the caller no longer waits.
    pub deadline: Option<Instant>,
}

impl<B> ForwardedRequest<B>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    /// Sends the request on a connection of its own and waits for the head of
    /// the answer.
    ///
    /// A connection is never used twice: on one that the other side closes at
    /// the same time, the request would be lost with an unknown outcome.
    ///
    /// # Errors
    ///
    /// Nothing was sent, or the answer was lost, as the progress says.
    pub async fn send(self) -> Result<ForwardedResponse, AttemptError> {
        let stream = self.connect(open_connection(self.target.address())).await?;
        self.send_on(stream).await
    }

    /// Like [`Call::send`], by mutual TLS if there are credentials.
    ///
    /// # Errors
    ///
    /// Nothing was sent, or the answer was lost, as the progress says. A
    /// handshake that fails has sent nothing of the request.
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
            credentials.secure(address, stream).await
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
            // A broken connection also fails the request, which reports it.
            let _ = connection.await;
        }));

        self.headers.set_timeout(Instant::now(), self.deadline);
        self.target.add_headers(&mut self.headers);
        *self.request.headers_mut() = self.headers.headers;
        let received = until_deadline(self.deadline, sender.send_request(self.request)).await;
        let received = received.ok_or(AttemptError::started(Failure::Deadline))?;
        let response = received.map_err(|_| AttemptError::started(Failure::Broken))?;
        self.target.check_response(ForwardedResponse {
            response,
            connection,
        })
    }

    /// Waits for a connection, at most [`CONNECT`] and until the deadline.
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
    /// Reads the outcome that a peer reports. An upstream's fields of these
    /// names have no meaning; only agents set them.
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

/// What the answer to a request that was handed off is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerOutcome {
    /// The answer of the upstream that was meant.
    Response,
    /// An agent says that the request was not run.
    NotRun,
    /// The answer is lost, or comes from a server that is not the peer: the
    /// address may have a new owner, and a server may answer before its
    /// handlers see the request. Either may have run it.
    Unknown,
}

impl PeerOutcome {
    /// Reads the head of the answer to a request that was meant for `upstream`.
    /// Every agent puts its identity into the answers that it gives or passes
    /// on, and runs only requests that name it.
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

/// Waits for a future until the deadline; `None` if it passed.
async fn until_deadline<F: Future>(deadline: Option<Instant>, future: F) -> Option<F::Output> {
    let Some(deadline) = deadline else {
        return Some(future.await);
    };
    tokio::select! {
        output = future => Some(output),
        () = sleep_until(deadline.into()) => None,
    }
}

/// Opens a connection. A small part of a feed must not wait for the last one's
/// acknowledgement; it is only slower if that cannot be set.
async fn open_connection(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
