//! Routing of datagrams: choice of balancers, misdirected packets, and Initial
//! packets while the agent drains and under a flood.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use agent::{
    connection::HandshakeDecision,
    process::{BalancerTracker, PacketDecision, PacketRouter, RecentFlows},
};
use route::{Arrival, Hop};
use types::{
    CidKey, FlowKey, KeyGeneration, KeySet, Revision, Service, ServiceId, ServiceState, Share,
    UpstreamId, UpstreamMember, UpstreamState, Version,
};
use wire::{CidCodec, ConnectionId, ServiceTag};

/// Time without a datagram after which a balancer must not be used, by design.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(300);

const OWN: UpstreamId = UpstreamId(1);
const PEER: UpstreamId = UpstreamId(2);
const SERVICE: ServiceId = ServiceId(7);

fn address(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 443).into()
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn chosen(balancers: &mut BalancerTracker, now: Instant) -> BTreeSet<SocketAddr> {
    (0..8).filter_map(|n| balancers.choose(now, n)).collect()
}

/// Guards against packets through a balancer that has been unreachable for
/// longer than the design allows, and against sending none when all balancers
/// are unreachable.
#[test]
fn only_reachable_balancers_are_used() {
    let start = Instant::now();
    let all = BTreeSet::from([address(1), address(2), address(3)]);
    let mut balancers: BalancerTracker = BalancerTracker::default();
    assert_eq!(balancers.choose(start, 0), None);
    balancers.set_known(start, &all);
    assert_eq!(chosen(&mut balancers, start), all, "none is reachable yet");

    balancers.note_datagram(start, address(1));
    balancers.note_datagram(after(start, 200), address(2));
    balancers.note_datagram(start, address(9));
    let both = BTreeSet::from([address(1), address(2)]);
    assert_eq!(chosen(&mut balancers, after(start, 299)), both);
    let second = BTreeSet::from([address(2)]);
    assert_eq!(chosen(&mut balancers, start + UNREACHABLE_TIMEOUT), second);
    assert_eq!(chosen(&mut balancers, after(start, 500)), all);

    balancers.note_datagram(after(start, 600), address(3));
    balancers.set_known(after(start, 600), &BTreeSet::from([address(1), address(3)]));
    let third = BTreeSet::from([address(3)]);
    assert_eq!(chosen(&mut balancers, after(start, 601)), third);
}

/// Bytes of a probe and its reply with their UDP and IPv4 headers.
const PROBE_BYTES: usize = 2 * (16 + 28);

/// Bytes per second that a node may spend on control traffic, by design.
const MAX_CONTROL_BYTES_PER_SECOND: usize = 2_000;

/// Bytes per second of an agent's syncs at 0.2 changes per second, from the
/// control benchmark.
const SYNC_BYTES_PER_SECOND: usize = 568;

/// Simulates a second in steps of 10 ms, in which all but the `dead` balancers
/// reply to their probes. A packet is sent at every `send_every`th step. Returns
/// the bytes of the probes, and the balancers that were chosen later than
/// [`UNREACHABLE_TIMEOUT`] after the start.
fn simulate_second(
    balancers: &mut BalancerTracker,
    start: Instant,
    dead: &BTreeSet<SocketAddr>,
    send_every: Option<u64>,
) -> (usize, BTreeSet<SocketAddr>) {
    let mut bytes = 0;
    let mut used = BTreeSet::new();
    for step in 0..100 {
        let now = after(start, 10 * step);
        if send_every.is_some_and(|every| step % every == 0) {
            let chosen = balancers.choose(now, usize::try_from(step).unwrap());
            if now > start + UNREACHABLE_TIMEOUT {
                used.extend(chosen);
            }
        }
        if balancers.next_deadline().is_some_and(|at| at <= now) {
            for probed in balancers.due_probes(now) {
                bytes += PROBE_BYTES;
                if !dead.contains(&probed) {
                    balancers.note_datagram(now, probed);
                }
            }
        }
    }
    (bytes, used)
}

/// Guards against a dead balancer that is used for longer than the design allows,
/// and against probes that exceed the control traffic of a node.
#[test]
fn probes_detect_a_dead_balancer_at_a_bounded_rate() {
    let all: BTreeSet<_> = (1..=4).map(address).collect();
    let none = BTreeSet::new();
    for send_every in [None, Some(50), Some(1)] {
        let start = Instant::now();
        let mut balancers: BalancerTracker = BalancerTracker::default();
        balancers.set_known(start, &all);
        for second in 0..11 {
            let now = after(start, 1_000 * second);
            let (bytes, _) = simulate_second(&mut balancers, now, &none, send_every);
            let total = bytes + SYNC_BYTES_PER_SECOND;
            assert!(
                total <= MAX_CONTROL_BYTES_PER_SECOND,
                "{total} bytes in second {second}, {send_every:?}"
            );
        }
        let dead = BTreeSet::from([address(1), address(2)]);
        // Halfway between two probes of balancers that are not kept reachable.
        for second in 11..14 {
            let now = after(start, 1_000 * second);
            let (_, used) = simulate_second(&mut balancers, now, &dead, send_every);
            assert!(used.is_disjoint(&dead), "{used:?} in second {second}");
            assert_eq!(used.is_empty(), send_every.is_none());
        }
    }
}

/// Guards against a recovered balancer that is never used again.
#[test]
fn a_recovered_balancer_is_used_again() {
    let start = Instant::now();
    let all = BTreeSet::from([address(1), address(2)]);
    let mut balancers: BalancerTracker = BalancerTracker::default();
    balancers.set_known(start, &all);
    let dead = BTreeSet::from([address(1)]);
    simulate_second(&mut balancers, start, &dead, Some(5));
    for second in 1..4 {
        let now = after(start, 1_000 * second);
        let (_, used) = simulate_second(&mut balancers, now, &BTreeSet::new(), Some(5));
        assert!(used.contains(&address(2)));
        assert!(second < 3 || used.contains(&address(1)));
    }
}

/// Guards against memory that grows in a flood of Initial packets.
#[test]
fn the_number_of_recent_flows_is_bounded() {
    let start = Instant::now();
    let mut flows = RecentFlows::new(start);
    for n in 0..1 << 16 {
        flows.insert(start, FlowKey(n));
    }
    let remembered = (0..1 << 16).filter(|n| flows.contains(FlowKey(*n)));
    assert!(remembered.count() <= 1 << 15);
    // After two rotations none of them is left.
    flows.insert(after(start, 5_000), FlowKey(1 << 20));
    flows.insert(after(start, 10_000), FlowKey(1 << 21));
    assert!(!flows.contains(FlowKey(0)));
    assert!(flows.contains(FlowKey(1 << 20)));
}

/// Guards against an unbounded number of handshakes, and against a second Retry
/// for a validated address.
#[test]
fn many_handshakes_require_address_validation() {
    let cases = [
        (0, true, HandshakeDecision::Accept),
        (255, true, HandshakeDecision::Accept),
        (256, true, HandshakeDecision::Retry),
        (256, false, HandshakeDecision::Accept),
        (4095, true, HandshakeDecision::Retry),
        (4096, false, HandshakeDecision::Ignore),
        (4096, true, HandshakeDecision::Ignore),
    ];
    for (handshakes, may_retry, expected) in cases {
        let decided = HandshakeDecision::decide(handshakes, may_retry);
        assert_eq!(decided, expected, "{handshakes} {may_retry}");
    }
}

fn member(n: u8, share: u32) -> UpstreamMember {
    UpstreamMember {
        host: format!("h{n}").parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        data_address: address(n),
        peer_address: address(n),
        state: UpstreamState::Ready,
        share: Share(share),
        previous_share: Share(share),
        evacuated: false,
    }
}

/// A service in which this agent has the share `own_share` and a peer 8.
fn service_state(own_share: u32) -> ServiceState {
    ServiceState {
        service: Service {
            id: SERVICE,
            name: "vouchers".parse().unwrap(),
            address: address(100),
            revision: Revision(1),
            author: "test".parse().unwrap(),
            targets: BTreeMap::new(),
        },
        members: BTreeMap::from([(OWN, member(1, own_share)), (PEER, member(2, 8))]),
        version: Version::default(),
    }
}

fn cid_codec() -> CidCodec {
    CidCodec::new(&KeySet {
        current: CidKey {
            generation: KeyGeneration(1),
            secret: [3; 16],
        },
        other: None,
    })
}

/// A packet with a short header and a connection id that this system issued.
fn short_packet(upstream: UpstreamId, service: ServiceId) -> Vec<u8> {
    let id = ConnectionId {
        upstream,
        tag: ServiceTag::from(service),
        nonce: 5,
    };
    let mut packet = vec![0x40];
    packet.extend_from_slice(&cid_codec().encode(&id, 0));
    packet.extend_from_slice(&[0; 32]);
    packet
}

/// An Initial packet with a connection id that the caller chose.
fn initial_packet(dcid: [u8; 8]) -> Vec<u8> {
    let mut packet = vec![0xc3, 0, 0, 0, 1, 8];
    packet.extend_from_slice(&dcid);
    packet.extend_from_slice(&[0; 1200]);
    packet
}

/// P2. Guards against delivering packets for another service, for another
/// incarnation of the agent or with an unknown connection id to the endpoint.
#[test]
fn misdirected_packets_are_dropped() {
    let now = Instant::now();
    let mut router = PacketRouter::new(now, OWN);
    let own = short_packet(OWN, SERVICE);
    let forwarded = Arrival::Forwarded;
    let before = router.decide(now, address(100), forwarded, &own);
    assert_eq!(before, PacketDecision::Drop("other_service"));

    router.configure(Some(service_state(8)), Some(cid_codec()));
    let mut unknown = own.clone();
    unknown[5] ^= 1;
    let cases = [
        (100, own.clone(), PacketDecision::Deliver),
        (100, initial_packet([9; 8]), PacketDecision::Deliver),
        (101, own, PacketDecision::Drop("other_service")),
        (
            101,
            initial_packet([9; 8]),
            PacketDecision::Drop("other_service"),
        ),
        (
            100,
            short_packet(OWN, ServiceId(8)),
            PacketDecision::Drop("other_service"),
        ),
        (
            100,
            short_packet(PEER, SERVICE),
            PacketDecision::Drop("other_incarnation"),
        ),
        (100, unknown, PacketDecision::Drop("unknown_id")),
    ];
    for (n, (to, packet, expected)) in cases.into_iter().enumerate() {
        let decided = router.decide(now, address(to), forwarded, &packet);
        assert_eq!(decided, expected, "case {n}");
    }
}

/// P1, P6. Guards against a draining agent that accepts new flows, drops those
/// that it has started, or creates a loop of packets between agents.
#[test]
fn a_draining_agent_passes_initial_packets_on() {
    let now = Instant::now();
    let mut router = PacketRouter::new(now, OWN);
    router.configure(Some(service_state(8)), Some(cid_codec()));
    let decide = |router: &mut PacketRouter, dcid, arrival| {
        router.decide(now, address(100), arrival, &initial_packet(dcid))
    };
    assert_eq!(
        decide(&mut router, [1; 8], Arrival::Forwarded),
        PacketDecision::Deliver
    );
    router.configure(Some(service_state(0)), Some(cid_codec()));
    router.set_leaving(true);
    assert_eq!(
        decide(&mut router, [1; 8], Arrival::Forwarded),
        PacketDecision::Deliver
    );
    let peer = Hop {
        upstream: PEER,
        address: address(2),
    };
    for n in 2..20 {
        let decided = decide(&mut router, [n; 8], Arrival::Forwarded);
        assert_eq!(decided, PacketDecision::PassOn(peer));
        let again = decide(&mut router, [n; 8], Arrival::PassedOn);
        assert!(matches!(again, PacketDecision::Drop(_)), "{again:?}");
    }
    let established = router.decide(
        now,
        address(100),
        Arrival::Forwarded,
        &short_packet(OWN, SERVICE),
    );
    assert_eq!(established, PacketDecision::Deliver);
    router.set_leaving(false);
    assert_eq!(
        decide(&mut router, [3; 8], Arrival::Forwarded),
        PacketDecision::Deliver
    );
}
