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

use super::Head;
use crate::version::Peer;

/// Time to open a connection. The upstream is on the same host and a peer a
/// few milliseconds away; a lost packet is repeated within a second.
const CONNECT: Duration = Duration::from_secs(1);

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
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

impl Target {
    fn address(&self) -> SocketAddr {
        match self {
            Target::Upstream(address) => *address,
            Target::Peer { peer, .. } => peer.address,
        }
    }

    /// Adds the fields that the target needs to the head.
    fn mark(&self, head: &mut Head) {
        if let Target::Peer {
            upstream,
            service,
            reservation,
            ..
        } = self
        {
            head.set(ClaimHeader::RESERVATION, reservation);
            head.set(ClaimHeader::SERVICE, service);
            head.set(ClaimHeader::UPSTREAM, upstream);
        }
    }
}

/// An attempt that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failed {
    /// How far it came.
    pub progress: Progress,
    /// Why it ended.
    pub failure: Failure,
}

impl Failed {
    fn not_started(failure: Failure) -> Self {
        Failed {
            progress: Progress::NotStarted,
            failure,
        }
    }

    fn started(failure: Failure) -> Self {
        Failed {
            progress: Progress::Started,
            failure,
        }
    }

    /// What an attempt at the upstream shows of it: whether it could be
    /// connected to, or nothing if time ran out before.
    #[must_use]
    pub fn connected(self) -> Option<bool> {
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
pub struct Answer {
    /// The head and the body, which is still coming in.
    pub response: Response<Incoming>,
    /// The task that drives the connection.
    connection: Connection,
}

impl Answer {
    /// Splits the answer; the connection lives as long as its guard.
    pub fn into_parts(self) -> (http::response::Parts, Incoming, Connection) {
        let (parts, body) = self.response.into_parts();
        (parts, body, self.connection)
    }
}

/// Ends the task that drives a connection when it is dropped.
#[derive(Debug)]
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request to be sent.
#[derive(Debug)]
pub struct Call<B> {
    /// Where it goes.
    pub target: Target,
    /// Method, path and body; header fields come from `head`.
    pub request: Request<B>,
    /// Header fields.
    pub head: Head,
    /// Instant after which the caller no longer waits.
    pub deadline: Option<Instant>,
}

impl<B> Call<B>
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
    pub async fn send(self) -> Result<Answer, Failed> {
        let stream = self.connect(open(self.target.address())).await?;
        self.send_on(stream).await
    }

    /// Like [`Call::send`], by mutual TLS if there are credentials.
    ///
    /// # Errors
    ///
    /// Nothing was sent, or the answer was lost, as the progress says. A
    /// handshake that fails has sent nothing of the request.
    pub async fn send_to_peer(self, credentials: Option<&Credentials>) -> Result<Answer, Failed> {
        let Some(credentials) = credentials else {
            return self.send().await;
        };
        let address = self.target.address();
        let secured = async {
            let stream = open(address).await?;
            credentials.secure(address, stream).await
        };
        let stream = self.connect(secured).await?;
        self.send_on(stream).await
    }

    async fn send_on<S>(mut self, stream: S) -> Result<Answer, Failed>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) =
            handshake.map_err(|_| Failed::not_started(Failure::Connect))?;
        let connection = Connection(actix_rt::spawn(async move {
            // A broken connection also fails the request, which reports it.
            let _ = connection.await;
        }));

        self.head.set_remaining(Instant::now(), self.deadline);
        self.target.mark(&mut self.head);
        *self.request.headers_mut() = self.head.headers;
        let answer = before(self.deadline, sender.send_request(self.request)).await;
        let answer = answer.ok_or(Failed::started(Failure::Deadline))?;
        let response = answer.map_err(|_| Failed::started(Failure::Broken))?;
        self.target.check(Answer {
            response,
            connection,
        })
    }

    /// Waits for a connection, at most [`CONNECT`] and until the deadline.
    async fn connect<S>(&self, connect: impl Future<Output = io::Result<S>>) -> Result<S, Failed> {
        let connected = before(self.deadline, timeout(CONNECT, connect)).await;
        match connected {
            Some(Ok(Ok(stream))) => Ok(stream),
            Some(_) => Err(Failed::not_started(Failure::Connect)),
            None => Err(Failed::not_started(Failure::Deadline)),
        }
    }
}

impl Target {
    /// Reads the outcome that a peer reports. An upstream's fields of these
    /// names have no meaning; only agents set them.
    fn check(&self, answer: Answer) -> Result<Answer, Failed> {
        let Target::Peer { upstream, .. } = self else {
            return Ok(answer);
        };
        match PeerSays::read(answer.response.headers(), *upstream) {
            PeerSays::Answer => Ok(answer),
            PeerSays::NotRun => Err(Failed::not_started(Failure::PeerRefused)),
            PeerSays::Lost => Err(Failed::started(Failure::Broken)),
        }
    }
}

/// What the answer to a request that was handed off is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSays {
    /// The answer of the upstream that was meant.
    Answer,
    /// An agent says that the request was not run.
    NotRun,
    /// The answer is lost, or comes from a server that is not the peer: the
    /// address may have a new owner, and a server may answer before its
    /// handlers see the request. Either may have run it.
    Lost,
}

impl PeerSays {
    /// Reads the head of the answer to a request that was meant for `upstream`.
    /// Every agent puts its identity into the answers that it gives or passes
    /// on, and runs only requests that name it.
    #[must_use]
    pub fn read(headers: &HeaderMap, upstream: UpstreamId) -> Self {
        let field = |name: &str| headers.get(name)?.to_str().ok();
        let from = field(ClaimHeader::UPSTREAM).and_then(|id| id.parse::<UpstreamId>().ok());
        match (from, headers.get(ClaimHeader::OUTCOME)) {
            (Some(from), None) if from == upstream => PeerSays::Answer,
            (Some(_), Some(outcome)) if outcome == ClaimHeader::NOT_RUN => PeerSays::NotRun,
            _ => PeerSays::Lost,
        }
    }
}

/// Waits for a future until the deadline; `None` if it passed.
async fn before<F: Future>(deadline: Option<Instant>, future: F) -> Option<F::Output> {
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
async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
