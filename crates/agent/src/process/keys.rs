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
const HOME_REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Times that a home is asked or told before it is given up.
const MAX_HOME_ATTEMPTS: u32 = 3;

/// Pause before the next try. A home that has changed is known by then.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request of this agent that asks its key's home.
#[derive(Debug)]
pub struct HomeQuery {
    /// The key.
    pub key: IdempotencyKey,
    /// What the request asks.
    pub fingerprint: Fingerprint,
    /// Random number of the attempt.
    pub attempt: u64,
    /// Times that a home was asked.
    pub query_count: u32,
    /// Whoever waits.
    pub tx: oneshot::Sender<HomeReply>,
}

/// Answer to an [`Ask`].
#[derive(Debug)]
pub struct HomeReply {
    /// The home that answered; none if no home did.
    pub home: Option<UpstreamId>,
    /// Its answer; [`BeginReply::Indeterminate`] if no home answered.
    pub begin: BeginReply,
}

impl HomeReply {
    const NO_ANSWER: HomeReply = HomeReply {
        home: None,
        begin: BeginReply::Indeterminate,
    };
}

/// A message to the task.
#[derive(Debug)]
pub enum IdempotencyCommand {
    /// A new version is in force.
    Configure(Option<ServiceState>),
    /// The version in force was current when an exchange began that the
    /// control group has confirmed.
    VersionConfirmed(Instant),
    /// A request of this agent asks its key's home.
    QueryHome(HomeQuery),
    /// A request of this agent that a home has let run has ended.
    ReportEnd(EndRequest),
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
pub struct IdempotencyHandle {
    tx: mpsc::UnboundedSender<IdempotencyCommand>,
}

impl IdempotencyHandle {
    /// Creates the handle and the task's end.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<IdempotencyCommand>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (IdempotencyHandle { tx }, rx)
    }

    /// Sends a command. Does nothing once the task has ended.
    pub fn send(&self, command: IdempotencyCommand) {
        let _ = self.tx.send(command);
    }

    /// Asks the home of a key whether a request may run.
    pub async fn query_home(
        &self,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        attempt: u64,
    ) -> HomeReply {
        let (tx, rx) = oneshot::channel();
        self.send(IdempotencyCommand::QueryHome(HomeQuery {
            key,
            fingerprint,
            attempt,
            query_count: 0,
            tx,
        }));
        rx.await.unwrap_or(HomeReply::NO_ANSWER)
    }

    /// Answers a peer that asks this agent as a home.
    pub async fn begin(&self, req: BeginRequest) -> BeginReply {
        let (tx, rx) = oneshot::channel();
        self.send(IdempotencyCommand::Begin(req, tx));
        rx.await.unwrap_or(BeginReply::NotHome)
    }
}

/// The task that owns the results kept under idempotency keys.
pub struct IdempotencyTask {
    own_id: UpstreamId,
    home: Home,
    service: Option<ServiceId>,
    /// Members of the service in the version in force.
    members: BTreeSet<UpstreamId>,
    /// Where the other members take requests.
    peers: BTreeMap<UpstreamId, SocketAddr>,
    http: Http,
    handle: IdempotencyHandle,
    rx: mpsc::UnboundedReceiver<IdempotencyCommand>,
}

impl IdempotencyTask {
    /// Creates the task.
    #[must_use]
    pub fn new(
        settings: Settings,
        own_id: UpstreamId,
        http: Http,
        handle: IdempotencyHandle,
        rx: mpsc::UnboundedReceiver<IdempotencyCommand>,
    ) -> Self {
        IdempotencyTask {
            own_id,
            home: Home::new(settings, own_id),
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
                IdempotencyCommand::Configure(service) => self.apply(service),
                IdempotencyCommand::VersionConfirmed(started_at) => {
                    self.home
                        .confirm_members(started_at, unix_now(), &self.members);
                }
                IdempotencyCommand::QueryHome(query) => self.query_home(query),
                IdempotencyCommand::ReportEnd(req) => self.report_end(req),
                IdempotencyCommand::Begin(req, tx) => {
                    // The peer may be gone; its record then waits for its end.
                    let _ = tx.send(self.begin(&req));
                }
                IdempotencyCommand::End(req) if req.home == self.own_id => {
                    self.home.end(unix_now(), req.key, req.end);
                }
                IdempotencyCommand::End(_) => {}
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

    fn query_home(&mut self, query: HomeQuery) {
        let (Some(service), Some(home)) = (self.service, home_of(query.key, &self.members)) else {
            // Whoever waited may be gone.
            let _ = query.tx.send(HomeReply::NO_ANSWER);
            return;
        };
        let req = BeginRequest {
            service,
            home,
            key: query.key,
            fingerprint: query.fingerprint,
            from: AttemptId {
                upstream: self.own_id,
                attempt: query.attempt,
            },
        };
        if home == self.own_id {
            let begin = self.begin(&req);
            return resolve_query(&self.handle, query, home, begin);
        }
        let Some(&address) = self.peers.get(&home) else {
            return resolve_query(&self.handle, query, home, BeginReply::NotHome);
        };
        let (http, handle) = (self.http.clone(), self.handle.clone());
        actix_rt::spawn(async move {
            let deadline = Instant::now() + HOME_REPLY_TIMEOUT;
            let begin = http.post(address, BEGIN_PATH, &req, deadline).await;
            // A home that does not answer may have noted the attempt; asking
            // again as the same attempt is harmless.
            resolve_query(&handle, query, home, begin.unwrap_or(BeginReply::NotHome));
        });
    }

    fn begin(&mut self, req: &BeginRequest) -> BeginReply {
        if req.home != self.own_id || Some(req.service) != self.service {
            return BeginReply::NotHome;
        }
        let (now, date) = (Instant::now(), unix_now());
        self.home
            .begin(now, date, req.key, req.fingerprint, req.from)
    }

    fn report_end(&mut self, req: EndRequest) {
        if req.home == self.own_id {
            return self.home.end(unix_now(), req.key, req.end);
        }
        let Some(&address) = self.peers.get(&req.home) else {
            return;
        };
        let http = self.http.clone();
        actix_rt::spawn(async move {
            for _ in 0..MAX_HOME_ATTEMPTS {
                let deadline = Instant::now() + HOME_REPLY_TIMEOUT;
                let result: client::Result<()> = http.post(address, END_PATH, &req, deadline).await;
                if result.is_ok() {
                    return;
                }
                sleep(RETRY_DELAY).await;
            }
            // The key stays in progress until this agent's lease ends.
            log::warn!(event = "end_not_reported", key:% = req.key; "the key's home does not answer");
        });
    }
}

/// Answers whoever waits, or asks again if no home has answered.
fn resolve_query(
    handle: &IdempotencyHandle,
    mut query: HomeQuery,
    home: UpstreamId,
    begin: BeginReply,
) {
    query.query_count += 1;
    // Whoever waits may be gone.
    if begin != BeginReply::NotHome {
        let home = Some(home);
        let _ = query.tx.send(HomeReply { home, begin });
    } else if query.query_count >= MAX_HOME_ATTEMPTS {
        let _ = query.tx.send(HomeReply::NO_ANSWER);
    } else {
        let handle = handle.clone();
        actix_rt::spawn(async move {
            sleep(RETRY_DELAY).await;
            handle.send(IdempotencyCommand::QueryHome(query));
        });
    }
}

fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}
