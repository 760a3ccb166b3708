//! Shares of upstreams that come, warm up, report loads and go.

mod common;

use common::{CARRY, Leader, SERVICE, ann, busy, cold, host, in_state};
use types::{Announcement, UpstreamId, UpstreamState::*};

/// Guards against flows to an upstream that some balancers do not know yet,
/// and against a cold upstream that gets all its work at once.
#[test]
fn a_new_upstream_is_known_first_and_then_ramped() {
    let mut leader = Leader::with(2);
    let mut seen = Vec::new();
    for _ in 0..40 {
        leader.run(500, &[ann(1), ann(2), cold(3)]);
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

/// Guards against a ramp of everybody after each change of leader.
#[test]
fn a_new_leader_ramps_only_what_is_cold() {
    let aged = |n, secs| {
        let ready_for = std::time::Duration::from_secs(secs);
        Announcement {
            ready_for,
            ..ann(n)
        }
    };
    let mut leader = Leader::new();
    leader.run(3000, &[aged(1, 60), aged(2, 6), aged(3, 1), cold(4)]);
    assert_eq!(leader.shares(), [1024, 256, 0, 0]);
    assert!(leader.members().values().all(|m| m.former_share == m.share));
    // Later on no age excuses from being known first.
    leader.run(500, &[aged(5, 60)]);
    assert_eq!(leader.share(5), Some(0));
    leader.run(2000, &[aged(5, 60)]);
    assert_eq!(leader.share(5), Some(1024));
}

/// Guards against new work for an upstream that leaves, and against the loss
/// of its flows while it still holds some.
#[test]
fn a_leaving_upstream_has_no_share_but_stays_listed() {
    let drained = |leader: &mut Leader| leader.registry.set_drain(&host(1), true);
    let leaves = |leader: &mut Leader| leader.announce(&in_state(1, Leaving));
    let down = |leader: &mut Leader| leader.announce(&in_state(1, Down));
    let cases: [(fn(&mut Leader), _, _); 3] =
        [(drained, Leaving, 1), (leaves, Leaving, 1), (down, Down, 0)];
    for (event, state, leaving) in cases {
        let mut leader = Leader::with(3);
        event(&mut leader);
        assert_eq!(leader.tick().unwrap().seq, 2);
        assert_eq!(leader.shares(), [0, 1024, 1024]);
        let member = &leader.members()[&UpstreamId(1)];
        assert_eq!((member.state, member.former_share.0), (state, 1024));
        assert_eq!(leader.registry.status(SERVICE).leaving_upstreams, leaving);
        leader.run(2500, &[ann(2), ann(3)]);
        assert_eq!(leader.share(1), Some(0), "{state}");
        leader.run(500, &[ann(2), ann(3)]);
        assert_eq!(leader.share(1), None, "{state}");
    }
}

/// Guards against an upstream that stays without work after its return.
#[test]
fn shares_come_back() {
    let mut leader = Leader::with(3);
    leader.registry.set_drain(&host(1), true);
    leader.tick();
    leader.registry.set_drain(&host(1), false);
    leader.tick();
    assert_eq!(leader.share(1), Some(1024));
    // After a failure it is cold, and one that flaps stays at 0.
    for _ in 0..4 {
        leader.run(500, &[in_state(1, Down), ann(2), ann(3)]);
        leader.run(1500, &[ann(1), ann(2), ann(3)]);
        assert_eq!(leader.share(1), Some(0));
    }
    leader.run(1000, &[ann(1), ann(2), ann(3)]);
    assert_eq!(leader.share(1), Some(128));
    leader.run(10_000, &[ann(1), ann(2), ann(3)]);
    assert_eq!(leader.share(1), Some(1024));
}

/// Guards against a service whose last few upstreams get the work of all.
#[test]
fn shares_stay_while_under_half_is_usable() {
    // Upstreams out of 4 that fail at once, and how many keep their share.
    for (failing, kept) in [(1, 3), (2, 2), (3, 4), (4, 4)] {
        let live: Vec<_> = (failing + 1..=4).map(ann).collect();
        let down = (1..=failing).map(|n| in_state(n, Down));
        let anns: Vec<_> = down.chain(live.clone()).collect();
        let mut leader = Leader::with(4);
        leader.run(4000, &anns);
        let shares = [vec![0; 4 - kept], vec![1024; kept]].concat();
        assert_eq!(leader.shares(), shares, "{failing} are down");

        let mut leader = Leader::with(4);
        leader.run(4000, &live);
        assert_eq!(leader.shares(), vec![1024; kept], "{failing} are silent");
        // Silent ones do not stay for ever.
        leader.run(30_000, &live);
        assert_eq!(leader.shares(), vec![1024; live.len()]);
    }
}

/// Guards against a frozen service in which an upstream that leaves keeps
/// getting new work, and against one that never thaws.
#[test]
fn a_frozen_service_lets_upstreams_leave_and_return() {
    let mut leader = Leader::with(5);
    let down = |n| in_state(n, Down);
    leader.run(500, &[down(1), down(2), down(3), ann(4), ann(5)]);
    assert_eq!(leader.shares(), [1024; 5]);
    let leaves = in_state(5, Leaving);
    leader.run(500, &[down(1), down(2), down(3), ann(4), leaves.clone()]);
    assert_eq!(leader.shares(), [1024, 1024, 1024, 1024, 0]);
    // Those that recover keep their share, else 4 would get the work of all.
    leader.run(500, &[ann(1), ann(2), down(3), ann(4), leaves]);
    assert_eq!(leader.shares(), [1024, 1024, 0, 1024, 0]);
    // One that is silent goes in the end, however many others are down.
    let mut leader = Leader::with(5);
    let others = [down(1), down(2), down(3), ann(4)];
    leader.run(32_500, &others);
    assert_eq!(leader.share(5), Some(1024));
    leader.run(500, &others);
    assert_eq!(leader.share(5), None);
    // A load report moves nothing down in a frozen service.
    let mut leader = Leader::with(3);
    leader.run(10_000, &[down(1), down(2), busy(3, CARRY, CARRY, CARRY)]);
    assert_eq!(leader.shares(), [1024; 3]);
}

/// Guards against reports that have no effect, an effect in the wrong
/// direction, or one that cannot be undone.
#[test]
fn load_reports_lower_a_share() {
    let cases = [
        (busy(1, CARRY, CARRY, 0), 1024),
        (busy(1, 100 * CARRY, 0, 0), 1024),
        (busy(1, CARRY / 2, 0, 0), 512),
        (busy(1, CARRY, CARRY, CARRY), 512),
        (busy(1, CARRY / 2, CARRY / 2, CARRY / 2), 256),
        (busy(1, 0, 0, 0), 128),
        (busy(1, u32::MAX, u32::MAX, u32::MAX), 128),
    ];
    for (report, share) in cases {
        let mut leader = Leader::with(2);
        let mut share_after = |millis, ann1| {
            leader.run(millis, &[ann1, ann(2)]);
            leader.share(1)
        };
        assert_eq!(share_after(4500, report.clone()), Some(1024), "{report:?}");
        assert_eq!(share_after(1000, report.clone()), Some(share), "{report:?}");
        assert_eq!(share_after(5500, ann(1)), Some(1024), "{report:?}");
    }
}

/// Guards against a version for every load report.
#[test]
fn a_flood_of_load_reports_makes_no_version() {
    // Reports on both sides of a lowered share, never close to it.
    let mut leader = Leader::with(2);
    leader.run(6000, &[busy(1, CARRY / 2, 0, 0), ann(2)]);
    assert_eq!(leader.share(1), Some(512));
    let swing = [busy(1, 1, 0, 0), ann(1), ann(2)];
    assert_eq!(leader.run(20_000, &swing), []);

    let mut leader = Leader::with(7);
    let version = leader.registry.version();
    for n in 0..2000u32 {
        leader.now += 10;
        for id in 1..=7 {
            let load = (n * 7 + u32::try_from(id).unwrap() * 3) % (2 * CARRY + 1);
            leader.announce(&busy(id, CARRY, load, 0));
        }
        assert_eq!(leader.tick(), None);
    }
    assert_eq!(leader.registry.version(), version);
    let (_, loads) = leader.registry.loads(SERVICE).next().unwrap();
    let in_flight = loads.values().next().unwrap().in_flight.0;
    assert_eq!(in_flight, (1999 * 7 + 3) % (2 * CARRY + 1));
}
