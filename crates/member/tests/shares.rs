//! Shares of upstreams that come, warm up, report loads and go.

mod common;

use common::{CARRY, Leader, SERVICE, ann, cold, host, in_state, loads};
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
    let steps = [
        (3500, 0),
        (5500, 128),
        (9000, 256),
        (12500, 512),
        (15500, 1024),
    ];
    assert_eq!(seen, steps);
    assert_eq!(leader.registry.version().unwrap().1, 6);
}

/// Guards against a ramp of everybody after each change of leader.
#[test]
fn a_new_leader_ramps_only_what_is_cold() {
    let aged = |n, secs| Announcement {
        ready_for: std::time::Duration::from_secs(secs),
        ..ann(n)
    };
    let mut leader = Leader::new();
    // The age grows by the time since the announcement, here none.
    leader.run(3000, &[aged(1, 60), aged(2, 6), aged(3, 1), cold(4)]);
    assert_eq!(leader.shares(), [1024, 256, 0, 0]);
    let members = leader.members().values();
    assert!(members.into_iter().all(|m| m.former_share == m.share));
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
        assert_eq!(leader.registry.status(SERVICE).leaving, leaving);
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
    // Upstreams out of 4 that fail at once, and the shares after it.
    let cases = [
        (1, [0, 1024, 1024, 1024]),
        (2, [0, 0, 1024, 1024]),
        (3, [1024; 4]),
        (4, [1024; 4]),
    ];
    for (failing, shares) in cases {
        let mut leader = Leader::with(4);
        let anns: Vec<_> = (1..=4)
            .map(|n| {
                if n <= failing {
                    in_state(n, Down)
                } else {
                    ann(n)
                }
            })
            .collect();
        leader.run(4000, &anns);
        assert_eq!(leader.shares(), shares, "{failing} are down");

        let mut leader = Leader::with(4);
        let live: Vec<_> = (failing + 1..=4).map(ann).collect();
        leader.run(4000, &live);
        let held = if failing < 3 {
            4 - usize::try_from(failing).unwrap()
        } else {
            4
        };
        assert_eq!(leader.shares(), vec![1024; held], "{failing} are silent");
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
    leader.run(
        500,
        &[down(1), down(2), down(3), ann(4), in_state(5, Leaving)],
    );
    assert_eq!(leader.shares(), [1024, 1024, 1024, 1024, 0]);
    leader.run(
        500,
        &[ann(1), ann(2), down(3), ann(4), in_state(5, Leaving)],
    );
    assert_eq!(leader.shares(), [0, 0, 0, 1024, 0]);
    // One that is silent goes in the end, however many others are down.
    let mut leader = Leader::with(5);
    let others = [down(1), down(2), down(3), ann(4)];
    leader.run(32_500, &others);
    assert_eq!(leader.share(5), Some(1024));
    leader.run(500, &others);
    assert_eq!(leader.share(5), None);
    // A load report moves nothing down in a frozen service.
    let mut leader = Leader::with(3);
    let busy = Announcement {
        loads: loads(CARRY, CARRY, CARRY),
        ..ann(3)
    };
    leader.run(10_000, &[down(1), down(2), busy]);
    assert_eq!(leader.shares(), [1024; 3]);
}

/// Guards against reports that have no effect, an effect in the wrong
/// direction, or one that cannot be undone.
#[test]
fn load_reports_lower_a_share() {
    let cases = [
        (loads(CARRY, CARRY, 0), 1024),
        (loads(100 * CARRY, 0, 0), 1024),
        (loads(CARRY / 2, 0, 0), 512),
        (loads(CARRY, CARRY, CARRY), 512),
        (loads(CARRY / 2, CARRY / 2, CARRY / 2), 256),
        (loads(0, 0, 0), 128),
        (loads(u32::MAX, u32::MAX, u32::MAX), 128),
    ];
    for (loads, share) in cases {
        let mut leader = Leader::with(2);
        let busy = Announcement { loads, ..ann(1) };
        leader.run(4500, &[busy.clone(), ann(2)]);
        assert_eq!(leader.share(1), Some(1024), "{busy:?}");
        leader.run(1000, &[busy.clone(), ann(2)]);
        assert_eq!(leader.share(1), Some(share), "{busy:?}");
        leader.run(5500, &[ann(1), ann(2)]);
        assert_eq!(leader.share(1), Some(1024), "{busy:?}");
    }
}

/// Guards against a version for every load report.
#[test]
fn a_flood_of_load_reports_makes_no_version() {
    // Reports on both sides of a lowered share, never close to it.
    let report = |slots| Announcement {
        loads: loads(slots, 0, 0),
        ..ann(1)
    };
    let mut leader = Leader::with(2);
    leader.run(6000, &[report(CARRY / 2), ann(2)]);
    assert_eq!(leader.share(1), Some(512));
    let swing = [report(1), report(CARRY), ann(2)];
    assert_eq!(leader.run(20_000, &swing), []);

    let mut leader = Leader::with(7);
    let version = leader.registry.version();
    for n in 0..2000u32 {
        leader.now += 10;
        for id in 1..=7 {
            // Swings from idle to twice the slots.
            let busy = (n * 7 + u32::try_from(id).unwrap() * 3) % (2 * CARRY + 1);
            leader.announce(&Announcement {
                loads: loads(CARRY, busy, 0),
                ..ann(id)
            });
        }
        assert_eq!(leader.tick(), None);
    }
    assert_eq!(leader.registry.version(), version);
    let (_, loads) = leader.registry.loads(SERVICE).next().unwrap();
    assert_eq!(
        loads["default".parse().as_ref().unwrap()].in_flight.0,
        (1999 * 7 + 3) % 17
    );
}
