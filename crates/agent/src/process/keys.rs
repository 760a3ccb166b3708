//! The task that stores responses by idempotency key.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use actix_rt::time::sleep;
use client::HttpClient;
use dedup::{AttemptId, BeginReply, Fingerprint, Home, IdempotencyKey, Settings, home_of};
use tokio::sync::{mpsc, oneshot};
use types::{ServiceId, ServiceState, UnixMillis, UpstreamId};
use wire::request::{BeginRequest, EndRequest};

/// Path of the request to a key's home for permission to run a request.
pub const BEGIN_PATH: &str = "/v1/begin";

/// Path on which the outcome of a request is reported to the key's home.
pub const END_PATH: &str = "/v1/end";

/// Timeout for a reply of a home. It is several times the delay between data
/// centres, which allows for one retransmission.
const HOME_REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Limit of attempts to query a home or to report an outcome to it.
const MAX_HOME_ATTEMPTS: u32 = 3;

/// Delay before the next attempt. A change of the home is known by then.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A query to the home of a key, whether a request may run.
#[derive(Debug)]
pub struct HomeQuery {
    /// The key.
    pub key: IdempotencyKey,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Random number of the attempt.
    pub attempt: u64,
    /// Number of queries that were sent so far.
    pub query_count: u32,
    /// Channel for the reply.
    pub tx: oneshot::Sender<HomeReply>,
}

/// Reply to a [`HomeQuery`].
#[derive(Debug)]
pub struct HomeReply {
    /// The home that replied; `None` if no home did.
    pub home: Option<UpstreamId>,
    /// Its reply; [`BeginReply::Indeterminate`] if no home replied.
    pub begin: BeginReply,
}

impl HomeReply {
    const NO_ANSWER: HomeReply = HomeReply {
        home: None,
        begin: BeginReply::Indeterminate,
    };
}

/// A command to the idempotency task.
#[derive(Debug)]
pub enum IdempotencyCommand {
    /// A new version is in force.
    Configure(Option<ServiceState>),
    /// The control group confirmed that the version in force was current when a
    /// sync started at this instant.
    VersionConfirmed(Instant),
    /// Queries the home of a key for a request of this agent.
    QueryHome(HomeQuery),
    /// Reports the outcome of a request of this agent to the key's home.
    ReportEnd(EndRequest),
    /// A peer queries this agent as the home of a key.
    Begin(BeginRequest, oneshot::Sender<BeginReply>),
    /// A peer reports an outcome to this agent as the home of a key.
    End(EndRequest),
}

/// Sends commands to the idempotency task.
///
/// The channel is unbounded, because the outcome of a request must be recorded
/// even if the queue is long; each request sends a fixed number of commands.
#[derive(Debug, Clone)]
pub struct IdempotencyHandle {
    tx: mpsc::UnboundedSender<IdempotencyCommand>,
}

impl IdempotencyHandle {
    /// Creates a handle and the receiver of the task.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<IdempotencyCommand>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (IdempotencyHandle { tx }, rx)
    }

    /// Sends a command. Does nothing once the task has ended.
    pub fn send(&self, command: IdempotencyCommand) {
        let _ = self.tx.send(command);
    }

    /// Queries the home of a key whether a request may run.
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

    /// Handles the query of a peer to this agent as the home of a key.
    pub async fn begin(&self, req: BeginRequest) -> BeginReply {
        let (tx, rx) = oneshot::channel();
        self.send(IdempotencyCommand::Begin(req, tx));
        rx.await.unwrap_or(BeginReply::NotHome)
    }
}

/// Stores responses by idempotency key, and queries the homes of keys.
pub struct IdempotencyTask {
    own_id: UpstreamId,
    home: Home,
    service: Option<ServiceId>,
    /// Members of the service in the version in force.
    members: BTreeSet<UpstreamId>,
    /// Addresses on which the members accept requests of peers.
    peers: BTreeMap<UpstreamId, SocketAddr>,
    http: HttpClient,
    handle: IdempotencyHandle,
    rx: mpsc::UnboundedReceiver<IdempotencyCommand>,
}

impl IdempotencyTask {
    /// Creates the task.
    #[must_use]
    pub fn new(
        settings: Settings,
        own_id: UpstreamId,
        http: HttpClient,
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
                    // If the peer is gone, its record waits for the outcome report.
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
            .map(|(id, member)| (id, member.peer_address))
            .collect();
    }

    fn query_home(&mut self, query: HomeQuery) {
        let (Some(service), Some(home)) = (self.service, home_of(query.key, &self.members)) else {
            // The request may have been cancelled.
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
            // A home that does not reply may have recorded the attempt. Querying
            // again with the same attempt id is idempotent.
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
            log::warn!(event = "end_not_reported", key:% = req.key; "the outcome was not reported: the key's home does not reply");
        });
    }
}

/// Sends the reply to the request, or repeats the query if the home did not
/// reply.
fn resolve_query(
    handle: &IdempotencyHandle,
    mut query: HomeQuery,
    home: UpstreamId,
    begin: BeginReply,
) {
    query.query_count += 1;
    // The request may have been cancelled.
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
