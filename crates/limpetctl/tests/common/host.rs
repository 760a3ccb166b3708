//! A fake control host that applies changes to a real configuration state.

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
    ChangeReply, ClassReport, EvacuationReport, GroupChangeRequest, GroupRefusal, GroupReply,
    GroupReport, GroupRequest, Hello, HelloReply, KeysReport, NodeReport, Query, QueryReply,
    ServiceReport, StatusReport, UpstreamReport,
};

/// Fault of the answer to a request. All but the last two apply the request
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The connection is closed after the head of the answer.
    CutOff,
    /// A status of 500.
    Status,
    /// An answer that cannot be decoded.
    Garbage,
    /// No answer within any deadline of the tests.
    Late,
    /// The host answers that the outcome is unknown.
    Unknown,
    /// The host is not the leader.
    NotLeader,
    /// The host cannot accept changes.
    Unavailable,
}

/// What the host reports about a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Rollout {
    /// It is in force on every node.
    #[default]
    InForce,
    /// It is never in force on one node.
    Lagging,
    /// Nothing: the host answers that it is not the leader.
    Unconfirmed,
}

/// Settings of a fake control host.
#[derive(Debug, Clone, Default)]
pub struct Host {
    /// Fault of the answers to changes, and how many changes have it.
    pub change_fault: Option<(Fault, usize)>,
    /// Number of changes that are answered before those with a fault.
    pub changes_before_fault: usize,
    /// Leader that the host names with the fault `NotLeader`.
    pub named_leader: Option<SocketAddr>,
    /// Fault of the answers to group changes, and how many have it.
    pub group_fault: Option<(Fault, usize)>,
    /// Number of status reports that do not yet show a group change whose answer
    /// was lost.
    pub stale_status_reports: usize,
    /// What the host reports about a revision.
    pub rollout: Rollout,
    /// Whether learners never catch up.
    pub learners_never_catch_up: bool,
    /// Whether the host was part of a group.
    pub was_member: bool,
    /// Changes that are applied at the start.
    pub initial_changes: Vec<Change>,
}

struct HostState {
    host: Host,
    state: ConfigState,
    index: u64,
    voters: BTreeMap<MemberId, SocketAddr>,
    learners: BTreeMap<MemberId, SocketAddr>,
    /// The group before the last change, if its answer was lost.
    group_before_lost_change: Option<GroupReport>,
}

type SharedState = web::Data<RefCell<HostState>>;

impl Host {
    /// Starts the host; it runs until the test process ends.
    pub fn start(self) -> SocketAddr {
        self.start_at(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Starts the host on a socket that is already bound.
    pub fn start_at(self, listener: TcpListener) -> SocketAddr {
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                let server = HttpServer::new(move || {
                    // One worker, so there is one state.
                    App::new()
                        .app_data(web::Data::new(RefCell::new(HostState::new(self.clone()))))
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

impl HostState {
    fn new(host: Host) -> Self {
        let voter = |n: u64| (MemberId(n), format!("192.0.2.{n}:7100").parse().unwrap());
        let changes = host.initial_changes.clone();
        let mut host_state = HostState {
            host,
            state: ConfigState::default(),
            index: 0,
            voters: [1, 2, 3].map(voter).into(),
            learners: BTreeMap::new(),
            group_before_lost_change: None,
        };
        for change in changes {
            host_state.apply(&ChangeRequest {
                id: ChangeId::generate(),
                author: "bob".parse().unwrap(),
                base: host_state.state.revision(),
                change,
            });
        }
        host_state
    }

    fn apply(&mut self, req: &ChangeRequest) -> types::Answer {
        self.index += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let now = UnixMillis(u64::try_from(now.as_millis()).unwrap());
        self.state.apply(Revision(self.index), now, req)
    }

    fn next_change_fault(&mut self) -> Option<Fault> {
        if let Some(left) = self.host.changes_before_fault.checked_sub(1) {
            self.host.changes_before_fault = left;
            return None;
        }
        take_fault(&mut self.host.change_fault)
    }

    /// The group in the status report.
    fn reported_group(&mut self) -> GroupReport {
        match self.host.stale_status_reports.checked_sub(1) {
            Some(left) if self.group_before_lost_change.is_some() => {
                self.host.stale_status_reports = left;
                self.group_before_lost_change.clone().unwrap()
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
            Query::Evacuations => QueryReply::Evacuations(state.evacuations().clone()),
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
            Query::Lagging(_) => match self.host.rollout {
                Rollout::InForce => QueryReply::Lagging(Vec::new()),
                Rollout::Lagging => QueryReply::Lagging(vec![node("b2", 0)]),
                Rollout::Unconfirmed => QueryReply::NotLeader { leader: None },
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
            group: self.reported_group(),
            nodes: vec![
                node("b1", revision),
                node(
                    "b2",
                    if self.host.rollout == Rollout::Lagging {
                        0
                    } else {
                        revision
                    },
                ),
            ],
            services: self.state.services().values().map(service).collect(),
            evacuation: self.evacuation(),
        }
    }

    /// All upstreams are in data centre `sofia`, like the nodes.
    fn evacuation(&self) -> EvacuationReport {
        let evacuated: BTreeSet<_> = self.state.evacuated_data_centres().cloned().collect();
        let unserved = evacuated.iter().any(|name| name.as_str() == "sofia");
        let services = self.state.services().values().filter(|_| unserved);
        EvacuationReport {
            services_without_upstreams: services.map(|s| s.name.clone()).collect(),
            evacuated,
        }
    }

    fn report(&self) -> GroupReport {
        let learners = self
            .learners
            .keys()
            .filter(|_| !self.host.learners_never_catch_up);
        let caught_up: BTreeSet<_> = self.voters.keys().chain(learners).copied().collect();
        GroupReport {
            leader: MemberId(2),
            term: Term(2),
            voters: self.voters.clone(),
            learners: self.learners.clone(),
            caught_up,
        }
    }

    fn apply_group(&mut self, req: GroupRequest, lost: bool) -> GroupReply {
        self.group_before_lost_change = lost.then(|| self.report());
        self.change_group(req)
    }

    fn change_group(&mut self, req: GroupRequest) -> GroupReply {
        let refused = match req {
            GroupRequest::AddLearner(id, address) => {
                let member = self.voters.contains_key(&id);
                let exists = member || self.learners.insert(id, address).is_some();
                exists.then_some(GroupRefusal::AlreadyMember)
            }
            GroupRequest::Promote(id) => match self.learners.remove(&id) {
                Some(address) => {
                    self.voters.insert(id, address);
                    None
                }
                None => Some(GroupRefusal::NoSuchMember),
            },
            GroupRequest::Remove(id) => {
                let removed = self.voters.remove(&id).or(self.learners.remove(&id));
                removed.is_none().then_some(GroupRefusal::NoSuchMember)
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

/// The fault of this request, if one is left; counts it.
fn take_fault(faults: &mut Option<(Fault, usize)>) -> Option<Fault> {
    let (fault, left) = faults.as_mut()?;
    *left = left.checked_sub(1)?;
    Some(*fault)
}

fn reply(message: &impl Serialize) -> HttpResponse {
    HttpResponse::Ok().body(wire::encode(message).unwrap())
}

/// The answer to a request that was applied and whose answer is lost.
async fn faulty_answer(fault: Fault, unknown: HttpResponse) -> HttpResponse {
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

async fn change(host_state: SharedState, body: Bytes) -> HttpResponse {
    let fault = host_state.borrow_mut().next_change_fault();
    match fault {
        Some(Fault::NotLeader) => {
            let leader = host_state.borrow().host.named_leader;
            return reply(&ChangeReply::NotLeader { leader });
        }
        Some(Fault::Unavailable) => return reply(&ChangeReply::Unavailable),
        _ => {}
    }
    let answer = host_state.borrow_mut().apply(&wire::decode(&body).unwrap());
    match fault {
        Some(fault) => faulty_answer(fault, reply(&ChangeReply::Unknown)).await,
        None => reply(&ChangeReply::Final(answer)),
    }
}

async fn group(host_state: SharedState, body: Bytes) -> HttpResponse {
    let fault = take_fault(&mut host_state.borrow_mut().host.group_fault);
    if let Some(Fault::NotLeader | Fault::Unavailable) = fault {
        return reply(&GroupReply::NotLeader { leader: None });
    }
    let req: GroupChangeRequest = wire::decode(&body).unwrap();
    let answer = host_state
        .borrow_mut()
        .apply_group(req.change, fault.is_some());
    match fault {
        Some(fault) => faulty_answer(fault, reply(&GroupReply::Unknown)).await,
        None => reply(&answer),
    }
}

async fn query(host_state: SharedState, body: Bytes) -> HttpResponse {
    reply(&host_state.borrow_mut().query(wire::decode(&body).unwrap()))
}

async fn hello(host_state: SharedState, body: Bytes) -> HttpResponse {
    let Hello = wire::decode(&body).unwrap();
    reply(&HelloReply {
        id: MemberId(4),
        blank: !host_state.borrow().host.was_member,
    })
}
