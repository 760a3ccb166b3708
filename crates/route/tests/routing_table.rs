//! Decisions of the routing table: their reasons, and properties over random
//! updates.

use std::{collections::BTreeMap, net::SocketAddr};

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use route::{Arrival, Decision, DropReason, Hop, RoutingTable, address_flow_key, flow_key};
use types::{
    FlowKey, FlowPhase, Revision, Service, ServiceId, ServiceState, Share, UpstreamId,
    UpstreamMember, UpstreamState, Version,
};

/// Number of random cases per property; the case number is the seed.
const CASES: u64 = 128;

/// Bytes of random input per case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 256;

const PHASES: [FlowPhase; 2] = [FlowPhase::New, FlowPhase::Established];

fn address(service: u32, at: u64) -> SocketAddr {
    format!("10.0.{service}.{at}:443").parse().unwrap()
}

/// A service whose members are given by id, current share and former share.
fn state(id: u32, members: &[(u64, u32, u32)]) -> ServiceState {
    let member = |&(upstream, share, former): &(u64, u32, u32)| {
        let member = UpstreamMember {
            host: "h1".parse().unwrap(),
            data_centre: "dc1".parse().unwrap(),
            data_address: address(id, upstream),
            peer_address: address(id, upstream),
            state: UpstreamState::Ready,
            share: Share(share),
            previous_share: Share(former),
            evacuated: false,
        };
        (UpstreamId(upstream), member)
    };
    ServiceState {
        service: Service {
            id: ServiceId(id),
            name: format!("s{id}").parse().unwrap(),
            address: address(id, 255),
            revision: Revision(1),
            author: "test".parse().unwrap(),
            targets: BTreeMap::new(),
        },
        members: members.iter().map(member).collect(),
        version: Version::default(),
    }
}

fn table(states: &[ServiceState]) -> RoutingTable {
    let mut table = RoutingTable::default();
    table.apply(states.iter().cloned(), []);
    table
}

fn hop(service: u32, upstream: u64) -> Hop {
    Hop {
        upstream: UpstreamId(upstream),
        address: address(service, upstream),
    }
}

/// Up to four services. An upstream id may be in several of them, as a forged
/// announcement could cause.
fn arbitrary_states(u: &mut Unstructured<'_>) -> Result<Vec<ServiceState>> {
    let mut states = Vec::new();
    for id in 0..u.int_in_range(0..=4)? {
        let mut members = Vec::new();
        for _ in 0..u.int_in_range(0..=6)? {
            let upstream = u.int_in_range(0..=9)?;
            members.push((upstream, u.int_in_range(0..=3)?, u.int_in_range(0..=3)?));
        }
        states.push(state(id, &members));
    }
    Ok(states)
}

/// Guards against a wrong reason, and against an upstream that is leaving or
/// down and loses the flows whose connection id contains it.
#[test]
fn decide_forwards_or_returns_the_reason() {
    let mut down = state(1, &[(1, 1024, 1024), (2, 0, 1024), (3, 0, 0)]);
    down.members.get_mut(&UpstreamId(2)).unwrap().state = UpstreamState::Leaving;
    down.members.get_mut(&UpstreamId(3)).unwrap().state = UpstreamState::Down;
    let table = table(&[
        down,
        state(2, &[(4, 1, 1)]),
        state(3, &[(5, 0, 0)]),
        state(4, &[]),
    ]);
    let cases = [
        (1, None, Ok(1)),
        (1, Some(1), Ok(1)),
        (1, Some(2), Ok(2)),
        (1, Some(3), Ok(3)),
        (1, Some(4), Err(DropReason::OtherService)),
        (1, Some(6), Err(DropReason::UnknownUpstream)),
        (2, None, Ok(4)),
        (3, None, Err(DropReason::NoUpstream)),
        (3, Some(5), Ok(5)),
        (4, None, Err(DropReason::NoUpstream)),
        (4, Some(1), Err(DropReason::OtherService)),
        (9, None, Err(DropReason::UnknownService)),
        (9, Some(1), Err(DropReason::UnknownService)),
    ];
    for (service, upstream, expected) in cases {
        for phase in PHASES {
            let id = ServiceId(service);
            let flow = flow_key(id, b"flow");
            let decision = table.decide(id, flow, phase, upstream.map(UpstreamId));
            let expected = expected.map(|upstream| hop(service, upstream));
            let expected = expected.map_or_else(Decision::Drop, Decision::Forward);
            assert_eq!(decision, expected, "{service} {upstream:?} {phase:?}");
        }
    }
}

/// Guards against an agent that drops a datagram of a flow that another agent
/// holds, or accepts an opening datagram while it leaves.
#[test]
fn pass_on_returns_the_other_owner() {
    let moved = table(&[state(1, &[(1, 0, 1), (2, 1, 0), (3, 0, 0)])]);
    let unchanged = table(&[state(1, &[(1, 1, 1), (3, 0, 0)])]);
    let without_owner = table(&[state(1, &[(1, 0, 1)])]);
    let without_former = table(&[state(1, &[(1, 1, 0)])]);
    let [opens, continues] = PHASES;
    let cases = [
        (&moved, 1, 2, continues, Ok(1)),
        (&moved, 1, 1, continues, Ok(2)),
        (&moved, 1, 3, continues, Ok(2)),
        (&moved, 1, 9, continues, Ok(2)),
        (&moved, 1, 1, opens, Ok(2)),
        (&moved, 1, 3, opens, Ok(2)),
        (&moved, 1, 2, opens, Err(DropReason::NotHeld)),
        (&unchanged, 1, 1, continues, Err(DropReason::NotHeld)),
        (&without_former, 1, 1, continues, Err(DropReason::NotHeld)),
        (&without_owner, 1, 1, opens, Err(DropReason::NoUpstream)),
        (&without_owner, 1, 1, continues, Err(DropReason::NoUpstream)),
        (&moved, 2, 1, opens, Err(DropReason::UnknownService)),
    ];
    for (table, service, own, phase, expected) in cases {
        let (id, own) = (ServiceId(service), UpstreamId(own));
        let flow = flow_key(id, b"flow");
        let decision = table.pass_on(id, flow, own, phase, Arrival::Forwarded);
        let expected = expected.map(|upstream| hop(service, upstream));
        let expected = expected.map_or_else(Decision::Drop, Decision::PassOn);
        assert_eq!(decision, expected, "{own} {phase:?}");
    }
}

/// Guards against an opening datagram that is passed on although the agent
/// accepts new flows: a balancer with an older version had sent it.
#[test]
fn an_upstream_with_a_share_does_not_pass_on_opening_datagrams() {
    let table = table(&[state(1, &[(1, 1, 1), (2, 1, 1)])]);
    let flow = flow_key(ServiceId(1), b"flow");
    for own in [1, 2].map(UpstreamId) {
        let phase = FlowPhase::New;
        let decision = table.pass_on(ServiceId(1), flow, own, phase, Arrival::Forwarded);
        assert_eq!(decision, Decision::Drop(DropReason::NotHeld), "{own}");
    }
}

/// Guards against a datagram that reaches another service (P2).
#[test]
fn a_hop_belongs_to_the_requested_service() {
    for case in 0..CASES {
        arbtest(|u| {
            let states = arbitrary_states(u)?;
            let table = table(&states);
            let flow = FlowKey(u.arbitrary()?);
            for (service, own) in (0..5).flat_map(|s| (0..11).map(move |own| (s, own))) {
                let (id, own) = (ServiceId(service), UpstreamId(own));
                for phase in PHASES {
                    let decisions = [
                        table.decide(id, flow, phase, None),
                        table.decide(id, flow, phase, Some(own)),
                        table.pass_on(id, flow, own, phase, Arrival::Forwarded),
                    ];
                    for decision in decisions {
                        if let Decision::Forward(to) | Decision::PassOn(to) = decision {
                            assert_eq!(to, hop(service, to.upstream.0));
                            let state = &states[service as usize];
                            assert!(state.members.contains_key(&to.upstream));
                        }
                    }
                }
            }
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}

/// Guards against hosts that differ because they received different updates.
#[test]
fn tables_depend_only_on_the_last_states() {
    for case in 0..CASES {
        arbtest(|u| {
            let mut last = arbitrary_states(u)?;
            let mut other = RoutingTable::default();
            for _ in 0..u.int_in_range(0..=3)? {
                let gone = u.int_in_range(0..=5)?;
                let mut earlier = arbitrary_states(u)?;
                earlier.reverse();
                if let Some(state) = earlier.first_mut() {
                    // The service has the address of another one for a while.
                    state.service.address = address(gone, 255);
                }
                other.apply(earlier, [ServiceId(gone)]);
            }
            let direct = table(&last);
            last.reverse();
            let unknown = (0..5)
                .map(ServiceId)
                .filter(|id| id.0 as usize >= last.len());
            other.apply(last.iter().cloned(), unknown);
            assert_eq!(direct, other);
            for state in &last {
                let service = &state.service;
                assert_eq!(other.service_by_address(service.address), Some(service.id));
            }
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}

/// Guards against an address that routes to a deleted service.
#[test]
fn a_reused_service_address_belongs_to_the_newer_service() {
    let old = state(1, &[(1, 1, 1)]);
    let mut new = state(2, &[(2, 1, 1)]);
    new.service.address = old.service.address;
    let found = |table: &RoutingTable| table.service_by_address(old.service.address);
    for states in [[old.clone(), new.clone()], [new, old.clone()]] {
        let mut table = table(&states);
        assert_eq!(found(&table), Some(ServiceId(2)));
        table.apply([], [ServiceId(2)]);
        assert_eq!(found(&table), Some(ServiceId(1)));
        table.apply([], [ServiceId(1)]);
        assert_eq!(found(&table), None);
        assert_eq!(table, RoutingTable::default());
    }
}

/// Guards against new flows for a leaving upstream (P6) and against the loss of
/// its flows (P1), over all buckets that the flows map to.
#[test]
fn a_leaving_upstream_keeps_its_flows_and_gets_no_new_ones() {
    let before = table(&[state(1, &[(1, 1, 1), (2, 1, 1), (3, 1, 1)])]);
    let after = table(&[state(1, &[(1, 0, 1), (2, 1, 1), (3, 1, 1)])]);
    let (id, leaving) = (ServiceId(1), UpstreamId(1));
    let mut held = 0;
    for n in 0..1000_u32 {
        let flow = flow_key(id, &n.to_be_bytes());
        let [was, now] = [&before, &after].map(|t| t.decide(id, flow, FlowPhase::New, None));
        let Decision::Forward(owner) = now else {
            panic!("{now:?}")
        };
        assert_ne!(owner.upstream, leaving);
        if was == Decision::Forward(hop(1, 1)) {
            held += 1;
            let continued = after.decide(id, flow, FlowPhase::Established, Some(leaving));
            assert_eq!(continued, was);
            let phase = FlowPhase::Established;
            let passed = after.pass_on(id, flow, owner.upstream, phase, Arrival::Forwarded);
            assert_eq!(passed, Decision::PassOn(hop(1, 1)));
        }
    }
    assert!(held > 200, "{held}");
}

/// Guards against two agents that send a datagram back and forth because their
/// versions differ.
#[test]
fn a_datagram_is_passed_on_at_most_once() {
    for case in 0..CASES {
        arbtest(|u| {
            let tables = [table(&arbitrary_states(u)?), table(&arbitrary_states(u)?)];
            let flow = FlowKey(u.arbitrary()?);
            for (own, phase) in (0..10).flat_map(|own| PHASES.map(|phase| (own, phase))) {
                let (mut own, mut arrival, mut passes) = (UpstreamId(own), Arrival::Forwarded, 0);
                for table in tables.iter().cycle().take(8) {
                    let Decision::PassOn(hop) =
                        table.pass_on(ServiceId(0), flow, own, phase, arrival)
                    else {
                        break;
                    };
                    assert_ne!(hop.upstream, own);
                    (own, arrival, passes) = (hop.upstream, Arrival::PassedOn, passes + 1);
                }
                assert!(passes <= 1, "{passes}");
            }
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}

/// Guards against flows of an earlier incarnation of an agent that reach its
/// successor at the same address.
#[test]
fn a_reused_address_does_not_receive_flows_of_the_former_upstream() {
    let mut table = table(&[state(1, &[(1, 1, 1)])]);
    let mut next = state(1, &[(2, 1, 1)]);
    next.members.get_mut(&UpstreamId(2)).unwrap().data_address = address(1, 1);
    table.apply([next], []);
    let decide = |id| {
        let flow = flow_key(ServiceId(1), b"flow");
        table.decide(
            ServiceId(1),
            flow,
            FlowPhase::Established,
            Some(UpstreamId(id)),
        )
    };
    assert_eq!(decide(1), Decision::Drop(DropReason::UnknownUpstream));
    assert!(matches!(decide(2), Decision::Forward(to) if to.address == address(1, 1)));
}

/// Guards against an entry that keeps the owners or addresses of an older
/// state.
#[test]
fn a_changed_address_of_an_upstream_is_used_at_once() {
    let mut table = table(&[state(1, &[(1, 1, 1), (2, 0, 0)])]);
    let mut moved = state(1, &[(0, 0, 0), (1, 1, 1)]);
    moved.members.get_mut(&UpstreamId(1)).unwrap().data_address = address(1, 7);
    table.apply([moved], []);
    let flow = flow_key(ServiceId(1), b"flow");
    let decision = table.decide(ServiceId(1), flow, FlowPhase::New, None);
    assert!(matches!(decision, Decision::Forward(to) if to.address == address(1, 7)));
}

/// Guards against duplicate metric labels.
#[test]
fn reasons_are_ordered_and_have_distinct_labels() {
    let labels: std::collections::BTreeSet<_> = DropReason::ALL.map(DropReason::as_str).into();
    assert_eq!(labels.len(), DropReason::ALL.len());
    assert!(DropReason::ALL.is_sorted());
    assert_eq!(DropReason::NotHeld.to_string(), "not_held");
}

/// Guards against flow keys that differ between hosts, between releases, or
/// between the two forms of an IPv4 address.
#[test]
fn flow_keys_do_not_change_between_releases() {
    let [v4, mapped, other] = ["192.0.2.1:7", "[::ffff:192.0.2.1]:7", "192.0.2.1:8"]
        .map(|caller| address_flow_key(ServiceId(1), caller.parse().unwrap(), address(1, 255)));
    assert_eq!(v4, mapped);
    assert_ne!(v4, other);
    assert_ne!(flow_key(ServiceId(1), b"id"), flow_key(ServiceId(2), b"id"));
    assert_eq!(
        flow_key(ServiceId(1), b"id"),
        FlowKey(17_408_647_788_486_994_167)
    );
}
