//! Decisions about datagrams: balancers for answers, packets of others,
//! first packets of a leaving agent and under a flood.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use agent::{
    connection::FirstPacket,
    process::{Balancers, Openers, Placement, Placements},
};
use route::{Arrival, Hop};
use types::{
    CidKey, FlowKey, KeyGeneration, KeySet, Member, Revision, Service, ServiceId, ServiceState,
    Share, UpstreamId, UpstreamState, Version,
};
use wire::{CidCodec, ConnectionId, ServiceTag};

/// Time after which a silent balancer is not used, as the design states it.
const SILENCE: Duration = Duration::from_millis(300);

const OWN: UpstreamId = UpstreamId(1);
const PEER: UpstreamId = UpstreamId(2);
const SERVICE: ServiceId = ServiceId(7);

fn address(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 443).into()
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn chosen(balancers: &mut Balancers, now: Instant) -> BTreeSet<SocketAddr> {
    (0..8).filter_map(|n| balancers.choose(now, n)).collect()
}

/// Guards against answers through a balancer that has not been heard for
/// longer than the stated time, and against none when all are silent.
#[test]
fn only_heard_balancers_are_used() {
    let start = Instant::now();
    let all = BTreeSet::from([address(1), address(2), address(3)]);
    let mut balancers: Balancers = Balancers::default();
    assert_eq!(balancers.choose(start, 0), None);
    balancers.set(start, &all);
    assert_eq!(chosen(&mut balancers, start), all, "none is heard yet");

    balancers.heard(start, address(1));
    balancers.heard(after(start, 200), address(2));
    balancers.heard(start, address(9));
    let both = BTreeSet::from([address(1), address(2)]);
    assert_eq!(chosen(&mut balancers, after(start, 299)), both);
    let second = BTreeSet::from([address(2)]);
    assert_eq!(chosen(&mut balancers, start + SILENCE), second);
    assert_eq!(chosen(&mut balancers, after(start, 500)), all);

    balancers.heard(after(start, 600), address(3));
    balancers.set(after(start, 600), &BTreeSet::from([address(1), address(3)]));
    let third = BTreeSet::from([address(3)]);
    assert_eq!(chosen(&mut balancers, after(start, 601)), third);
}

/// Guards against a dead balancer that is found too late: the probe of a silent
/// one must leave time for an answer within the stated time.
#[test]
fn silent_balancers_are_probed_in_time() {
    let start = Instant::now();
    let mut balancers: Balancers = Balancers::default();
    balancers.set(start, &BTreeSet::from([address(1), address(2)]));
    assert_eq!(balancers.due_probes(start), [address(1), address(2)]);
    assert!(balancers.due_probes(start).is_empty());
    balancers.heard(after(start, 50), address(1));
    let next = balancers.next_deadline().unwrap();
    assert!(next <= after(start, 150), "{:?}", next - start);
    assert_eq!(balancers.due_probes(after(start, 100)), [address(2)]);
    assert_eq!(balancers.due_probes(after(start, 150)), [address(1)]);
}

/// Guards against memory that grows in a flood of first packets.
#[test]
fn the_memory_of_first_packets_is_bounded() {
    let start = Instant::now();
    let mut openers = Openers::new(start);
    for n in 0..1 << 16 {
        openers.insert(start, FlowKey(n));
    }
    let held = (0..1 << 16).filter(|n| openers.contains(FlowKey(*n)));
    assert!(held.count() <= 1 << 15);
    // Two turns later none of them is left.
    openers.insert(after(start, 5_000), FlowKey(1 << 20));
    openers.insert(after(start, 10_000), FlowKey(1 << 21));
    assert!(!openers.contains(FlowKey(0)));
    assert!(openers.contains(FlowKey(1 << 20)));
}

/// Guards against handshakes without a bound, and against a caller that shows
/// its address and is asked again.
#[test]
fn many_handshakes_need_a_validated_address() {
    let cases = [
        (0, true, FirstPacket::Admit),
        (255, true, FirstPacket::Admit),
        (256, true, FirstPacket::Retry),
        (256, false, FirstPacket::Admit),
        (4095, true, FirstPacket::Retry),
        (4096, false, FirstPacket::Ignore),
        (4096, true, FirstPacket::Ignore),
    ];
    for (handshakes, may_retry, expected) in cases {
        let judged = FirstPacket::judge(handshakes, may_retry);
        assert_eq!(judged, expected, "{handshakes} {may_retry}");
    }
}

fn member(n: u8, share: u32) -> Member {
    Member {
        host: format!("h{n}").parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        data: address(n),
        peer: address(n),
        state: UpstreamState::Ready,
        share: Share(share),
        former_share: Share(share),
    }
}

/// A service of this agent with `own` share and a peer with all others.
fn state(own: u32) -> ServiceState {
    ServiceState {
        service: Service {
            id: SERVICE,
            name: "vouchers".parse().unwrap(),
            address: address(100),
            revision: Revision(1),
            author: "test".parse().unwrap(),
            targets: BTreeMap::new(),
        },
        members: BTreeMap::from([(OWN, member(1, own)), (PEER, member(2, 8))]),
        version: Version::default(),
    }
}

fn keys() -> CidCodec {
    CidCodec::new(&KeySet {
        current: CidKey {
            generation: KeyGeneration(1),
            secret: [3; 16],
        },
        other: None,
    })
}

/// A packet with a short header to an id of ours.
fn short(upstream: UpstreamId, service: ServiceId) -> Vec<u8> {
    let id = ConnectionId {
        upstream,
        tag: ServiceTag::from(service),
        nonce: 5,
    };
    let mut packet = vec![0x40];
    packet.extend_from_slice(&keys().encode(&id, 0));
    packet.extend_from_slice(&[0; 32]);
    packet
}

/// A first packet to an id that the caller chose.
fn initial(dcid: [u8; 8]) -> Vec<u8> {
    let mut packet = vec![0xc3, 0, 0, 0, 1, 8];
    packet.extend_from_slice(&dcid);
    packet.extend_from_slice(&[0; 1200]);
    packet
}

/// P2. Guards against packets of another service, of another run of the agent
/// or with an unknown id that reach the endpoint.
#[test]
fn packets_of_others_are_dropped() {
    let now = Instant::now();
    let mut placements = Placements::new(now, OWN);
    let own = short(OWN, SERVICE);
    let forwarded = Arrival::Forwarded;
    let before = placements.decide(now, address(100), forwarded, &own);
    assert_eq!(before, Placement::None("other_service"));

    placements.set(Some(state(8)), Some(keys()));
    let mut unknown = own.clone();
    unknown[5] ^= 1;
    let cases = [
        (100, own.clone(), Placement::Own),
        (100, initial([9; 8]), Placement::Own),
        (101, own, Placement::None("other_service")),
        (101, initial([9; 8]), Placement::None("other_service")),
        (
            100,
            short(OWN, ServiceId(8)),
            Placement::None("other_service"),
        ),
        (
            100,
            short(PEER, SERVICE),
            Placement::None("other_incarnation"),
        ),
        (100, unknown, Placement::None("unknown_id")),
    ];
    for (n, (to, packet, expected)) in cases.into_iter().enumerate() {
        let decided = placements.decide(now, address(to), forwarded, &packet);
        assert_eq!(decided, expected, "case {n}");
    }
}

/// P1, P6. Guards against a leaving agent that takes new flows, drops those
/// that it has begun, or sends a packet round among agents.
#[test]
fn a_leaving_agent_passes_first_packets_on() {
    let now = Instant::now();
    let mut placements = Placements::new(now, OWN);
    placements.set(Some(state(8)), Some(keys()));
    let decide = |placements: &mut Placements, dcid, arrival| {
        placements.decide(now, address(100), arrival, &initial(dcid))
    };
    assert_eq!(
        decide(&mut placements, [1; 8], Arrival::Forwarded),
        Placement::Own
    );
    placements.set(Some(state(0)), Some(keys()));
    placements.set_leaving(true);
    assert_eq!(
        decide(&mut placements, [1; 8], Arrival::Forwarded),
        Placement::Own
    );
    let peer = Hop {
        upstream: PEER,
        address: address(2),
    };
    for n in 2..20 {
        let passed = decide(&mut placements, [n; 8], Arrival::Forwarded);
        assert_eq!(passed, Placement::Other(peer));
        let again = decide(&mut placements, [n; 8], Arrival::PassedOn);
        assert!(matches!(again, Placement::None(_)), "{again:?}");
    }
    let open = placements.decide(now, address(100), Arrival::Forwarded, &short(OWN, SERVICE));
    assert_eq!(open, Placement::Own);
    placements.set_leaving(false);
    assert_eq!(
        decide(&mut placements, [3; 8], Arrival::Forwarded),
        Placement::Own
    );
}
