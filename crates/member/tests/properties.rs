//! Invariants that hold for any sequence of events.

mod common;

use std::collections::BTreeMap;

use arbtest::{arbitrary, arbtest};
use common::{Leader, announcement, host, newly_ready, with_load};
use types::{Share, UpstreamAnnouncement, UpstreamId, UpstreamMember, UpstreamState::*};

/// Number of random runs; the case number is the seed.
const CASES: u64 = 500;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 4096;

/// Lease of an announcement in milliseconds.
const LEASE_MILLIS: u64 = 3000;

/// Guards against live upstreams that disappear, new work for leaving upstreams,
/// versions that decrease, publications before one lease has passed, and a
/// single remaining upstream that gets the load of all.
#[test]
fn invariants_hold_after_any_events() {
    for case in 0..CASES {
        arbtest(random_run).seed(case << 32 | INPUT_BYTES);
    }
}

fn random_run(u: &mut arbitrary::Unstructured) -> arbitrary::Result<()> {
    let mut leader = Leader::new();
    // Time and state of the last announcement of each upstream.
    let mut announced = BTreeMap::new();
    let mut drained = [false; 6];
    for _ in 0..u.int_in_range(1..=150)? {
        let n = u.int_in_range(1..=5)?;
        match u.int_in_range(0..=9)? {
            0 => {
                let mark = &mut drained[usize::try_from(n).unwrap()];
                *mark = u.arbitrary()?;
                leader.registry.set_drain(&host(n), *mark);
            }
            1..=6 => {
                let ready_for = if u.arbitrary()? {
                    announcement(n)
                } else {
                    newly_ready(n)
                }
                .ready_for;
                let announcement = UpstreamAnnouncement {
                    state: *u.choose(&[Ready, Ready, Ready, Leaving, Down])?,
                    ready_for,
                    ..with_load(n, 8, u.int_in_range(0..=20)?, u.int_in_range(0..=5)?)
                };
                leader.announce(&announcement);
                announced.insert(n, (leader.now, announcement.state));
            }
            _ => {
                leader.now += u.int_in_range(0..=1500)?;
                let (version, members) = (leader.registry.version(), leader.members().clone());
                let published = leader.tick().is_some();
                assert_eq!(leader.registry.version() > version, published);
                check(&leader, &announced, drained, &members);
            }
        }
    }
    Ok(())
}

fn check(
    leader: &Leader,
    announced: &BTreeMap<u64, (u64, types::UpstreamState)>,
    drained: [bool; 6],
    before: &BTreeMap<UpstreamId, UpstreamMember>,
) {
    let (version, members) = (leader.registry.version(), leader.members());
    if leader.now < LEASE_MILLIS {
        assert_eq!((version, members.len()), (None, 0));
        return;
    }
    let (mut usable, mut failing) = (0, 0);
    for (n, (at, state)) in announced {
        let live = at + LEASE_MILLIS > leader.now;
        let leaves = *state == Leaving || drained[usize::try_from(*n).unwrap()];
        let listed = members.get(&UpstreamId(*n));
        assert!(listed.is_some() || !live, "{n} has a lease");
        if leaves {
            assert!(listed.is_none_or(|m| m.share == Share(0)), "{n} leaves");
        } else if live && *state == Ready {
            usable += 1;
        } else if live || listed.is_some() {
            failing += 1;
        }
    }
    for (id, member) in members {
        assert!(member.share <= Share::FULL);
        let leaves = member.state == Leaving || drained[usize::try_from(id.0).unwrap()];
        let present = before.get(id).map_or(Share(0), |m| m.share);
        if usable < failing && !leaves {
            assert!(member.share >= present, "{id} is in a frozen service");
        }
        if usable >= failing && member.state == Down {
            assert_eq!(member.share, Share(0), "{id} is down");
        }
    }
}
