//! Leases, versions and publications.

mod common;

use std::{collections::BTreeMap, net::SocketAddr};

use common::{CARRY, Leader, SERVICE, announcement, host, in_state, with_load};
use types::{
    BalancerAnnouncement, Connections, ServiceId, Slots, Term, UpstreamAnnouncement, UpstreamId,
    UpstreamState::*,
};

/// Guards against a new leader that removes upstreams whose announcements it has
/// not received yet.
#[test]
fn nothing_is_published_before_one_lease_has_passed() {
    let mut leader = Leader::new();
    assert_eq!(leader.registry.next_deadline(), Some(leader.at(3000)));
    leader.announce(&announcement(1));
    for now in [0, 1000, 2999] {
        leader.now = now;
        leader.announce(&announcement(2));
        assert_eq!(leader.tick(), None);
        assert_eq!(leader.registry.version(), None);
        assert!(leader.members().is_empty());
    }
    leader.now = 3000;
    let first = leader.tick().unwrap();
    assert_eq!((first.seq, first.changed_services.len()), (1, 1));
    assert_eq!(leader.registry.version(), Some((Term(4), 1)));
    // The lease of upstream 1 expired at the first publication.
    assert_eq!(leader.shares(), [1024]);
    assert_eq!(leader.registry.changed_since((Term(3), 900)), None);
}

/// Guards against several versions for changes between two ticks, and against
/// readers that miss a change.
#[test]
fn changes_between_two_ticks_make_one_version() {
    let mut leader = Leader::with_warm_upstreams(5);
    let registry = &mut leader.registry;
    registry.set_service(ServiceId(2), &"other".parse().unwrap(), &BTreeMap::new());
    registry.set_drain(&host(1), true);
    leader.announce(&in_state(2, Leaving));
    leader.announce(&UpstreamAnnouncement {
        service: "other".parse().unwrap(),
        ..announcement(6)
    });
    let publication = leader.tick().unwrap();
    assert_eq!(
        (publication.seq, publication.changed_services.len()),
        (2, 2)
    );
    assert_eq!(leader.tick(), None);
    let since = |leader: &Leader, seq| leader.registry.changed_since((Term(4), seq)).unwrap();
    assert_eq!(since(&leader, 1), publication.changed_services);
    leader.announce(&in_state(3, Leaving));
    leader.tick();
    assert!(since(&leader, 2).into_iter().eq([SERVICE]));
    assert_eq!(since(&leader, 1).len(), 2);
    assert_eq!(leader.registry.members_version(ServiceId(2)), (Term(4), 2));
}

/// Guards against flows of a former incarnation that are dropped while it may
/// still have them, and against a removed one that a delayed announcement adds
/// again.
#[test]
fn a_new_incarnation_replaces_the_former_one_at_its_address() {
    let mut leader = Leader::with_warm_upstreams(3);
    let registry = &mut leader.registry;
    let data: SocketAddr = ([127, 0, 0, 9], 9).into();
    let now = registry.first_publish_at();
    registry.announce(
        now,
        &host(1),
        &UpstreamAnnouncement {
            data_address: data,
            ..announcement(8)
        },
    );
    leader.tick();
    assert_eq!(leader.shares(), [1024, 1024, 1024, 0]);
    leader.announce(&UpstreamAnnouncement {
        data_address: data,
        ..announcement(9)
    });
    leader.announce(&UpstreamAnnouncement {
        data_address: data,
        ..announcement(8)
    });
    leader.tick();
    let ids: Vec<_> = leader.members().keys().map(|id| id.0).collect();
    assert_eq!(ids, [1, 2, 3, 9]);
    // An upstream may change its own address.
    leader.announce(&UpstreamAnnouncement {
        data_address: data,
        ..announcement(1)
    });
    leader.tick();
    assert_eq!(leader.members()[&UpstreamId(1)].data_address, data);
    assert!(!leader.members().contains_key(&UpstreamId(9)));
}

/// Guards against a service that inherits the members of a removed one.
#[test]
fn a_recreated_service_starts_with_new_members() {
    let mut leader = Leader::with_warm_upstreams(2);
    leader.registry.remove_service(SERVICE);
    assert_eq!(leader.run(500, &[announcement(1), announcement(2)]), []);
    assert!(leader.members().is_empty());
    let again = ServiceId(2);
    let name = "badges".parse().unwrap();
    leader.registry.set_service(again, &name, &BTreeMap::new());
    for (millis, share) in [(500, 0), (2000, 1024)] {
        leader.run(millis, &[announcement(1), announcement(2)]);
        let members = leader.registry.members(again);
        assert_eq!(members.len(), 2);
        assert!(members.values().all(|m| m.share.0 == share));
    }
}

/// Guards against agents that send answers to balancers that have terminated.
#[test]
fn balancers_have_leases_too() {
    let mut leader = Leader::with_warm_upstreams(1);
    let return_address = ([127, 0, 0, 1], 5).into();
    let balancer = BalancerAnnouncement { return_address };
    let now = leader.at(leader.now);
    leader.registry.announce_balancer(now, &host(70), balancer);
    assert!(leader.tick().unwrap().balancers_changed);
    assert_eq!(leader.registry.balancers_seq(), 2);
    leader.run(2500, &[announcement(1)]);
    assert_eq!(leader.registry.balancers().len(), 1);
    assert!(leader.run(500, &[announcement(1)])[0].balancers_changed);
    assert!(leader.registry.balancers().is_empty());
}

/// Guards against a status that counts the capacity of upstreams that leave.
#[test]
fn status_sums_up_a_service() {
    let mut leader = Leader::with_warm_upstreams(4);
    for (n, state) in [(1, Leaving), (2, Ready)] {
        leader.announce(&UpstreamAnnouncement {
            state,
            connections: Connections(40),
            ..with_load(n, CARRY - 1, 5, 2)
        });
    }
    leader.announce(&in_state(3, Down));
    let status = leader.registry.status(SERVICE);
    assert_eq!(
        (
            status.ready_upstreams,
            status.leaving_upstreams,
            status.down_upstreams
        ),
        (2, 1, 1)
    );
    assert_eq!(status.leaving_connections, 40);
    let class = status.classes.values().next().unwrap();
    assert_eq!(class.carry, Slots(2 * CARRY));
    assert_eq!(class.slots, Slots(2 * CARRY - 1));
    assert_eq!((class.in_flight, class.queued), (Slots(10), Slots(4)));
}

/// Guards against a loop that spins, or that sleeps past a due change.
#[test]
fn the_next_deadline_is_ahead_of_a_tick() {
    let mut leader = Leader::with_warm_upstreams(4);
    leader.announce(&with_load(1, 1, 1, 1));
    leader.announce(&in_state(2, Down));
    let mut ticks = 0;
    while let Some(due) = leader.registry.next_deadline() {
        leader.now = u64::try_from((due - leader.at(0)).as_millis()).unwrap();
        leader.tick();
        let next = leader.registry.next_deadline();
        assert!(next.is_none_or(|next| next > due));
        ticks += 1;
    }
    assert!(leader.members().is_empty());
    assert!(ticks < 20, "{ticks}");
}
