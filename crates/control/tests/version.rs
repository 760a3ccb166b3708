//! What a node is sent, and which nodes are looked at.

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

/// Guards against a new leader that hands out a membership before the live
/// upstreams had the time to announce themselves.
#[test]
fn nobody_gets_a_version_before_the_membership_is_settled() {
    let leader = Leader::new(false);
    for have in [None, Some(version(1, 3, 900))] {
        for req in [agent("vouchers", have), balancer(have)] {
            assert!(!leader.view().has_update(&req));
            let reply = leader.view().reply(&req);
            assert!(matches!(reply, SyncReply::Current { .. }), "{reply:?}");
        }
    }
}

/// Guards against nodes that are woken or sent more than what concerns them,
/// and against nodes that miss something.
#[test]
fn a_node_gets_what_it_lacks() {
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
    // the services in the answer.
    let cases = [
        (balancer(None), true, true, vec![0, 1]),
        (agent("badges", None), true, true, vec![1]),
        // Of an earlier term: every list of members is new.
        (balancer(Some(version(3, 3, 9))), true, false, vec![0, 1]),
        // Both configurations are known, and no membership.
        (balancer(Some(version(3, TERM, 0))), true, false, vec![0, 1]),
        (balancer(Some(version(1, TERM, 1))), true, false, vec![1]),
        (
            agent("vouchers", Some(version(1, TERM, 1))),
            false,
            false,
            vec![],
        ),
        // The drain of another host concerns nobody else.
        (balancer(Some(version(2, TERM, 1))), false, false, vec![]),
    ];
    for (req, at_once, snapshot, services) in cases {
        let case = format!("{} {:?}", req.host, req.have);
        assert_eq!(leader.view().has_update(&req), at_once, "{case}");
        let update = leader.update(&req);
        assert_eq!(update.snapshot, snapshot, "{case}");
        assert_eq!(ids(&update), services, "{case}");
        assert_eq!(update.version, version(3, TERM, 1), "{case}");
        assert!(update.drains.is_empty(), "{case}");
    }
    let current = agent("vouchers", Some(version(3, TERM, 1)));
    assert!(matches!(
        leader.view().reply(&current),
        SyncReply::Current { .. }
    ));
}

/// Guards against a change whose cost grows with what was there before: after
/// 500 changes of one service a node gets one update with that service.
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

/// Guards against an upstream that leaves and is still in what a node has.
#[test]
fn a_change_of_members_names_their_service() {
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

struct Wait {
    waiters: WaitingSyncs,
    replies: Vec<oneshot::Receiver<SyncReply>>,
}

impl Wait {
    fn push(&mut self, req: SyncRequest, until: Instant) {
        let (tx, rx) = oneshot::channel();
        self.replies.push(rx);
        self.waiters.push(WaitingSync { req, tx, until });
    }
}

/// Guards against nodes that wait longer than they asked for, are answered
/// without need, or are missed when the version changes.
#[test]
fn nodes_wait_for_news_or_the_end_of_their_hold() {
    let mut leader = Leader::new(true);
    let mut wait = Wait {
        waiters: WaitingSyncs::default(),
        replies: Vec::new(),
    };
    let have = Some(version(2, TERM, 1));
    wait.push(agent("vouchers", have), leader.at(4000));
    wait.push(agent("badges", have), leader.at(4100));
    wait.push(balancer(None), leader.at(4200));
    let take = |wait: &mut Wait, leader: &Leader, millis| -> Vec<_> {
        let due = wait.waiters.take_due(leader.at(millis), leader.view());
        due.into_iter().map(|w| w.until).collect()
    };
    // The one without a version is answered at once.
    assert_eq!(take(&mut wait, &leader, 3000), [leader.at(4200)]);
    assert!(take(&mut wait, &leader, 3001).is_empty());
    assert_eq!(wait.waiters.next_deadline(), Some(leader.at(4000)));

    leader.announce(3100, UpstreamState::Leaving);
    leader.registry.tick(leader.at(3100));
    // Too soon after the last review of all, but not for one that missed it.
    wait.push(
        agent("vouchers", Some(version(1, TERM, 1))),
        leader.at(4300),
    );
    wait.push(agent("vouchers", have), leader.at(4400));
    assert_eq!(take(&mut wait, &leader, 3100), [leader.at(4300)]);
    assert!(take(&mut wait, &leader, 3499).is_empty());
    assert_eq!(wait.waiters.next_deadline(), Some(leader.at(3500)));
    let both = [leader.at(4000), leader.at(4400)];
    assert_eq!(take(&mut wait, &leader, 3500), both);
    assert!(take(&mut wait, &leader, 4099).is_empty());
    assert_eq!(take(&mut wait, &leader, 4100), [leader.at(4100)]);
    assert_eq!(wait.waiters.next_deadline(), None);

    // A node that closed its connection is dropped.
    wait.push(balancer(None), leader.at(9000));
    wait.replies.clear();
    assert!(take(&mut wait, &leader, 4200).is_empty());
}

/// Guards against a change that is called in force everywhere by a leader that
/// has not heard the nodes yet, and against waiting for nodes that are gone.
#[test]
fn lagging_nodes_are_named_once_all_live_ones_were_heard() {
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
        disk_failed: false,
    };
    let new = Leader::new(false);
    let query = Query::Lagging(Revision(2));
    let reply = answer_query(&query, new.view(), &LiveNodes::default(), &status);
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

/// Guards against members of a service that is not in the configuration.
#[test]
fn a_deleted_service_is_named_as_removed() {
    let mut leader = Leader::new(true);
    let name: types::ServiceName = "vouchers".parse().unwrap();
    let base = leader.state.service(&name).unwrap().revision;
    let req = common::request(base, Change::DeleteService { name });
    leader.state.apply(Revision(3), req.id.created_at(), &req);
    let update = leader.update(&balancer(Some(version(2, TERM, 1))));
    assert_eq!(update.removed, [ServiceId(0)]);
    assert!(update.services.is_empty());
    assert_eq!(update.balancers, BTreeMap::new());
}
