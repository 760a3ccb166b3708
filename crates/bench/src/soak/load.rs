//! The load of a run: tasks that call the service.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use actix_rt::{task::JoinHandle, time::sleep};
use bytes::Bytes;
use caller::{Caller, Category, Endpoint, RequestOutcome, Response, ServerTrust};
use http::Request;
use quinn::ConnectionError;
use tokio::{
    sync::{mpsc, watch},
    time::timeout,
};

use super::{Observation, tally::BrokenFlow};

/// Number of tasks for each kind of request.
const FEED_TASKS: usize = 8;
const CLAIM_TASKS: usize = 4;
const GET_TASKS: usize = 4;
const UPLOAD_TASKS: usize = 2;

/// Lines of each feed and the interval between them, so that a feed takes 10 s.
const FEED_LINES: u64 = 200;
const FEED_LINE_INTERVAL_MILLIS: u64 = 50;

/// Claims that are sent on one connection.
const CLAIMS_PER_CONNECTION: u64 = 20;

/// Upper bound of the length of an upload.
const MAX_UPLOAD_BYTES: u64 = 256 << 10;

/// Timeout for a request with its answer, and for a line of a feed. Longer than
/// the idle timeout after which callers and agents drop a silent peer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);

/// Interval between two requests of a task.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Number of the next request, which makes ids and paths unique.
static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(0);

/// The tasks that call the service.
pub struct Load {
    tasks: Vec<JoinHandle<()>>,
}

/// Connection settings and channels of a task.
#[derive(Clone)]
struct Client {
    endpoint: Endpoint,
    service: SocketAddr,
    observations: mpsc::Sender<Observation>,
    stop: watch::Receiver<bool>,
}

/// Result of a request.
enum RequestResult {
    Complete(Bytes),
    NotRun,
    Unknown,
    /// The answer was aborted or the connection was lost.
    Broken(BrokenFlow),
}

impl Load {
    /// Starts all tasks. Each ends with its current request once `stop` is set.
    ///
    /// # Errors
    ///
    /// The UDP socket of the callers cannot be opened.
    pub fn start(
        service: SocketAddr,
        observations: &mpsc::Sender<Observation>,
        stop: &watch::Receiver<bool>,
    ) -> caller::Result<Load> {
        let client = Client {
            endpoint: Endpoint::open(service, ServerTrust::Any)?,
            service,
            observations: observations.clone(),
            stop: stop.clone(),
        };
        let mut tasks = Vec::new();
        for _ in 0..FEED_TASKS {
            tasks.push(actix_rt::spawn(client.clone().feeds()));
        }
        for _ in 0..CLAIM_TASKS {
            tasks.push(actix_rt::spawn(client.clone().claims()));
        }
        for _ in 0..GET_TASKS {
            tasks.push(actix_rt::spawn(client.clone().gets()));
        }
        for _ in 0..UPLOAD_TASKS {
            tasks.push(actix_rt::spawn(client.clone().uploads()));
        }
        Ok(Load { tasks })
    }

    /// Waits until every task has ended.
    pub async fn join(self) {
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

impl Client {
    fn is_stopped(&self) -> bool {
        *self.stop.borrow()
    }

    async fn record(&self, observation: Observation) {
        // Cannot fail: the tally receives until the last sender is dropped.
        let _ = self.observations.send(observation).await;
    }

    async fn connect(&self) -> Option<Caller> {
        let connecting = Caller::connect(&self.endpoint, self.service, "localhost");
        if let Ok(Ok(caller)) = timeout(REQUEST_TIMEOUT, connecting).await {
            return Some(caller);
        }
        self.record(Observation::NotConnected).await;
        None
    }

    /// Reads one feed after another, each on a new connection.
    async fn feeds(self) {
        while !self.is_stopped() {
            self.record(Observation::Sent).await;
            if let Some(mut caller) = self.connect().await {
                self.feed(&mut caller).await;
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }

    async fn feed(&self, caller: &mut Caller) {
        let path = format!("/feed?ms={FEED_LINE_INTERVAL_MILLIS}&lines={FEED_LINES}");
        let sent = timeout(
            REQUEST_TIMEOUT,
            caller.send(request("GET", &path, Bytes::new())),
        )
        .await;
        let mut answer = match sent {
            Ok(Ok(answer)) if answer.outcome() == RequestOutcome::Answered => answer,
            Ok(Ok(answer)) => return self.record_refusal(&answer, None).await,
            Ok(Err(e)) if e.category() == Category::NotRun => {
                return self.record(Observation::NotRun(None)).await;
            }
            Ok(Err(_)) | Err(_) => return self.record(Observation::Unknown).await,
        };
        let (mut text, mut last) = (Vec::new(), Instant::now());
        let end = loop {
            match timeout(REQUEST_TIMEOUT, answer.next_chunk()).await {
                Ok(Ok(Some(part))) => {
                    last = Instant::now();
                    text.extend_from_slice(&part);
                }
                Ok(Ok(None)) => break Ok(()),
                Ok(Err(e)) => break Err(e.to_string()),
                Err(e) => break Err(e.to_string()),
            }
        };
        let whole = feed_text();
        match end {
            Ok(()) if text == whole.as_bytes() => self.record(Observation::Answered).await,
            Ok(()) => {
                self.record(Observation::WrongAnswer(
                    "feed was truncated or has lines of another answer".into(),
                ))
                .await;
            }
            Err(_) if !whole.as_bytes().starts_with(&text) => {
                self.record(Observation::WrongAnswer(
                    "part of a feed has lines of another answer".into(),
                ))
                .await;
            }
            Err(e) => {
                self.record(Observation::FlowBroken(broken_flow(
                    caller, last, "feed", &e,
                )))
                .await;
            }
        }
    }

    /// Sends claims, several on each connection. No claim is sent twice.
    async fn claims(self) {
        while !self.is_stopped() {
            let Some(mut caller) = self.connect().await else {
                self.record(Observation::Sent).await;
                continue;
            };
            for _ in 0..CLAIMS_PER_CONNECTION {
                if self.is_stopped() {
                    return;
                }
                let id = Bytes::from(format!(
                    "claim-{}",
                    NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed)
                ));
                let path = format!("/claim/{}?ms=20", String::from_utf8_lossy(&id));
                self.record(Observation::Sent).await;
                let body = Bytes::from_static(b"claim");
                let end = self
                    .exchange(&mut caller, request("POST", &path, body))
                    .await;
                let is_last = !matches!(end, RequestResult::Complete(_));
                // Counts as unknown, not as a broken flow: an agent that leaves
                // closes the connection between two requests.
                let end = match end {
                    RequestResult::Broken(_) => RequestResult::Unknown,
                    end => end,
                };
                self.record_result(end, Some(id), |body| body == b"1\n")
                    .await;
                sleep(REQUEST_INTERVAL).await;
                if is_last {
                    break;
                }
            }
        }
    }

    /// Sends requests whose answer contains the path of the request, each on a new
    /// connection.
    async fn gets(self) {
        while !self.is_stopped() {
            let n = NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed);
            let path = format!("/head?n={n}");
            let first_line = format!("GET {path}\n");
            let matches = |body: &[u8]| body.starts_with(first_line.as_bytes());
            self.request_once(request("GET", &path, Bytes::new()), matches)
                .await;
            if n.is_multiple_of(16) {
                self.truncated().await;
            }
        }
    }

    /// Requests an answer that the upstream truncates.
    async fn truncated(&self) {
        let Some(mut caller) = self.connect().await else {
            return;
        };
        self.record(Observation::Sent).await;
        let end = self.exchange(&mut caller, request("GET", "/truncated", Bytes::new()));
        match end.await {
            RequestResult::Complete(_) => {
                self.record(Observation::WrongAnswer(
                    "truncated answer looked complete".into(),
                ))
                .await;
            }
            RequestResult::NotRun => self.record(Observation::NotRun(None)).await,
            RequestResult::Broken(_) | RequestResult::Unknown => {
                self.record(Observation::TruncationDetected).await;
            }
        }
    }

    async fn uploads(self) {
        while !self.is_stopped() {
            let n = NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed);
            let len = n.wrapping_mul(7919) % MAX_UPLOAD_BYTES;
            let body = Bytes::from(vec![b'x'; usize::try_from(len).unwrap_or_default()]);
            let expected = format!("{len}\n");
            let matches = |body: &[u8]| body == expected.as_bytes();
            self.request_once(request("POST", "/upload", body), matches)
                .await;
        }
    }

    /// Sends one request on a new connection.
    async fn request_once(&self, request: Request<Bytes>, matches: impl Fn(&[u8]) -> bool) {
        self.record(Observation::Sent).await;
        if let Some(mut caller) = self.connect().await {
            let end = self.exchange(&mut caller, request).await;
            self.record_result(end, None, matches).await;
        }
        sleep(REQUEST_INTERVAL).await;
    }

    async fn exchange(&self, caller: &mut Caller, request: Request<Bytes>) -> RequestResult {
        let start = Instant::now();
        let exchange = async {
            let mut answer = caller.send(request).await?;
            let body = answer.read_body().await?;
            Ok((answer.outcome(), body))
        };
        match timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(Ok((RequestOutcome::Answered, body))) => RequestResult::Complete(body),
            Ok(Ok((RequestOutcome::NotRun, _))) => RequestResult::NotRun,
            Ok(Ok((RequestOutcome::Unknown, _))) => RequestResult::Unknown,
            Ok(Err(e)) => match caller::Error::category(&e) {
                Category::NotRun => RequestResult::NotRun,
                Category::Unknown => {
                    RequestResult::Broken(broken_flow(caller, start, "request", &e.to_string()))
                }
            },
            Err(e) => RequestResult::Broken(broken_flow(caller, start, "request", &e.to_string())),
        }
    }

    async fn record_result(
        &self,
        end: RequestResult,
        claim: Option<Bytes>,
        matches: impl Fn(&[u8]) -> bool,
    ) {
        match end {
            RequestResult::Complete(body) if matches(&body) => {
                self.record(Observation::Answered).await;
            }
            RequestResult::Complete(body) => {
                self.record(Observation::WrongAnswer(format!(
                    "unexpected answer {body:?}"
                )))
                .await;
            }
            RequestResult::NotRun => self.record(Observation::NotRun(claim)).await,
            RequestResult::Unknown => self.record(Observation::Unknown).await,
            RequestResult::Broken(broken) => {
                self.record(Observation::Unknown).await;
                self.record(Observation::FlowBroken(broken)).await;
            }
        }
    }

    async fn record_refusal(&self, answer: &Response, claim: Option<Bytes>) {
        match answer.outcome() {
            RequestOutcome::NotRun => self.record(Observation::NotRun(claim)).await,
            _ => self.record(Observation::Unknown).await,
        }
    }
}

fn broken_flow(caller: &Caller, last_received_at: Instant, kind: &str, error: &str) -> BrokenFlow {
    let reason = caller.connection().close_reason();
    BrokenFlow {
        last_received_at,
        closed_by_peer: matches!(reason, Some(ConnectionError::ApplicationClosed(_))),
        description: format!("{kind}: {error}"),
    }
}

/// The text of a complete feed.
fn feed_text() -> String {
    let lines: Vec<String> = (0..FEED_LINES).map(|line| line.to_string()).collect();
    lines.join("\n") + "\n"
}

fn request(method: &str, path: &str, body: Bytes) -> Request<Bytes> {
    Request::builder()
        .method(method)
        .uri(format!("https://localhost{path}"))
        .body(body)
        .expect("a valid request")
}
