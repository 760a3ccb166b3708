//! Tests of sync replies, held sync requests and the list of lagging nodes.

mod common;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use common::{agent, announcement, apply, balancer, create, set_target};
use control::{
    process::{LiveNodes, WaitingSyncs, answer_query},
    request::WaitingSync,
    version::LeaderView,
};
use member::{Registry, Settings};
use tokio::sync::oneshot;
use types::{Change, Revision, ServiceId, Term, UpstreamId, UpstreamState, Version};
use wire::{
    SyncReply, SyncRequest, Update,
    request::{Query, QueryReply},
};

const TERM: u64 = 4;

struct Leader {
    start: Instant,
    state: config::ConfigState,
    registry: Registry,
}

impl Leader {
    /// A leader with two services, the first with one upstream.
    fn new(settled: bool) -> Self {
        let start = Instant::now();
        let mut state = config::ConfigState::default();
        apply(&mut state, 1, create("vouchers", 4433));
        apply(&mut state, 2, create("badges", 4434));
        let mut registry = Registry::new(Settings::default(), start, Term(TERM));
        for service in state.services().values() {
            registry.set_service(service.id, &service.name, &service.targets);
        }
        let mut leader = Leader {
            start,
            state,
            registry,
        };
        if settled {
            leader.announce(2900, UpstreamState::Ready);
            assert!(leader.registry.tick(leader.at(3000)).is_some());
        }
        leader
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn announce(&mut self, millis: u64, state: UpstreamState) {
        let host = "app-1".parse().unwrap();
        let announcement = types::UpstreamAnnouncement {
            state,
            ..announcement("vouchers")
        };
        self.registry
            .announce(self.at(millis), &host, &announcement);
    }

    fn view(&self) -> LeaderView<'_> {
        LeaderView {
            state: &self.state,
            registry: &self.registry,
        }
    }

    fn update(&self, req: &SyncRequest) -> Update {
        match self.view().reply(req) {
            SyncReply::Update(update) => *update,
            other => panic!("no update: {other:?}"),
        }
    }
}

fn version(revision: u64, epoch: u64, seq: u64) -> Version {
    Version {
        revision: Revision(revision),
        epoch: Term(epoch),
        seq,
    }
}

fn ids(update: &Update) -> Vec<u32> {
    update.services.iter().map(|s| s.service.id.0).collect()
}

/// Guards against a new leader that publishes a membership before the live
/// upstreams had time to announce themselves.
#[test]
fn no_version_is_sent_before_the_membership_is_settled() {
    let leader = Leader::new(false);
    for have in [None, Some(version(1, 3, 900))] {
        for req in [agent("vouchers", have), balancer(have)] {
            assert!(!leader.view().has_update(&req));
            let reply = leader.view().reply(&req);
            assert!(matches!(reply, SyncReply::Current { .. }), "{reply:?}");
        }
    }
}

/// Guards against replies to nodes that a change does not affect, and against
/// updates with too many or too few services.
#[test]
fn an_update_has_the_services_that_changed_since_the_nodes_version() {
    let mut leader = Leader::new(true);
    apply(
        &mut leader.state,
        3,
        Change::SetDrain {
            host: "app-2".parse().unwrap(),
            drain: true,
        },
    );
    // The request, whether it is answered at once, whether by a snapshot, and
    // the services in the update.
    let cases = [
        (balancer(None), true, true, vec![0, 1]),
        (agent("badges", None), true, true, vec![1]),
        // Version of an earlier term: every member list is sent.
        (balancer(Some(version(3, 3, 9))), true, false, vec![0, 1]),
        // The configuration is current, but the node has no membership yet.
        (balancer(Some(version(3, TERM, 0))), true, false, vec![0, 1]),
        (balancer(Some(version(1, TERM, 1))), true, false, vec![1]),
        (
            agent("vouchers", Some(version(1, TERM, 1))),
            false,
            false,
            vec![],
        ),
        // The drain of a host does not affect other hosts.
        (balancer(Some(version(2, TERM, 1))), false, false, vec![]),
    ];
    for (req, answered_at_once, snapshot, services) in cases {
        let case = format!("{} {:?}", req.host, req.applied_version);
        assert_eq!(leader.view().has_update(&req), answered_at_once, "{case}");
        let update = leader.update(&req);
        assert_eq!(update.is_snapshot, snapshot, "{case}");
        assert_eq!(ids(&update), services, "{case}");
        assert_eq!(update.version, version(3, TERM, 1), "{case}");
        assert!(update.draining_hosts.is_empty(), "{case}");
    }
    let current = agent("vouchers", Some(version(3, TERM, 1)));
    assert!(matches!(
        leader.view().reply(&current),
        SyncReply::Current { .. }
    ));
}

/// Guards against agents of an evacuated data centre that go on taking new work, and
/// against an evacuation that reaches nodes elsewhere.
#[test]
fn agents_of_an_evacuated_data_centre_drain() {
    let mut leader = Leader::new(true);
    let evacuate = |leader: &mut Leader, index, evacuated| {
        let data_centre = "dar-1".parse().unwrap();
        let change = Change::SetEvacuation {
            data_centre,
            evacuated,
        };
        let req = common::request(Revision(index - 1), change);
        let at = req.id.created_at();
        let answer = leader.state.apply(Revision(index), at, &req);
        assert_eq!(answer, types::Answer::Accepted(Revision(index)));
    };
    let before = agent("vouchers", Some(version(2, TERM, 1)));
    let elsewhere = SyncRequest {
        data_centre: "sofia-1".parse().unwrap(),
        ..before.clone()
    };
    evacuate(&mut leader, 3, true);
    assert!(leader.view().has_update(&before));
    assert_eq!(
        leader.update(&before).draining_hosts,
        [before.host.clone()].into()
    );
    assert!(!leader.view().has_update(&elsewhere));
    assert!(leader.update(&elsewhere).draining_hosts.is_empty());
    let restarted = agent("vouchers", None);
    assert!(!leader.update(&restarted).draining_hosts.is_empty());

    evacuate(&mut leader, 4, false);
    let during = agent("vouchers", Some(version(3, TERM, 1)));
    assert!(leader.view().has_update(&during));
    assert!(leader.update(&during).draining_hosts.is_empty());
}

/// Guards against an update whose size grows with the number of missed changes:
/// after 500 changes of one service a node gets one update with that service.
#[test]
fn many_missed_changes_are_one_update() {
    let mut leader = Leader::new(true);
    for n in 0..500u64 {
        let base = leader.state.service(&"badges".parse().unwrap()).unwrap();
        let change = set_target("badges", u32::try_from(n % 7).unwrap() + 1);
        let req = common::request(base.revision, change);
        leader
            .state
            .apply(Revision(10 + n), req.id.created_at(), &req);
    }
    let update = leader.update(&balancer(Some(version(2, TERM, 1))));
    assert_eq!(ids(&update), [1]);
    assert_eq!(update.version.revision, Revision(509));
}

/// Guards against a leaving upstream that keeps its share on the nodes because the
/// update omits its service.
#[test]
fn an_update_has_the_service_whose_members_changed() {
    let mut leader = Leader::new(true);
    leader.announce(3100, UpstreamState::Leaving);
    assert!(leader.registry.tick(leader.at(3100)).is_some());
    let update = leader.update(&balancer(Some(version(2, TERM, 1))));
    assert_eq!(ids(&update), [0]);
    let member = &update.services[0].members[&UpstreamId(7)];
    assert_eq!(member.share.0, 0);
    assert!(
        !leader
            .view()
            .has_update(&agent("badges", Some(version(2, TERM, 1))))
    );
}

struct HeldSyncs {
    syncs: WaitingSyncs,
    replies: Vec<oneshot::Receiver<SyncReply>>,
}

impl HeldSyncs {
    fn push(&mut self, req: SyncRequest, hold_deadline: Instant) {
        let (tx, rx) = oneshot::channel();
        self.replies.push(rx);
        self.syncs.push(WaitingSync {
            req,
            tx,
            hold_deadline,
        });
    }
}

/// Guards against sync requests that are held too long, are answered without an
/// update before their hold ends, or are missed when the version changes.
#[test]
fn syncs_are_held_until_an_update_or_the_end_of_the_hold() {
    let mut leader = Leader::new(true);
    let mut held = HeldSyncs {
        syncs: WaitingSyncs::default(),
        replies: Vec::new(),
    };
    let have = Some(version(2, TERM, 1));
    held.push(agent("vouchers", have), leader.at(4000));
    held.push(agent("badges", have), leader.at(4100));
    held.push(balancer(None), leader.at(4200));
    let take = |held: &mut HeldSyncs, leader: &Leader, millis| -> Vec<_> {
        let due = held.syncs.take_due(leader.at(millis), leader.view());
        due.into_iter().map(|sync| sync.hold_deadline).collect()
    };
    // A node without a version is answered at once.
    assert_eq!(take(&mut held, &leader, 3000), [leader.at(4200)]);
    assert!(take(&mut held, &leader, 3001).is_empty());
    assert_eq!(held.syncs.next_deadline(), Some(leader.at(4000)));

    leader.announce(3100, UpstreamState::Leaving);
    leader.registry.tick(leader.at(3100));
    // Too early for the next review, but a node that missed the last one is
    // answered at once.
    held.push(
        agent("vouchers", Some(version(1, TERM, 1))),
        leader.at(4300),
    );
    held.push(agent("vouchers", have), leader.at(4400));
    assert_eq!(take(&mut held, &leader, 3100), [leader.at(4300)]);
    assert!(take(&mut held, &leader, 3499).is_empty());
    assert_eq!(held.syncs.next_deadline(), Some(leader.at(3500)));
    let expected = [leader.at(4000), leader.at(4400)];
    assert_eq!(take(&mut held, &leader, 3500), expected);
    assert!(take(&mut held, &leader, 4099).is_empty());
    assert_eq!(take(&mut held, &leader, 4100), [leader.at(4100)]);
    assert_eq!(held.syncs.next_deadline(), None);

    // The request of a disconnected node is dropped.
    held.push(balancer(None), leader.at(9000));
    held.replies.clear();
    assert!(take(&mut held, &leader, 4200).is_empty());
}

/// Guards against a new leader that reports a revision as in force on every node
/// before the nodes have synced with it, and against waiting for nodes whose lease
/// has expired.
#[test]
fn lagging_nodes_are_reported_once_the_membership_is_settled() {
    let status = consensus::Status {
        id: types::MemberId(1),
        role: consensus::Role::Leader,
        term: Term(TERM),
        leader: None,
        commit_index: Revision(2),
        last_index: Revision(2),
        snapshot_index: Revision(0),
        group: None,
        change_pending: false,
        caught_up: [].into(),
        supporters: [].into(),
        lost_voters: [].into(),
        tolerated_losses: 0,
        disk_failed: false,
    };
    let unsettled = Leader::new(false);
    let query = Query::Lagging(Revision(2));
    let reply = answer_query(&query, unsettled.view(), &LiveNodes::default(), &status);
    assert_eq!(reply, QueryReply::Unsettled);

    let leader = Leader::new(true);
    let reply = answer_query(&query, leader.view(), &LiveNodes::default(), &status);
    assert_eq!(reply, QueryReply::Lagging(Vec::new()));

    let mut nodes = LiveNodes::default();
    nodes.record_sync(leader.at(0), &balancer(Some(version(1, TERM, 1))));
    nodes.record_sync(leader.at(1000), &agent("badges", Some(version(2, TERM, 1))));
    let lagging = |nodes: &LiveNodes, millis| -> Vec<String> {
        let lagging = nodes.lagging(leader.at(millis), Revision(2));
        lagging.iter().map(|node| node.host.to_string()).collect()
    };
    assert_eq!(lagging(&nodes, 2999), ["lb-1"]);
    assert!(lagging(&nodes, 3000).is_empty());
    nodes.expire(leader.at(4000));
    assert!(nodes.is_empty());
}

/// Guards against nodes that keep a service after it was deleted.
#[test]
fn an_update_lists_deleted_services_as_removed() {
    let mut leader = Leader::new(true);
    let name: types::ServiceName = "vouchers".parse().unwrap();
    let base = leader.state.service(&name).unwrap().revision;
    let req = common::request(base, Change::DeleteService { name });
    leader.state.apply(Revision(3), req.id.created_at(), &req);
    let update = leader.update(&balancer(Some(version(2, TERM, 1))));
    assert_eq!(update.removed_services, [ServiceId(0)]);
    assert!(update.services.is_empty());
    assert_eq!(update.balancers, BTreeMap::new());
}
