//! The group that a seed proposes, and when.

use std::{
    collections::BTreeSet,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use directory::{Ballot, FormationMessage};
use replica::{
    AcceptorState, FirstGroupPolicy, Formation, FormationSchedule, HeardHosts, MembershipSettings,
    first_member_id,
};
use types::MemberId;

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

fn seeds() -> BTreeSet<Ipv4Addr> {
    [ip(1), ip(2), ip(3)].into()
}

fn heard(controls: &[u8], observers: &[u8]) -> HeardHosts {
    HeardHosts {
        controls: controls
            .iter()
            .map(|n| (ip(*n), first_member_id(ip(*n))))
            .collect(),
        observers: observers.iter().map(|n| ip(*n)).collect(),
    }
}

fn policy(tolerated_losses: usize) -> FirstGroupPolicy {
    FirstGroupPolicy::new(&MembershipSettings {
        min_voters: 2 * tolerated_losses + 1,
        ..MembershipSettings::default()
    })
}

/// Guards against a group in which a majority of the voters is fewer than f + 1 disks, and
/// against one that a single loss ends although more hosts exist.
#[test]
fn the_group_has_enough_disks() {
    /// Number of voters, if a group is proposed.
    type Voters = Option<usize>;
    /// Hosts with a disk, observers, tolerated losses, and the voters without and with
    /// placeholders.
    type Case<'a> = (&'a [u8], &'a [u8], usize, Voters, Voters);
    let cases: [Case; 9] = [
        (&[1], &[], 0, Some(1), Some(1)),
        (&[1], &[], 1, None, None),
        (&[1, 2], &[], 1, Some(3), Some(3)),
        (&[1, 2], &[3], 1, None, Some(3)),
        (&[1, 2, 3, 4], &[], 1, Some(4), Some(4)),
        (&[1, 2], &[], 2, None, None),
        (&[1, 2, 3], &[], 2, None, Some(5)),
        (&[1, 2, 4, 5], &[], 2, Some(5), Some(5)),
        (&[4, 5, 6, 7, 8, 9, 10, 11, 12], &[], 2, Some(9), Some(9)),
    ];
    for (controls, observers, losses, without, with) in cases {
        let heard = heard(controls, observers);
        for (with_placeholders, expected) in [(false, without), (true, with)] {
            let group = policy(losses).group(&heard, &seeds(), with_placeholders);
            let len = group.as_ref().map(|group| group.0.len());
            assert_eq!(len, expected, "{controls:?} {observers:?} {losses}");
            let Some(group) = group else { continue };
            let disks = group
                .0
                .iter()
                .filter(|(_, ip)| heard.controls.contains_key(ip));
            assert!(disks.count() > losses);
            let ids: BTreeSet<MemberId> = group.0.iter().map(|(id, _)| *id).collect();
            assert_eq!(ids.len(), group.0.len(), "each voter has its own id");
        }
    }
}

/// Guards against seeds that interrupt one another's attempts for ever, and against a
/// group with placeholders before the other hosts had time to be heard.
#[test]
fn seeds_take_turns_and_back_off() {
    let start = Instant::now();
    let schedules = [0, 1, 2].map(|rank| FormationSchedule::new(rank, start));
    let firsts = schedules.map(|schedule| (schedule.next_at() - start).as_millis());
    assert_eq!(firsts, [1200, 1600, 2000]);
    assert!(!schedules[0].allows_placeholders(start + Duration::from_millis(2900)));
    assert!(schedules[0].allows_placeholders(start + Duration::from_secs(3)));
    let mut schedule = schedules[0];
    let pauses = [0; 5].map(|_| {
        let at = schedule.next_at();
        schedule.attempted(at);
        (schedule.next_at() - at).as_millis()
    });
    assert_eq!(pauses, [800, 1600, 3200, 6400, 6400]);
    let now = schedule.next_at();
    schedule.defer(now);
    assert_eq!(schedule.next_at() - now, Duration::from_millis(400));
}

/// Guards against an answer that is sent although the promise behind it is not saved, and
/// against a restarted seed that uses a ballot twice.
#[test]
fn promises_are_saved_before_they_are_sent() {
    let group = policy(1)
        .group(&heard(&[1, 2, 3], &[]), &seeds(), false)
        .unwrap();
    let mut seed = Formation::new(ip(2), AcceptorState::new(seeds()));
    let ballot = Ballot {
        round: 7,
        proposer: ip(1),
    };
    let out = seed.receive(ip(1), FormationMessage::Prepare(ballot));
    assert!(out.state_changed);
    let accepted = None;
    assert_eq!(
        out.messages,
        [(ip(1), FormationMessage::Promise { ballot, accepted })]
    );
    // Sent again, the same request gets the same answer.
    let again = seed.receive(ip(1), FormationMessage::Prepare(ballot));
    assert_eq!(
        (again.state_changed, &again.messages),
        (false, &out.messages)
    );
    let out = seed.propose(group.clone());
    assert!(out.state_changed);
    let own = seed.attempt().unwrap();
    assert!(own > ballot);
    let out = seed.receive(ip(1), FormationMessage::Prepare(ballot));
    let promised = own;
    assert_eq!(
        out.messages,
        [(ip(1), FormationMessage::Rejected { ballot, promised })]
    );
    let mut restarted = Formation::new(ip(2), seed.acceptor().clone());
    restarted.propose(group);
    assert!(restarted.attempt().unwrap() > own);
}
