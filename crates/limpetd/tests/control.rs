//! The control group as real processes: concurrent changes, crashed and paused
//! hosts, and lost data folders.

mod harness;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use client::{HttpClient, NodeAnnouncement, OperatorClient, SyncEvent, SyncSettings, SyncTask};
use config::ChangeSummary;
use harness::{
    SERVICE, Site, SitePlan, WAIT_TIMEOUT, accepted_revision, control_address, wait_for,
};
use nix::sys::signal::Signal;
use tokio::sync::{mpsc, watch};
use types::{
    Answer, Change, ChangeId, ChangeRequest, HostName, Revision, Role, ServiceId, ServiceState,
    Version,
};
use wire::{
    ServiceSubset, SyncReply, SyncRequest,
    request::{
        ChangeReply, GroupChangeRequest, GroupRefusal, GroupReply, GroupRequest, Hello, HelloReply,
        Query, QueryReply,
    },
};

/// Time for which a minority must accept no change; long enough for several
/// elections.
const MINORITY_TIMEOUT: Duration = Duration::from_secs(3);

/// A site that has only control hosts.
fn control_only(range: u8, control: u8) -> SitePlan {
    SitePlan {
        range,
        control,
        balancers: 0,
        upstreams: 0,
        ..SitePlan::default()
    }
}

fn drain(host: &str, drain: bool) -> Change {
    Change::SetDrain {
        host: host.parse().unwrap(),
        drain,
    }
}

fn request(author: &str, base: Revision, change: Change) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId::generate(),
        author: author.parse().unwrap(),
        base,
        change,
    }
}

fn deadline_in_millis(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

async fn query(site: &Site, query: Query) -> QueryReply {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let reply = site.operator.query("/v1/query", &query, deadline);
    reply.await.unwrap()
}

async fn drain_revision(site: &Site, host: HostName) -> Option<Revision> {
    match query(site, Query::Drain(host)).await {
        QueryReply::Drain(mark) => mark.map(|mark| mark.revision),
        other => panic!("unexpected {other:?}"),
    }
}

/// Number of the control host that is the leader.
async fn leader(site: &Site) -> u8 {
    let group = site.status().await.group;
    let address = group.voters[&group.leader];
    let mut numbers = 0..site.plan.control;
    numbers
        .find(|n| control_address(site.plan, *n) == address)
        .unwrap()
}

/// Waits until a change is accepted.
async fn change_until_accepted(site: &Site, change: Change) -> Revision {
    accepted_revision(&site.change(Revision(0), change).await)
}

/// Applied versions, each with the services after it.
type Applied = Vec<(Version, BTreeMap<ServiceId, ServiceState>)>;

/// A node that records each version that it applies.
struct Subscriber {
    applied: Rc<RefCell<Applied>>,
}

impl Subscriber {
    fn start(plan: SitePlan, host: &str) -> Self {
        let control = (0..plan.control).map(|n| control_address(plan, n));
        let cfg = SyncSettings::new(
            host.parse().unwrap(),
            Role::Balancer,
            "dc0".parse().unwrap(),
            control.collect(),
        );
        let (report, reports) = watch::channel(NodeAnnouncement::default());
        let (tx, mut rx) = mpsc::channel(4);
        actix_rt::spawn(SyncTask::new(cfg, HttpClient::default(), reports, tx).run());
        let applied = Rc::new(RefCell::new(Vec::new()));
        let record = applied.clone();
        actix_rt::spawn(async move {
            // Keeps the sender, so that the sync task does not end.
            let _report = report;
            let mut services = BTreeMap::new();
            while let Some(step) = rx.recv().await {
                let SyncEvent::Update(update, done) = step else {
                    continue;
                };
                if update.is_snapshot {
                    services.clear();
                }
                services.retain(|id, _| !update.removed_services.contains(id));
                services.extend(update.services.into_iter().map(|s| (s.service.id, s)));
                record.borrow_mut().push((update.version, services.clone()));
                let _ = done.send(());
            }
        });
        Subscriber { applied }
    }

    fn version(&self) -> Option<Version> {
        self.applied.borrow().last().map(|(version, _)| *version)
    }

    async fn wait_for_revision(&self, revision: Revision) {
        wait_for("revision at the node", async || {
            self.version().is_some_and(|v| v.revision >= revision)
        })
        .await;
    }

    fn assert_versions_never_decrease(&self) {
        let applied = self.applied.borrow();
        for pair in applied.windows(2) {
            assert!(!pair[1].0.is_behind(&pair[0].0), "{pair:?}");
        }
    }
}

/// Guards against two concurrent changes on the same base that are both accepted
/// or both rejected, and against a conflict that names the wrong winner.
#[actix_rt::test]
async fn exactly_one_of_two_concurrent_changes_is_accepted() {
    let site = Site::start(control_only(20, 3)).await;
    let mut hosts: Vec<SocketAddr> = (0..3).map(|n| control_address(site.plan, n)).collect();
    let mira = OperatorClient::new(HttpClient::default(), hosts.clone());
    hosts.reverse();
    let ivo = OperatorClient::new(HttpClient::default(), hosts);
    let mut base = change_until_accepted(&site, drain("app-1", true)).await;
    for round in 0..20 {
        let change = drain("app-1", round % 2 == 0);
        let first = request("mira", base, change.clone());
        let second = request("ivo", base, change);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let (first, second) =
            tokio::join!(mira.change(&first, deadline), ivo.change(&second, deadline));
        let (winner, revision, loser) = match (first, second) {
            (ChangeReply::Final(Answer::Accepted(r)), loser) => ("mira", r, loser),
            (loser, ChangeReply::Final(Answer::Accepted(r))) => ("ivo", r, loser),
            other => panic!("expected one accepted change in round {round}, got {other:?}"),
        };
        let ChangeReply::Final(Answer::Conflict(conflict)) = loser else {
            panic!("expected a conflict in round {round}, got {loser:?}");
        };
        assert_eq!(conflict.winner, revision);
        assert_eq!(conflict.author.to_string(), winner);
        base = revision;
    }
}

/// Sends changes to one host, each of them once, until the host gives no final
/// answer.
async fn send_until_no_answer(
    http: HttpClient,
    host: SocketAddr,
    name: u32,
) -> Vec<(ChangeRequest, ChangeReply)> {
    let mut sent = Vec::new();
    for n in 0.. {
        let req = request("mira", Revision(0), drain(&format!("app-{name}-{n}"), true));
        let reply: client::Result<ChangeReply> = http
            .post(host, "/v1/change", &req, deadline_in_millis(3000))
            .await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(e) if e.category() == client::Category::NotSent => return sent,
            Err(_) => ChangeReply::Unknown,
        };
        let ended = !matches!(reply, ChangeReply::Final(_));
        sent.push((req, reply));
        if ended {
            return sent;
        }
    }
    sent
}

/// Guards against accepted changes that are lost when the leader crashes, and
/// against a change of unknown outcome that is applied twice or gets two
/// different answers.
#[actix_rt::test]
async fn accepted_changes_survive_a_leader_crash() {
    let mut site = Site::start(control_only(21, 3)).await;
    change_until_accepted(&site, drain("app-1", true)).await;
    let first = leader(&site).await;
    let host = control_address(site.plan, first);
    let tasks: Vec<_> = (0..8)
        .map(|name| actix_rt::spawn(send_until_no_answer(HttpClient::default(), host, name)))
        .collect();
    sleep(Duration::from_millis(200)).await;
    site.control[usize::from(first)].kill();
    let mut sent = Vec::new();
    for task in tasks {
        sent.extend(task.await.unwrap());
    }
    let known = |reply: &ChangeReply| matches!(reply, ChangeReply::Final(_));
    let unknown = sent.iter().filter(|(_, reply)| !known(reply)).count();
    let answered = sent.len() - unknown;
    assert!(
        answered > 20 && unknown > 0,
        "{answered} changes answered, {unknown} of unknown outcome"
    );

    let QueryReply::Audit(records) = query(&site, Query::Audit { limit: 10_000 }).await else {
        panic!("no audit trail");
    };
    let recorded: BTreeMap<_, _> = records.into_iter().map(|r| (r.id, r.answer)).collect();
    for (req, reply) in &sent {
        if let ChangeReply::Final(answer) = reply {
            assert_eq!(recorded.get(&req.id), Some(answer));
            continue;
        }
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let again = site.operator.change(req, deadline).await;
        let revision = accepted_revision(&again);
        assert_eq!(site.operator.change(req, deadline).await, again);
        let Change::SetDrain { host, .. } = &req.change else {
            unreachable!("only drain marks were sent");
        };
        assert_eq!(drain_revision(&site, host.clone()).await, Some(revision));
    }
}

/// Guards against configuration, answers or audit records that are lost when all
/// control hosts crash, because they are only in memory.
#[actix_rt::test]
async fn configuration_and_answers_survive_a_crash_of_all_hosts() {
    let mut site = Site::start(control_only(22, 3)).await;
    site.create_service().await;
    // The leader itself adds the first key, which also adds an audit record.
    wait_for("first key", async || {
        matches!(query(&site, Query::Keys).await, QueryReply::Keys(Some(_)))
    })
    .await;
    let mut sent = Vec::new();
    for n in 0..30 {
        // Every third change conflicts with the one before.
        let host = format!("app-{}", n - n % 3 / 2);
        let req = request("mira", Revision(0), drain(&host, true));
        let reply = site
            .operator
            .change(&req, Instant::now() + WAIT_TIMEOUT)
            .await;
        sent.push((req, reply));
    }
    let conflict = |reply: &ChangeReply| matches!(reply, ChangeReply::Final(Answer::Conflict(_)));
    assert_eq!(sent.iter().filter(|(_, r)| conflict(r)).count(), 10);
    let services = query(&site, Query::Services).await;
    let audit = query(&site, Query::Audit { limit: 100 }).await;

    for process in &mut site.control {
        process.kill();
    }
    for n in 0..3 {
        site.control[usize::from(n)] = site.start_control(n);
    }
    assert_eq!(query(&site, Query::Services).await, services);
    assert_eq!(query(&site, Query::Audit { limit: 100 }).await, audit);
    for (req, reply) in sent {
        let again = site
            .operator
            .change(&req, Instant::now() + WAIT_TIMEOUT)
            .await;
        assert_eq!(again, reply);
    }
}

fn sync_request(host: &str, have: Option<Version>) -> SyncRequest {
    SyncRequest {
        host: host.parse().unwrap(),
        role: Role::Balancer,
        data_centre: "dc0".parse().unwrap(),
        applied_version: have,
        subset: ServiceSubset::All,
        max_wait: Duration::from_millis(200),
        upstream: None,
        balancer: None,
    }
}

/// Guards against a leader that is resumed after the group has elected another
/// one, and answers with stale state or accepts a change.
#[actix_rt::test]
async fn a_leader_that_wakes_answers_nobody() {
    let site = Site::start(control_only(23, 3)).await;
    let before = change_until_accepted(&site, drain("app-1", true)).await;
    let node = Subscriber::start(site.plan, "lb-1");
    node.wait_for_revision(before).await;
    let paused = leader(&site).await;
    let host = control_address(site.plan, paused);
    let http = HttpClient::default();
    let others = (0..3).map(|n| control_address(site.plan, n));
    let others = others.filter(|other| *other != host).collect();
    let others = OperatorClient::new(http.clone(), others);
    let paused = &site.control[usize::from(paused)];
    paused.signal(Signal::SIGSTOP);

    // These requests wait in the socket until the leader is resumed.
    let (req, have) = (request("ivo", Revision(0), drain("app-2", true)), None);
    let sync = sync_request("lb-2", have);
    let queued_requests = async {
        let deadline = deadline_in_millis(15_000);
        tokio::join!(
            http.post::<_, SyncReply>(host, "/v1/sync", &sync, deadline),
            http.post::<_, QueryReply>(host, "/v1/query", &Query::Services, deadline),
            http.post::<_, ChangeReply>(host, "/v1/change", &req, deadline),
        )
    };
    let change_with_new_leader = async {
        let mut last = before;
        for n in 0..5 {
            let host = format!("app-9-{n}");
            let req = request("mira", Revision(0), drain(&host, true));
            last = accepted_revision(&others.change(&req, Instant::now() + WAIT_TIMEOUT).await);
        }
        node.wait_for_revision(last).await;
        paused.signal(Signal::SIGCONT);
        last
    };
    let ((synced, queried, changed), last) = tokio::join!(queued_requests, change_with_new_leader);
    // `Err` is allowed: the HTTP server may time out the request, which arrived
    // too slowly from its point of view.
    assert!(
        matches!(synced, Ok(SyncReply::NotLeader { .. }) | Err(_)),
        "{synced:?}"
    );
    assert!(
        matches!(queried, Ok(QueryReply::NotLeader { .. }) | Err(_)),
        "{queried:?}"
    );
    assert!(
        matches!(
            changed,
            Ok(ChangeReply::NotLeader { .. } | ChangeReply::Unknown) | Err(_)
        ),
        "{changed:?}"
    );

    // Afterwards it is a follower, or it is elected again with all changes.
    for _ in 0..20 {
        let sync = sync_request("lb-2", None);
        let reply: SyncReply = http
            .post(host, "/v1/sync", &sync, deadline_in_millis(5000))
            .await
            .unwrap();
        if let SyncReply::Update(update) = &reply {
            assert!(update.version.revision >= last, "{reply:?}");
        }
        sleep(Duration::from_millis(50)).await;
    }
    node.assert_versions_never_decrease();
    assert!(drain_revision(&site, "app-9-4".parse().unwrap()).await == Some(last));
}

/// Guards against a host that wakes and no longer accepts connections: while it is
/// stopped, its accept queue overflows, and requests and connections in it end or time
/// out.
#[actix_rt::test]
async fn a_host_that_wakes_accepts_again_after_its_accept_queue_overflowed() {
    /// More than the accept queue holds (128, the backlog of a standard listener).
    const CONNECTIONS: usize = 400;
    /// Longer than the HTTP server waits for a request, 5 s.
    const STOP_TIME: Duration = Duration::from_secs(6);
    let site = Site::start(control_only(29, 3)).await;
    change_until_accepted(&site, drain("app-1", true)).await;
    let stopped = leader(&site).await;
    let host = control_address(site.plan, stopped);
    let stopped = &site.control[usize::from(stopped)];
    stopped.signal(Signal::SIGSTOP);
    let connects = (0..CONNECTIONS).map(|_| {
        let connect = tokio::net::TcpStream::connect(host);
        actix_rt::spawn(tokio::time::timeout(STOP_TIME / 2, connect))
    });
    let mut connections = Vec::new();
    for connect in connects.collect::<Vec<_>>() {
        if let Ok(connection) = connect.await.unwrap() {
            connections.push(connection.unwrap());
        }
    }
    let accepted = connections.len();
    assert!(
        (1..CONNECTIONS).contains(&accepted),
        "{accepted} connections fit in the accept queue"
    );
    // Half of them are gone when the host wakes, the others send an incomplete request.
    connections.truncate(accepted / 2);
    for connection in &connections {
        connection
            .try_write(b"POST /v1/query HTTP/1.1\r\n")
            .unwrap();
    }
    sleep(STOP_TIME / 2).await;
    stopped.signal(Signal::SIGCONT);
    let http = HttpClient::default();
    for _ in 0..20 {
        let sync = sync_request("lb-2", None);
        let reply: client::Result<SyncReply> = http
            .post(host, "/v1/sync", &sync, deadline_in_millis(5000))
            .await;
        reply.unwrap();
        sleep(Duration::from_millis(50)).await;
    }
}

/// Kills half of an even group and checks that the other half accepts no change
/// and answers no query, while the data plane still serves requests.
async fn check_even_group(range: u8, control: u8) {
    let mut site = Site::start_serving(SitePlan {
        range,
        control,
        balancers: 1,
        upstreams: 1,
        ..SitePlan::default()
    })
    .await;
    // The leader reports a share before the balancer has applied it.
    wait_for("answer through the balancer", async || {
        site.call("GET", "/", "").await.is_ok()
    })
    .await;
    for n in 0..control / 2 {
        site.control[usize::from(n)].kill();
    }
    let req = request("mira", Revision(0), drain("app-1", true));
    let reply = site
        .operator
        .change(&req, Instant::now() + MINORITY_TIMEOUT)
        .await;
    assert!(
        matches!(reply, ChangeReply::Unavailable | ChangeReply::Unknown),
        "{reply:?}"
    );
    let answer = site.call("GET", "/", "").await.unwrap();
    assert_eq!(answer.status, 200);
    let declined = site
        .operator
        .query::<_, QueryReply>("/v1/query", &Query::Services, deadline_in_millis(500))
        .await;
    assert!(declined.is_err(), "{declined:?}");

    for n in 0..control / 2 {
        site.control[usize::from(n)] = site.start_control(n);
    }
    let reply = site
        .operator
        .change(&req, Instant::now() + WAIT_TIMEOUT)
        .await;
    let revision = accepted_revision(&reply);
    let host = "app-1".parse().unwrap();
    assert_eq!(drain_revision(&site, host).await, Some(revision));
}

/// Guards against a half of the group that counts as a majority.
#[actix_rt::test]
async fn one_of_two_hosts_accepts_nothing() {
    check_even_group(24, 2).await;
}

/// Guards against a half of the group that counts as a majority.
#[actix_rt::test]
async fn two_of_four_hosts_accept_nothing() {
    check_even_group(25, 4).await;
}

/// Changes the group, with retries while the leader is busy or a learner has not
/// caught up.
async fn change_group(site: &Site, change: GroupRequest) {
    let http = HttpClient::default();
    let call = GroupChangeRequest {
        author: "operator".parse().unwrap(),
        change,
    };
    wait_for("change of the group", async || {
        let host = control_address(site.plan, leader(site).await);
        let reply: client::Result<GroupReply> = http
            .post(host, "/v1/group", &call, deadline_in_millis(3000))
            .await;
        match reply.unwrap() {
            GroupReply::Done => true,
            GroupReply::NotLeader { .. }
            | GroupReply::Refused(GroupRefusal::Busy | GroupRefusal::NotCaughtUp) => false,
            other => panic!("{change:?}: {other:?}"),
        }
    })
    .await;
}

/// Guards against a host that lost its data folder and votes under its earlier id
/// or forms a second group, and against a replacement that leaves only one copy
/// of accepted changes.
#[actix_rt::test]
async fn host_that_lost_its_data_is_replaced_and_a_second_one_crashes() {
    let mut site = Site::start(control_only(26, 3)).await;
    let mut revisions = BTreeMap::new();
    for n in 0..20 {
        let host = format!("app-{n}");
        let revision = change_until_accepted(&site, drain(&host, true)).await;
        revisions.insert(host, revision);
    }
    // The host with the lowest address is the one that forms a group.
    let (address, folder) = (
        control_address(site.plan, 0),
        site.dir.path().join("control-0"),
    );
    let group = site.status().await.group;
    let old = *group.voters.iter().find(|(_, a)| **a == address).unwrap().0;
    site.control[0].kill();
    std::fs::remove_dir_all(folder).unwrap();
    site.control[0] = site.start_control(0);
    let http = HttpClient::default();
    let mut hello = None;
    wait_for("answer of the host without state", async || {
        let reply: client::Result<HelloReply> = http
            .post(address, "/v1/hello", &Hello, deadline_in_millis(1000))
            .await;
        hello = reply.ok();
        hello.is_some()
    })
    .await;
    let id = hello.unwrap().id;
    assert_ne!(id, old);

    // One voter and the host without state are not a majority.
    wait_for("leader among the others", async || leader(&site).await != 0).await;
    let other = leader(&site).await;
    site.control[usize::from(other)].signal(Signal::SIGSTOP);
    let req = request("mira", Revision(0), drain("app-20", true));
    let reply = site
        .operator
        .change(&req, Instant::now() + MINORITY_TIMEOUT)
        .await;
    assert!(
        matches!(reply, ChangeReply::Unavailable | ChangeReply::Unknown),
        "{reply:?}"
    );
    let reply: HelloReply = http
        .post(address, "/v1/hello", &Hello, deadline_in_millis(1000))
        .await
        .unwrap();
    assert!(reply.blank, "the host joined a group before it was added");
    site.control[usize::from(other)].signal(Signal::SIGCONT);

    change_group(&site, GroupRequest::AddLearner(id, address)).await;
    change_group(&site, GroupRequest::Promote(id)).await;
    change_group(&site, GroupRequest::Remove(old)).await;
    let made = GroupRequest::Remove(old);
    wait_for("the change of the group in the audit trail", async || {
        let reply = query(&site, Query::Audit { limit: 10 }).await;
        let QueryReply::Audit(records) = reply else {
            panic!("no audit trail");
        };
        records.iter().any(|record| {
            record.change == ChangeSummary::Group(made)
                && matches!(record.answer, Answer::Accepted(_))
        })
    })
    .await;
    let voters = site.status().await.group.voters;
    assert!(voters.len() == 3 && voters.contains_key(&id), "{voters:?}");
    site.control[1].kill();
    for (host, revision) in revisions {
        let host = host.parse().unwrap();
        assert_eq!(drain_revision(&site, host).await, Some(revision));
    }
    let reply = site
        .operator
        .change(&req, Instant::now() + WAIT_TIMEOUT)
        .await;
    accepted_revision(&reply);
}

/// Guards against a node that gets every missed version one by one instead of a
/// single update.
#[actix_rt::test]
async fn node_that_missed_500_changes_gets_one_update() {
    let site = Site::start(control_only(27, 3)).await;
    let first = change_until_accepted(&site, drain("app-0-0", true)).await;
    let node = Subscriber::start(site.plan, "lb-1");
    node.wait_for_revision(first).await;
    let have = node.version().unwrap();
    let writers = (0..10).map(|name| {
        let operator = site.operator.clone();
        async move {
            let mut last = Revision(0);
            for n in 1..=50 {
                let change = drain(&format!("app-{name}-{n}"), true);
                let req = request("mira", Revision(0), change);
                let reply = operator.change(&req, Instant::now() + WAIT_TIMEOUT).await;
                last = last.max(accepted_revision(&reply));
            }
            last
        }
    });
    let tasks: Vec<_> = writers.map(actix_rt::spawn).collect();
    let mut last = Revision(0);
    for task in tasks {
        last = last.max(task.await.unwrap());
    }
    assert!(last.0 >= first.0 + 500);

    // A restarted node has no version, so it gets a snapshot.
    let restarted = Subscriber::start(site.plan, "lb-2");
    restarted.wait_for_revision(last).await;
    assert_eq!(restarted.applied.borrow().len(), 1);
    // A node that was disconnected gets the difference to its version.
    let host = control_address(site.plan, leader(&site).await);
    let sync = sync_request("lb-3", Some(have));
    let reply: SyncReply = HttpClient::default()
        .post(host, "/v1/sync", &sync, deadline_in_millis(5000))
        .await
        .unwrap();
    let SyncReply::Update(update) = reply else {
        panic!("no update: {reply:?}");
    };
    assert!(!update.is_snapshot);
    assert!(update.version.revision >= last);
    node.assert_versions_never_decrease();
}

/// Guards against a new leader that removes live upstreams because it has not
/// received their heartbeats yet.
#[actix_rt::test]
async fn new_leader_removes_no_live_upstream() {
    let mut site = Site::start_serving(SitePlan {
        range: 28,
        balancers: 1,
        ..SitePlan::default()
    })
    .await;
    let node = Subscriber::start(site.plan, "lb-9");
    wait_for("version at the node", async || node.version().is_some()).await;
    let epoch = node.version().unwrap().epoch;
    let first = leader(&site).await;
    site.control[usize::from(first)].kill();
    wait_for("version of the new leader", async || {
        node.version().is_some_and(|v| v.epoch > epoch)
    })
    .await;
    // Longer than a lease, after which upstreams without a heartbeat would lose
    // their share.
    sleep(Duration::from_secs(4)).await;
    for (version, services) in node.applied.borrow().iter() {
        let service = services
            .values()
            .find(|s| s.service.name.to_string() == SERVICE);
        let members = service.map(|s| &s.members).unwrap();
        let shared = members.values().filter(|m| m.share.0 > 0).count();
        assert_eq!(shared, 2, "{version}: {members:?}");
    }
    node.assert_versions_never_decrease();
    let answer = site.call("GET", "/", "").await.unwrap();
    assert_eq!(answer.status, 200);
}
