//! Callers of the service.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use actix_rt::{task::JoinHandle, time::sleep};
use bytes::Bytes;
use caller::{Answer, Caller, Category, Endpoint, Outcome, Trust};
use http::Request;
use quinn::ConnectionError;
use tokio::{
    sync::{mpsc, watch},
    time::timeout,
};

use super::{Note, tally::Break};

/// Tasks of each kind.
const FEEDS: usize = 8;
const CLAIMS: usize = 4;
const GETS: usize = 4;
const UPLOADS: usize = 2;

/// Lines of each feed, and time between them: 10 s.
const LINES: u64 = 200;
const LINE_MILLIS: u64 = 50;

/// Requests on one connection for claims.
const CLAIMS_PER_CONNECTION: u64 = 20;

/// Bytes of the largest upload.
const UPLOAD: u64 = 256 << 10;

/// Time for a request and its answer, and for a line of a feed. Longer than
/// the time after which callers and agents give up a silent peer.
const PATIENCE: Duration = Duration::from_secs(40);

/// Pause between two requests of a task.
const PAUSE: Duration = Duration::from_millis(25);

/// Number of the next request, for ids and paths.
static NEXT: AtomicU64 = AtomicU64::new(0);

/// The tasks that call the service.
pub struct Load {
    tasks: Vec<JoinHandle<()>>,
}

/// What one task needs.
#[derive(Clone)]
struct Client {
    endpoint: Endpoint,
    service: SocketAddr,
    notes: mpsc::Sender<Note>,
    stop: watch::Receiver<bool>,
}

/// How a request ended.
enum End {
    Whole(Bytes),
    NotRun,
    Unknown,
    /// The answer or the connection broke off.
    Broken(Break),
}

impl Load {
    /// Starts all tasks; they end after `stop` is set, each with its request.
    ///
    /// # Errors
    ///
    /// The socket of the callers cannot be opened.
    pub fn start(
        service: SocketAddr,
        notes: &mpsc::Sender<Note>,
        stop: &watch::Receiver<bool>,
    ) -> caller::Result<Load> {
        let client = Client {
            endpoint: Endpoint::open(service, Trust::Any)?,
            service,
            notes: notes.clone(),
            stop: stop.clone(),
        };
        let mut tasks = Vec::new();
        for _ in 0..FEEDS {
            tasks.push(actix_rt::spawn(client.clone().feeds()));
        }
        for _ in 0..CLAIMS {
            tasks.push(actix_rt::spawn(client.clone().claims()));
        }
        for _ in 0..GETS {
            tasks.push(actix_rt::spawn(client.clone().gets()));
        }
        for _ in 0..UPLOADS {
            tasks.push(actix_rt::spawn(client.clone().uploads()));
        }
        Ok(Load { tasks })
    }

    /// Waits until every task has ended.
    pub async fn ended(self) {
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

impl Client {
    fn is_stopped(&self) -> bool {
        *self.stop.borrow()
    }

    async fn note(&self, note: Note) {
        // The tally lives as long as any sender.
        let _ = self.notes.send(note).await;
    }

    async fn connect(&self) -> Option<Caller> {
        let connecting = Caller::connect(&self.endpoint, self.service, "localhost");
        if let Ok(Ok(caller)) = timeout(PATIENCE, connecting).await {
            return Some(caller);
        }
        self.note(Note::NotConnected).await;
        None
    }

    /// Feeds one after another, each on a connection of its own.
    async fn feeds(self) {
        while !self.is_stopped() {
            self.note(Note::Sent).await;
            if let Some(mut caller) = self.connect().await {
                self.feed(&mut caller).await;
            }
            sleep(PAUSE).await;
        }
    }

    async fn feed(&self, caller: &mut Caller) {
        let path = format!("/feed?ms={LINE_MILLIS}&lines={LINES}");
        let sent = timeout(PATIENCE, caller.send(request("GET", &path, Bytes::new()))).await;
        let mut answer = match sent {
            Ok(Ok(answer)) if answer.outcome() == Outcome::Answered => answer,
            Ok(Ok(answer)) => return self.note_refusal(&answer, None).await,
            Ok(Err(e)) if e.category() == Category::NotRun => {
                return self.note(Note::NotRun(None)).await;
            }
            Ok(Err(_)) | Err(_) => return self.note(Note::Unknown).await,
        };
        let (mut text, mut last) = (Vec::new(), Instant::now());
        let end = loop {
            match timeout(PATIENCE, answer.part()).await {
                Ok(Ok(Some(part))) => {
                    last = Instant::now();
                    text.extend_from_slice(&part);
                }
                Ok(Ok(None)) => break Ok(()),
                Ok(Err(e)) => break Err(e.to_string()),
                Err(e) => break Err(e.to_string()),
            }
        };
        let whole = lines();
        match end {
            Ok(()) if text == whole.as_bytes() => self.note(Note::Answered).await,
            Ok(()) => self.note(Note::Wrong("feed was cut or mixed".into())).await,
            Err(_) if !whole.as_bytes().starts_with(&text) => {
                self.note(Note::Wrong("part of a feed was mixed".into()))
                    .await;
            }
            Err(e) => {
                self.note(Note::Broken(broken(caller, last, "feed", &e)))
                    .await;
            }
        }
    }

    /// Claims, several on one connection. No claim is sent twice.
    async fn claims(self) {
        while !self.is_stopped() {
            let Some(mut caller) = self.connect().await else {
                self.note(Note::Sent).await;
                continue;
            };
            for _ in 0..CLAIMS_PER_CONNECTION {
                if self.is_stopped() {
                    return;
                }
                let id = Bytes::from(format!("claim-{}", NEXT.fetch_add(1, Ordering::Relaxed)));
                let path = format!("/claim/{}?ms=20", String::from_utf8_lossy(&id));
                self.note(Note::Sent).await;
                let body = Bytes::from_static(b"claim");
                let end = self
                    .exchange(&mut caller, request("POST", &path, body))
                    .await;
                let is_last = !matches!(end, End::Whole(_));
                // An agent that has left closes the connection between two
                // requests, so this breaks no flow.
                let end = match end {
                    End::Broken(_) => End::Unknown,
                    end => end,
                };
                self.note_end(end, Some(id), |body| body == b"1\n").await;
                sleep(PAUSE).await;
                if is_last {
                    break;
                }
            }
        }
    }

    /// Requests whose answer names the request, each on a connection.
    async fn gets(self) {
        while !self.is_stopped() {
            let n = NEXT.fetch_add(1, Ordering::Relaxed);
            let path = format!("/head?n={n}");
            let first_line = format!("GET {path}\n");
            let matches = |body: &[u8]| body.starts_with(first_line.as_bytes());
            self.single(request("GET", &path, Bytes::new()), matches)
                .await;
            if n.is_multiple_of(16) {
                self.truncated().await;
            }
        }
    }

    /// Asks for an answer that the upstream breaks off.
    async fn truncated(&self) {
        let Some(mut caller) = self.connect().await else {
            return;
        };
        self.note(Note::Sent).await;
        let end = self.exchange(&mut caller, request("GET", "/truncated", Bytes::new()));
        match end.await {
            End::Whole(_) => {
                self.note(Note::Wrong("cut answer passed as whole".into()))
                    .await;
            }
            End::NotRun => self.note(Note::NotRun(None)).await,
            End::Broken(_) | End::Unknown => self.note(Note::SeenAsCut).await,
        }
    }

    async fn uploads(self) {
        while !self.is_stopped() {
            let n = NEXT.fetch_add(1, Ordering::Relaxed);
            let len = n.wrapping_mul(7919) % UPLOAD;
            let body = Bytes::from(vec![b'x'; usize::try_from(len).unwrap_or_default()]);
            let expected = format!("{len}\n");
            let matches = |body: &[u8]| body == expected.as_bytes();
            self.single(request("POST", "/upload", body), matches).await;
        }
    }

    /// One request on a connection of its own.
    async fn single(&self, request: Request<Bytes>, matches: impl Fn(&[u8]) -> bool) {
        self.note(Note::Sent).await;
        if let Some(mut caller) = self.connect().await {
            let end = self.exchange(&mut caller, request).await;
            self.note_end(end, None, matches).await;
        }
        sleep(PAUSE).await;
    }

    async fn exchange(&self, caller: &mut Caller, request: Request<Bytes>) -> End {
        let start = Instant::now();
        let exchange = async {
            let mut answer = caller.send(request).await?;
            let body = answer.body().await?;
            Ok((answer.outcome(), body))
        };
        match timeout(PATIENCE, exchange).await {
            Ok(Ok((Outcome::Answered, body))) => End::Whole(body),
            Ok(Ok((Outcome::NotRun, _))) => End::NotRun,
            Ok(Ok((Outcome::Unknown, _))) => End::Unknown,
            Ok(Err(e)) => match caller::Error::category(&e) {
                Category::NotRun => End::NotRun,
                Category::Unknown => End::Broken(broken(caller, start, "request", &e.to_string())),
            },
            Err(e) => End::Broken(broken(caller, start, "request", &e.to_string())),
        }
    }

    async fn note_end(&self, end: End, claim: Option<Bytes>, matches: impl Fn(&[u8]) -> bool) {
        match end {
            End::Whole(body) if matches(&body) => self.note(Note::Answered).await,
            End::Whole(body) => {
                self.note(Note::Wrong(format!("answer {body:?}"))).await;
            }
            End::NotRun => self.note(Note::NotRun(claim)).await,
            End::Unknown => self.note(Note::Unknown).await,
            End::Broken(broken) => {
                self.note(Note::Unknown).await;
                self.note(Note::Broken(broken)).await;
            }
        }
    }

    async fn note_refusal(&self, answer: &Answer, claim: Option<Bytes>) {
        match answer.outcome() {
            Outcome::NotRun => self.note(Note::NotRun(claim)).await,
            _ => self.note(Note::Unknown).await,
        }
    }
}

fn broken(caller: &Caller, at: Instant, kind: &str, error: &str) -> Break {
    let reason = caller.connection().close_reason();
    Break {
        at,
        closed: matches!(reason, Some(ConnectionError::ApplicationClosed(_))),
        what: format!("{kind}: {error}"),
    }
}

/// The text of a whole feed.
fn lines() -> String {
    let lines: Vec<String> = (0..LINES).map(|line| line.to_string()).collect();
    lines.join("\n") + "\n"
}

fn request(method: &str, path: &str, body: Bytes) -> Request<Bytes> {
    Request::builder()
        .method(method)
        .uri(format!("https://localhost{path}"))
        .body(body)
        .expect("a valid request")
}
