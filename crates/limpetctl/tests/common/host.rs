//! A stand-in control host that keeps a real configuration.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use actix_web::{App, HttpResponse, HttpServer, web};
use bytes::Bytes;
use config::ConfigState;
use serde::Serialize;
use types::{
    Change, ChangeId, ChangeRequest, ClassName, MemberId, Revision, Role, Slots, Term, UnixMillis,
    UpstreamId, UpstreamState, Version,
};
use wire::request::{
    ChangeReply, ClassReport, GroupChangeRequest, GroupRefusal, GroupReply, GroupReport,
    GroupRequest, Hello, HelloReply, KeysReport, NodeReport, Query, QueryReply, ServiceReport,
    StatusReport, UpstreamReport,
};

/// What goes wrong with a request. All but the last two take it first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The answer breaks off after its head.
    CutOff,
    /// A status of 500.
    Status,
    /// An answer that is no message.
    Garbage,
    /// No answer within any deadline of the tests.
    Late,
    /// The host says that it does not know.
    Unknown,
    /// The host is not the leader.
    NotLeader,
    /// The host cannot take changes.
    Unavailable,
}

/// What a host says of a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Spread {
    /// It is in force on every node.
    #[default]
    InForce,
    /// A node never gets it.
    Lagging,
    /// Nothing: the host is not the leader for this query.
    NotSaid,
}

/// A control host.
#[derive(Debug, Clone, Default)]
pub struct Host {
    /// Fault of the first changes, and how many have it.
    pub change: Option<(Fault, usize)>,
    /// Changes that are answered before those with a fault.
    pub answered: usize,
    /// Leader that the host names when it is not the leader itself.
    pub leader: Option<SocketAddr>,
    /// Fault of the first group changes, and how many have it.
    pub group: Option<(Fault, usize)>,
    /// Reports of the status that do not show a lost group change yet.
    pub hidden: usize,
    /// What the host says of a revision.
    pub spread: Spread,
    /// Whether learners never catch up.
    pub slow_learners: bool,
    /// Whether the host was part of a group.
    pub used: bool,
    /// Changes that were made before.
    pub made: Vec<Change>,
}

struct Running {
    host: Host,
    state: ConfigState,
    index: u64,
    voters: BTreeMap<MemberId, SocketAddr>,
    learners: BTreeMap<MemberId, SocketAddr>,
    /// The group before a change whose answer was lost.
    before: Option<GroupReport>,
}

type Shared = web::Data<RefCell<Running>>;

impl Host {
    /// Starts the host; it ends with the test's process.
    pub fn start(self) -> SocketAddr {
        self.start_at(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Starts the host on a socket whose address was needed before.
    pub fn start_at(self, listener: TcpListener) -> SocketAddr {
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                let server = HttpServer::new(move || {
                    // One worker, so there is one of these.
                    App::new()
                        .app_data(web::Data::new(RefCell::new(Running::new(self.clone()))))
                        .route("/v1/change", web::post().to(change))
                        .route("/v1/query", web::post().to(query))
                        .route("/v1/group", web::post().to(group))
                        .route("/v1/hello", web::post().to(hello))
                });
                let server = server.workers(1).disable_signals();
                server.listen(listener).unwrap().run().await.unwrap();
            });
        });
        address
    }
}

impl Running {
    fn new(host: Host) -> Self {
        let voter = |n: u64| (MemberId(n), format!("192.0.2.{n}:7100").parse().unwrap());
        let made = host.made.clone();
        let mut running = Running {
            host,
            state: ConfigState::default(),
            index: 0,
            voters: [1, 2, 3].map(voter).into(),
            learners: BTreeMap::new(),
            before: None,
        };
        for change in made {
            running.apply(&ChangeRequest {
                id: ChangeId::generate(),
                author: "bob".parse().unwrap(),
                base: running.state.revision(),
                change,
            });
        }
        running
    }

    fn apply(&mut self, req: &ChangeRequest) -> types::Answer {
        self.index += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let now = UnixMillis(u64::try_from(now.as_millis()).unwrap());
        self.state.apply(Revision(self.index), now, req)
    }

    fn change_fault(&mut self) -> Option<Fault> {
        if let Some(left) = self.host.answered.checked_sub(1) {
            self.host.answered = left;
            return None;
        }
        take(&mut self.host.change)
    }

    /// The group as the status shows it.
    fn shown(&mut self) -> GroupReport {
        match self.host.hidden.checked_sub(1) {
            Some(left) if self.before.is_some() => {
                self.host.hidden = left;
                self.before.clone().unwrap()
            }
            _ => self.report(),
        }
    }

    fn query(&mut self, query: Query) -> QueryReply {
        let state = &self.state;
        match query {
            Query::Services => QueryReply::Services(state.services().values().cloned().collect()),
            Query::Service(name) => QueryReply::Service(state.service(&name).cloned()),
            Query::Drain(host) => QueryReply::Drain(state.drains().get(&host).cloned()),
            Query::Keys => QueryReply::Keys(state.keys().map(|keys| KeysReport {
                current: keys.set.current.generation,
                pending: keys.pending().map(|key| key.generation),
                revision: keys.revision,
            })),
            Query::Audit { limit } => {
                QueryReply::Audit(state.audit().rev().take(limit).cloned().collect())
            }
            Query::Routes => QueryReply::Routes(state.routes().cloned()),
            Query::Status => QueryReply::Status(Box::new(self.status())),
            Query::Lagging(_) => match self.host.spread {
                Spread::InForce => QueryReply::Lagging(Vec::new()),
                Spread::Lagging => QueryReply::Lagging(vec![node("b2", 0)]),
                Spread::NotSaid => QueryReply::NotLeader { leader: None },
            },
        }
    }

    fn status(&mut self) -> StatusReport {
        let revision = self.state.revision().0;
        let upstream = |id, state, share| UpstreamReport {
            id: UpstreamId(id),
            host: format!("booking-{id}").parse().unwrap(),
            state,
            share: types::Share(share),
        };
        let class = ClassReport {
            carry: Slots(14),
            slots: Slots(13),
            in_flight: Slots(11),
            queued: Slots(2),
        };
        let service = |service: &types::Service| ServiceReport {
            name: service.name.clone(),
            classes: [(ClassName::default(), class)].into(),
            upstreams: vec![
                upstream(1, UpstreamState::Ready, 1024),
                upstream(2, UpstreamState::Ready, 128),
                upstream(3, UpstreamState::Leaving, 0),
            ],
            leaving_connections: 17,
        };
        StatusReport {
            version: version(revision),
            group: self.shown(),
            nodes: vec![
                node("b1", revision),
                node(
                    "b2",
                    if self.host.spread == Spread::Lagging {
                        0
                    } else {
                        revision
                    },
                ),
            ],
            services: self.state.services().values().map(service).collect(),
        }
    }

    fn report(&self) -> GroupReport {
        let learners = self.learners.keys().filter(|_| !self.host.slow_learners);
        let caught_up: BTreeSet<_> = self.voters.keys().chain(learners).copied().collect();
        GroupReport {
            leader: MemberId(2),
            term: Term(2),
            voters: self.voters.clone(),
            learners: self.learners.clone(),
            caught_up,
        }
    }

    fn take_group(&mut self, req: GroupRequest, lost: bool) -> GroupReply {
        self.before = lost.then(|| self.report());
        self.change_group(req)
    }

    fn change_group(&mut self, req: GroupRequest) -> GroupReply {
        let refused = match req {
            GroupRequest::AddLearner(id, address) => {
                let member = self.voters.contains_key(&id);
                let taken = member || self.learners.insert(id, address).is_some();
                taken.then_some(GroupRefusal::AlreadyMember)
            }
            GroupRequest::Promote(id) => match self.learners.remove(&id) {
                Some(address) => {
                    self.voters.insert(id, address);
                    None
                }
                None => Some(GroupRefusal::NoSuchMember),
            },
            GroupRequest::Remove(id) => {
                let gone = self.voters.remove(&id).or(self.learners.remove(&id));
                gone.is_none().then_some(GroupRefusal::NoSuchMember)
            }
        };
        refused.map_or(GroupReply::Done, GroupReply::Refused)
    }
}

fn version(revision: u64) -> Version {
    Version {
        revision: Revision(revision),
        epoch: Term(2),
        seq: 9,
    }
}

fn node(host: &str, revision: u64) -> NodeReport {
    NodeReport {
        role: Role::Balancer,
        host: host.parse().unwrap(),
        data_centre: "sofia".parse().unwrap(),
        version: (revision > 0).then(|| version(revision)),
        silent_for: Duration::from_millis(40),
    }
}

/// Takes one of the faults that are left.
fn take(faults: &mut Option<(Fault, usize)>) -> Option<Fault> {
    let (fault, left) = faults.as_mut()?;
    *left = left.checked_sub(1)?;
    Some(*fault)
}

fn reply(message: &impl Serialize) -> HttpResponse {
    HttpResponse::Ok().body(wire::encode(message).unwrap())
}

/// The answer to a request that was taken and whose answer gets lost.
async fn lost(fault: Fault, unknown: HttpResponse) -> HttpResponse {
    match fault {
        Fault::CutOff => {
            let part: Result<Bytes, std::io::Error> = Err(std::io::ErrorKind::Other.into());
            HttpResponse::Ok().streaming(futures_util::stream::iter([part]))
        }
        Fault::Status => HttpResponse::InternalServerError().finish(),
        Fault::Garbage => HttpResponse::Ok().body("garbage"),
        Fault::Late => {
            actix_web::rt::time::sleep(Duration::from_mins(1)).await;
            HttpResponse::Ok().finish()
        }
        _ => unknown,
    }
}

async fn change(running: Shared, body: Bytes) -> HttpResponse {
    let fault = running.borrow_mut().change_fault();
    match fault {
        Some(Fault::NotLeader) => {
            let leader = running.borrow().host.leader;
            return reply(&ChangeReply::NotLeader { leader });
        }
        Some(Fault::Unavailable) => return reply(&ChangeReply::Unavailable),
        _ => {}
    }
    let answer = running.borrow_mut().apply(&wire::decode(&body).unwrap());
    match fault {
        Some(fault) => lost(fault, reply(&ChangeReply::Unknown)).await,
        None => reply(&ChangeReply::Final(answer)),
    }
}

async fn group(running: Shared, body: Bytes) -> HttpResponse {
    let fault = take(&mut running.borrow_mut().host.group);
    if let Some(Fault::NotLeader | Fault::Unavailable) = fault {
        return reply(&GroupReply::NotLeader { leader: None });
    }
    let req: GroupChangeRequest = wire::decode(&body).unwrap();
    let answer = running.borrow_mut().take_group(req.change, fault.is_some());
    match fault {
        Some(fault) => lost(fault, reply(&GroupReply::Unknown)).await,
        None => reply(&answer),
    }
}

async fn query(running: Shared, body: Bytes) -> HttpResponse {
    reply(&running.borrow_mut().query(wire::decode(&body).unwrap()))
}

async fn hello(running: Shared, body: Bytes) -> HttpResponse {
    let Hello = wire::decode(&body).unwrap();
    reply(&HelloReply {
        id: MemberId(4),
        blank: !running.borrow().host.used,
    })
}
