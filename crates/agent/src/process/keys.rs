//! The task that owns the results kept under idempotency keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use actix_rt::time::sleep;
use client::Http;
use dedup::{AttemptId, BeginReply, Fingerprint, Home, IdempotencyKey, Settings, home_of};
use tokio::sync::{mpsc, oneshot};
use types::{ServiceId, ServiceState, UnixMillis, UpstreamId};
use wire::request::{BeginRequest, EndRequest};

/// Path on which a home is asked.
pub const BEGIN_PATH: &str = "/v1/begin";

/// Path on which a home is told how a request has ended.
pub const END_PATH: &str = "/v1/end";

/// Time for a home to answer. Several times the delay between data centres, so
/// that a lost packet fits in.
const HOME_ANSWER: Duration = Duration::from_millis(150);

/// Times that a home is asked or told before it is given up.
const TRIES: u32 = 3;

/// Pause before the next try. A home that has changed is known by then.
const PAUSE: Duration = Duration::from_millis(50);

/// A request of this agent that asks its key's home.
#[derive(Debug)]
pub struct Ask {
    /// The key.
    pub key: IdempotencyKey,
    /// What the request asks.
    pub fingerprint: Fingerprint,
    /// Random number of the attempt.
    pub attempt: u64,
    /// Times that a home was asked.
    pub tries: u32,
    /// Whoever waits.
    pub tx: oneshot::Sender<Asked>,
}

/// Answer to an [`Ask`].
#[derive(Debug)]
pub struct Asked {
    /// The home that answered; none if no home did.
    pub home: Option<UpstreamId>,
    /// Its answer; [`BeginReply::Indeterminate`] if no home answered.
    pub begin: BeginReply,
}

impl Asked {
    const UNANSWERED: Asked = Asked {
        home: None,
        begin: BeginReply::Indeterminate,
    };
}

/// A message to the task.
#[derive(Debug)]
pub enum KeysCommand {
    /// A new version is in force.
    View(Option<ServiceState>),
    /// The version in force was current when an exchange began that the
    /// control group has confirmed.
    Confirmed(Instant),
    /// A request of this agent asks its key's home.
    Ask(Ask),
    /// A request of this agent that a home has let run has ended.
    Report(EndRequest),
    /// A peer asks this agent as a home.
    Begin(BeginRequest, oneshot::Sender<BeginReply>),
    /// A peer tells this agent as a home.
    End(EndRequest),
}

/// Sends commands to the task.
///
/// The channel is unbounded, because the end of a request must be noted
/// whatever waits; each request sends a fixed number of commands.
#[derive(Debug, Clone)]
pub struct KeysHandle {
    tx: mpsc::UnboundedSender<KeysCommand>,
}

impl KeysHandle {
    /// Creates the handle and the task's end.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<KeysCommand>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (KeysHandle { tx }, rx)
    }

    /// Sends a command. Does nothing once the task has ended.
    pub fn send(&self, command: KeysCommand) {
        let _ = self.tx.send(command);
    }

    /// Asks the home of a key whether a request may run.
    pub async fn ask(&self, key: IdempotencyKey, fingerprint: Fingerprint, attempt: u64) -> Asked {
        let (tx, rx) = oneshot::channel();
        self.send(KeysCommand::Ask(Ask {
            key,
            fingerprint,
            attempt,
            tries: 0,
            tx,
        }));
        rx.await.unwrap_or(Asked::UNANSWERED)
    }

    /// Answers a peer that asks this agent as a home.
    pub async fn begin(&self, req: BeginRequest) -> BeginReply {
        let (tx, rx) = oneshot::channel();
        self.send(KeysCommand::Begin(req, tx));
        rx.await.unwrap_or(BeginReply::NotHome)
    }
}

/// The task that owns the results kept under idempotency keys.
pub struct KeysTask {
    own: UpstreamId,
    home: Home,
    service: Option<ServiceId>,
    /// Members of the service in the version in force.
    members: BTreeSet<UpstreamId>,
    /// Where the other members take requests.
    peers: BTreeMap<UpstreamId, SocketAddr>,
    http: Http,
    handle: KeysHandle,
    rx: mpsc::UnboundedReceiver<KeysCommand>,
}

impl KeysTask {
    /// Creates the task.
    #[must_use]
    pub fn new(
        settings: Settings,
        own: UpstreamId,
        http: Http,
        handle: KeysHandle,
        rx: mpsc::UnboundedReceiver<KeysCommand>,
    ) -> Self {
        KeysTask {
            own,
            home: Home::new(settings, own),
            service: None,
            members: BTreeSet::new(),
            peers: BTreeMap::new(),
            http,
            handle,
            rx,
        }
    }

    /// Runs until it is aborted.
    pub async fn run(mut self) {
        while let Some(command) = self.rx.recv().await {
            match command {
                KeysCommand::View(service) => self.apply(service),
                KeysCommand::Confirmed(began) => {
                    self.home.confirm_members(began, unix_now(), &self.members);
                }
                KeysCommand::Ask(ask) => self.ask(ask),
                KeysCommand::Report(req) => self.report(req),
                KeysCommand::Begin(req, tx) => {
                    // The peer may be gone; its record then waits for its end.
                    let _ = tx.send(self.begin(&req));
                }
                KeysCommand::End(req) if req.home == self.own => {
                    self.home.end(unix_now(), req.key, req.end);
                }
                KeysCommand::End(_) => {}
            }
        }
    }

    fn apply(&mut self, service: Option<ServiceState>) {
        self.service = service.as_ref().map(|state| state.service.id);
        let members = service.map(|state| state.members).unwrap_or_default();
        self.members = members.keys().copied().collect();
        self.peers = members
            .into_iter()
            .map(|(id, member)| (id, member.peer))
            .collect();
    }

    fn ask(&mut self, ask: Ask) {
        let (Some(service), Some(home)) = (self.service, home_of(ask.key, &self.members)) else {
            // Whoever waited may be gone.
            let _ = ask.tx.send(Asked::UNANSWERED);
            return;
        };
        let req = BeginRequest {
            service,
            home,
            key: ask.key,
            fingerprint: ask.fingerprint,
            from: AttemptId {
                upstream: self.own,
                attempt: ask.attempt,
            },
        };
        if home == self.own {
            let begin = self.begin(&req);
            return answer(&self.handle, ask, home, begin);
        }
        let Some(&address) = self.peers.get(&home) else {
            return answer(&self.handle, ask, home, BeginReply::NotHome);
        };
        let (http, handle) = (self.http.clone(), self.handle.clone());
        actix_rt::spawn(async move {
            let deadline = Instant::now() + HOME_ANSWER;
            let begin = http.post(address, BEGIN_PATH, &req, deadline).await;
            // A home that does not answer may have noted the attempt; asking
            // again as the same attempt is harmless.
            answer(&handle, ask, home, begin.unwrap_or(BeginReply::NotHome));
        });
    }

    fn begin(&mut self, req: &BeginRequest) -> BeginReply {
        if req.home != self.own || Some(req.service) != self.service {
            return BeginReply::NotHome;
        }
        let (now, date) = (Instant::now(), unix_now());
        self.home
            .begin(now, date, req.key, req.fingerprint, req.from)
    }

    fn report(&mut self, req: EndRequest) {
        if req.home == self.own {
            return self.home.end(unix_now(), req.key, req.end);
        }
        let Some(&address) = self.peers.get(&req.home) else {
            return;
        };
        let http = self.http.clone();
        actix_rt::spawn(async move {
            for _ in 0..TRIES {
                let deadline = Instant::now() + HOME_ANSWER;
                let told: client::Result<()> = http.post(address, END_PATH, &req, deadline).await;
                if told.is_ok() {
                    return;
                }
                sleep(PAUSE).await;
            }
            // The key stays in progress until this agent's lease ends.
            log::warn!(event = "end_not_reported", key:% = req.key; "the key's home does not answer");
        });
    }
}

/// Answers whoever waits, or asks again if no home has answered.
fn answer(handle: &KeysHandle, mut ask: Ask, home: UpstreamId, begin: BeginReply) {
    ask.tries += 1;
    // Whoever waits may be gone.
    if begin != BeginReply::NotHome {
        let home = Some(home);
        let _ = ask.tx.send(Asked { home, begin });
    } else if ask.tries >= TRIES {
        let _ = ask.tx.send(Asked::UNANSWERED);
    } else {
        let handle = handle.clone();
        actix_rt::spawn(async move {
            sleep(PAUSE).await;
            handle.send(KeysCommand::Ask(ask));
        });
    }
}

fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}
