//! Shares of upstreams that join, ramp up, report loads and leave.

mod common;

use common::{CARRY, Leader, SERVICE, announcement, host, in_state, newly_ready, with_load};
use types::{DataCentre, UpstreamAnnouncement, UpstreamId, UpstreamState::*};

/// Guards against flows to an upstream that some balancers do not have in their
/// membership yet, and against a new upstream that gets its full share at once.
#[test]
fn a_new_upstream_is_listed_first_and_then_ramped() {
    let mut leader = Leader::with_warm_upstreams(2);
    let mut seen = Vec::new();
    for _ in 0..40 {
        leader.run(500, &[announcement(1), announcement(2), newly_ready(3)]);
        let share = leader.share(3).unwrap();
        if seen.last().is_none_or(|(_, last)| *last != share) {
            seen.push((leader.now, share));
        }
    }
    let at = [3500, 5500, 9000, 12_500, 15_500];
    assert!(
        seen.into_iter()
            .eq(at.into_iter().zip([0, 128, 256, 512, 1024]))
    );
    assert_eq!(leader.registry.version().unwrap().1, 6);
}

/// Guards against a ramp of all upstreams after each change of leader.
#[test]
fn a_new_leader_ramps_only_new_upstreams() {
    let aged = |n, secs| {
        let ready_for = std::time::Duration::from_secs(secs);
        UpstreamAnnouncement {
            ready_for,
            ..announcement(n)
        }
    };
    let mut leader = Leader::new();
    leader.run(3000, &[aged(1, 60), aged(2, 6), aged(3, 1), newly_ready(4)]);
    assert_eq!(leader.shares(), [1024, 256, 0, 0]);
    assert!(
        leader
            .members()
            .values()
            .all(|m| m.previous_share == m.share)
    );
    // After the first publication, the propagation delay applies at any age.
    leader.run(500, &[aged(5, 60)]);
    assert_eq!(leader.share(5), Some(0));
    leader.run(2000, &[aged(5, 60)]);
    assert_eq!(leader.share(5), Some(1024));
}

/// Guards against new work for a leaving upstream, and against the loss of its
/// flows while it still has some.
#[test]
fn a_leaving_upstream_has_no_share_but_stays_listed() {
    let drained = |leader: &mut Leader| leader.registry.set_drain(&host(1), true);
    let leaves = |leader: &mut Leader| leader.announce(&in_state(1, Leaving));
    let down = |leader: &mut Leader| leader.announce(&in_state(1, Down));
    let cases: [(fn(&mut Leader), _, _); 3] =
        [(drained, Leaving, 1), (leaves, Leaving, 1), (down, Down, 0)];
    for (event, state, leaving) in cases {
        let mut leader = Leader::with_warm_upstreams(3);
        event(&mut leader);
        assert_eq!(leader.tick().unwrap().seq, 2);
        assert_eq!(leader.shares(), [0, 1024, 1024]);
        let member = &leader.members()[&UpstreamId(1)];
        assert_eq!((member.state, member.previous_share.0), (state, 1024));
        assert_eq!(leader.registry.status(SERVICE).leaving_upstreams, leaving);
        leader.run(2500, &[announcement(2), announcement(3)]);
        assert_eq!(leader.share(1), Some(0), "{state}");
        leader.run(500, &[announcement(2), announcement(3)]);
        assert_eq!(leader.share(1), None, "{state}");
    }
}

/// Guards against new work for the upstreams of an evacuated data centre, for those that
/// move there or start there later, against members that do not state the evacuation, and
/// against an end of the evacuation that clears the drain mark of a host.
#[test]
fn upstreams_of_an_evacuated_data_centre_have_no_share() {
    let east: DataCentre = "east".parse().unwrap();
    let in_east = |n| UpstreamAnnouncement {
        data_centre: east.clone(),
        ..announcement(n)
    };
    let mut leader = Leader::new();
    leader.run(3000, &[in_east(1), in_east(2), announcement(3)]);
    assert_eq!(leader.shares(), [1024, 1024, 1024]);
    leader.registry.set_evacuated(&east, true);
    leader.tick();
    assert_eq!(leader.shares(), [0, 0, 1024]);
    let evacuated = |leader: &Leader| -> Vec<bool> {
        let members = leader.registry.members(SERVICE).values();
        members.map(|member| member.evacuated).collect()
    };
    assert_eq!(evacuated(&leader), [true, true, false]);
    assert_eq!(leader.registry.status(SERVICE).leaving_upstreams, 2);
    assert!(leader.registry.services_without_upstreams().is_empty());

    // One starts in the evacuated data centre, and one moves there.
    leader.run(500, &[in_east(1), in_east(2), in_east(3), in_east(4)]);
    assert!(leader.shares().iter().all(|share| *share == 0));
    // Their agents announce on request that they leave.
    let leaving = |n| UpstreamAnnouncement {
        state: Leaving,
        ..in_east(n)
    };
    for announcements in [[].as_slice(), &[1, 2, 3, 4].map(leaving)] {
        leader.run(500, announcements);
        let unserved = leader.registry.services_without_upstreams();
        assert_eq!(unserved, ["badges".parse().unwrap()].into());
    }

    leader.registry.set_drain(&host(1), true);
    leader.registry.set_evacuated(&east, false);
    let all = [in_east(1), in_east(2), in_east(3), in_east(4)];
    leader.run(500, &all);
    assert_eq!((leader.share(1), leader.share(3)), (Some(0), Some(1024)));
    assert_eq!(evacuated(&leader), [false; 4]);
    leader.registry.set_evacuated(&east, true);
    leader.registry.set_drain(&host(1), false);
    leader.run(500, &all);
    assert_eq!(leader.share(1), Some(0));
    assert_eq!(evacuated(&leader), [true; 4]);
}

/// Guards against an upstream without a share after its recovery.
#[test]
fn shares_are_restored_after_recovery() {
    let mut leader = Leader::with_warm_upstreams(3);
    leader.registry.set_drain(&host(1), true);
    leader.tick();
    leader.registry.set_drain(&host(1), false);
    leader.tick();
    assert_eq!(leader.share(1), Some(1024));
    // After a failure the ramp starts again, and a flapping upstream stays at 0.
    for _ in 0..4 {
        leader.run(500, &[in_state(1, Down), announcement(2), announcement(3)]);
        leader.run(1500, &[announcement(1), announcement(2), announcement(3)]);
        assert_eq!(leader.share(1), Some(0));
    }
    leader.run(1000, &[announcement(1), announcement(2), announcement(3)]);
    assert_eq!(leader.share(1), Some(128));
    leader.run(10_000, &[announcement(1), announcement(2), announcement(3)]);
    assert_eq!(leader.share(1), Some(1024));
}

/// Guards against a service whose few remaining upstreams get the load of all.
#[test]
fn shares_stay_while_under_half_is_usable() {
    // Upstreams out of 4 that fail at once, and how many keep their share.
    for (failing, kept) in [(1, 3), (2, 2), (3, 4), (4, 4)] {
        let live: Vec<_> = (failing + 1..=4).map(announcement).collect();
        let down = (1..=failing).map(|n| in_state(n, Down));
        let announcements: Vec<_> = down.chain(live.clone()).collect();
        let mut leader = Leader::with_warm_upstreams(4);
        leader.run(4000, &announcements);
        let shares = [vec![0; 4 - kept], vec![1024; kept]].concat();
        assert_eq!(leader.shares(), shares, "{failing} are down");

        let mut leader = Leader::with_warm_upstreams(4);
        leader.run(4000, &live);
        assert_eq!(leader.shares(), vec![1024; kept], "{failing} are silent");
        // Upstreams with an expired lease are removed in the end.
        leader.run(30_000, &live);
        assert_eq!(leader.shares(), vec![1024; live.len()]);
    }
}

/// Guards against a frozen service in which a leaving upstream still gets new
/// work, and against a service that stays frozen after recovery.
#[test]
fn a_frozen_service_lets_upstreams_leave_and_return() {
    let mut leader = Leader::with_warm_upstreams(5);
    let down = |n| in_state(n, Down);
    leader.run(
        500,
        &[down(1), down(2), down(3), announcement(4), announcement(5)],
    );
    assert_eq!(leader.shares(), [1024; 5]);
    let leaves = in_state(5, Leaving);
    leader.run(
        500,
        &[down(1), down(2), down(3), announcement(4), leaves.clone()],
    );
    assert_eq!(leader.shares(), [1024, 1024, 1024, 1024, 0]);
    // Recovered upstreams keep their share, otherwise 4 would get all the load.
    leader.run(
        500,
        &[
            announcement(1),
            announcement(2),
            down(3),
            announcement(4),
            leaves,
        ],
    );
    assert_eq!(leader.shares(), [1024, 1024, 0, 1024, 0]);
    // An upstream with an expired lease is removed in the end, however many
    // others are down.
    let mut leader = Leader::with_warm_upstreams(5);
    let others = [down(1), down(2), down(3), announcement(4)];
    leader.run(32_500, &others);
    assert_eq!(leader.share(5), Some(1024));
    leader.run(500, &others);
    assert_eq!(leader.share(5), None);
    // A load report lowers no share in a frozen service.
    let mut leader = Leader::with_warm_upstreams(3);
    leader.run(
        10_000,
        &[down(1), down(2), with_load(3, CARRY, CARRY, CARRY)],
    );
    assert_eq!(leader.shares(), [1024; 3]);
}

/// Guards against load reports that have no effect, an effect in the wrong
/// direction, or one that later reports cannot reverse.
#[test]
fn load_reports_lower_a_share() {
    let cases = [
        (with_load(1, CARRY, CARRY, 0), 1024),
        (with_load(1, 100 * CARRY, 0, 0), 1024),
        (with_load(1, CARRY / 2, 0, 0), 512),
        (with_load(1, CARRY, CARRY, CARRY), 512),
        (with_load(1, CARRY / 2, CARRY / 2, CARRY / 2), 256),
        (with_load(1, 0, 0, 0), 128),
        (with_load(1, u32::MAX, u32::MAX, u32::MAX), 128),
    ];
    for (report, share) in cases {
        let mut leader = Leader::with_warm_upstreams(2);
        let mut share_after = |millis, first_announcement| {
            leader.run(millis, &[first_announcement, announcement(2)]);
            leader.share(1)
        };
        assert_eq!(share_after(4500, report.clone()), Some(1024), "{report:?}");
        assert_eq!(share_after(1000, report.clone()), Some(share), "{report:?}");
        assert_eq!(share_after(5500, announcement(1)), Some(1024), "{report:?}");
    }
}

/// Guards against a version for every load report.
#[test]
fn frequent_load_reports_create_no_version() {
    // Reports on both sides of a lowered share, never close to it.
    let mut leader = Leader::with_warm_upstreams(2);
    leader.run(6000, &[with_load(1, CARRY / 2, 0, 0), announcement(2)]);
    assert_eq!(leader.share(1), Some(512));
    let swing = [with_load(1, 1, 0, 0), announcement(1), announcement(2)];
    assert_eq!(leader.run(20_000, &swing), []);

    let mut leader = Leader::with_warm_upstreams(7);
    let version = leader.registry.version();
    for n in 0..2000u32 {
        leader.now += 10;
        for id in 1..=7 {
            let load = (n * 7 + u32::try_from(id).unwrap() * 3) % (2 * CARRY + 1);
            leader.announce(&with_load(id, CARRY, load, 0));
        }
        assert_eq!(leader.tick(), None);
    }
    assert_eq!(leader.registry.version(), version);
    let (_, loads) = leader.registry.loads(SERVICE).next().unwrap();
    let in_flight = loads.values().next().unwrap().in_flight.0;
    assert_eq!(in_flight, (1999 * 7 + 3) % (2 * CARRY + 1));
}
