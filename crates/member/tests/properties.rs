//! What holds whatever happens in whatever order.

mod common;

use std::collections::BTreeMap;

use arbtest::{arbitrary, arbtest};
use common::{Leader, ann, busy, cold, host};
use types::{Announcement, Member, Share, UpstreamId, UpstreamState::*};

/// Number of random runs; the case number is the seed.
const CASES: u64 = 500;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 4096;

/// Lease of an announcement in milliseconds.
const LEASE: u64 = 3000;

/// Guards against live upstreams that disappear, new work for upstreams that
/// leave, versions that go back, publications of a leader that has not heard
/// everybody, and a lone upstream that gets the work of all.
#[test]
fn memberships_keep_their_promises() {
    for case in 0..CASES {
        arbtest(random_run).seed(case << 32 | INPUT_BYTES);
    }
}

fn random_run(u: &mut arbitrary::Unstructured) -> arbitrary::Result<()> {
    let mut leader = Leader::new();
    // What each upstream last said, and when.
    let mut heard = BTreeMap::new();
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
                let ready_for = if u.arbitrary()? { ann(n) } else { cold(n) }.ready_for;
                let ann = Announcement {
                    state: *u.choose(&[Ready, Ready, Ready, Leaving, Down])?,
                    ready_for,
                    ..busy(n, 8, u.int_in_range(0..=20)?, u.int_in_range(0..=5)?)
                };
                leader.announce(&ann);
                heard.insert(n, (leader.now, ann.state));
            }
            _ => {
                leader.now += u.int_in_range(0..=1500)?;
                let (version, members) = (leader.registry.version(), leader.members().clone());
                let published = leader.tick().is_some();
                assert_eq!(leader.registry.version() > version, published);
                check(&leader, &heard, drained, &members);
            }
        }
    }
    Ok(())
}

fn check(
    leader: &Leader,
    heard: &BTreeMap<u64, (u64, types::UpstreamState)>,
    drained: [bool; 6],
    before: &BTreeMap<UpstreamId, Member>,
) {
    let (version, members) = (leader.registry.version(), leader.members());
    if leader.now < LEASE {
        assert_eq!((version, members.len()), (None, 0));
        return;
    }
    let (mut usable, mut failing) = (0, 0);
    for (n, (at, state)) in heard {
        let live = at + LEASE > leader.now;
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
