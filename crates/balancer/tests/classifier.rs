//! Classification of single datagrams, by example and for random versions.

mod common;

use std::{collections::BTreeMap, net::SocketAddr};

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use balancer::{Classifier, DropCause, Verdict};
use common::{cid, keys, long, short, snapshot, state};
use route::{DropReason, Hop};
use types::{ServiceId, ServiceState, UpstreamId};
use wire::{Category, Endpoints, Update};

/// Number of random cases of each property; the case number is the seed.
const CASES: u64 = 512;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 4096;

const INITIAL: u8 = 0;
const ZERO_RTT: u8 = 1;
const HANDSHAKE: u8 = 2;

fn service(n: u32) -> SocketAddr {
    format!("198.51.100.{n}:443").parse().unwrap()
}

fn agent(n: u8) -> SocketAddr {
    format!("10.0.0.{n}:7200").parse().unwrap()
}

fn endpoints_to(n: u32) -> Endpoints {
    Endpoints {
        caller: "192.0.2.7:50000".parse().unwrap(),
        service: service(n),
    }
}

/// Service 1 with upstream 10, service 2 with upstream 20, and service 3 whose
/// upstream 30 has no share.
fn classifier() -> Classifier {
    let services = vec![
        state(1, service(1), &[(10, agent(1), 1024)]),
        state(2, service(2), &[(20, agent(2), 1024)]),
        state(3, service(3), &[(30, agent(3), 0)]),
    ];
    let mut classifier = Classifier::default();
    classifier.apply(snapshot(Some(keys(1, Some(0))), services));
    classifier
}

fn forward(upstream: u64, n: u8) -> Verdict {
    Verdict::Forward(Hop {
        upstream: UpstreamId(upstream),
        address: agent(n),
    })
}

fn undecodable(category: Category) -> Verdict {
    Verdict::Drop(DropCause::Undecodable(category))
}

fn no_route(reason: DropReason) -> Verdict {
    Verdict::Drop(DropCause::Route(reason))
}

/// Guards against a connection id that is routed to another service or
/// incarnation, or that is accepted although its key is not valid.
#[test]
fn a_flow_follows_its_connection_id() {
    use DropReason::{OtherService, UnknownService, UnknownUpstream};
    // Service of the address; key, upstream and service of the id.
    let cases = [
        (1, (1, 10, 1), forward(10, 1)),
        (1, (0, 10, 1), forward(10, 1)),
        // An upstream without a share still gets its existing flows.
        (3, (1, 30, 3), forward(30, 3)),
        (9, (1, 10, 1), no_route(UnknownService)),
        (1, (1, 11, 1), no_route(UnknownUpstream)),
        (1, (1, 10, 2), no_route(OtherService)),
        (1, (1, 20, 1), no_route(OtherService)),
        (2, (1, 10, 1), no_route(OtherService)),
        // A key of an unknown generation, and another key of a valid generation.
        (1, (2, 10, 1), undecodable(Category::UnknownId)),
        (1, (5, 10, 1), undecodable(Category::UnknownId)),
    ];
    let (classifier, empty) = (classifier(), Classifier::default());
    for (n, (key, upstream, tag), verdict) in cases {
        let id = cid(key, upstream, tag);
        let long_kinds = [INITIAL, HANDSHAKE].map(|kind| long(kind, &id, 1200));
        for packet in long_kinds.into_iter().chain([short(&id)]) {
            // An id of an initial packet that does not decode may have been chosen
            // by the caller.
            if verdict == undecodable(Category::UnknownId) && packet[0] == 0xc0 {
                continue;
            }
            let got = classifier.classify(&endpoints_to(n), &packet);
            assert_eq!(got, verdict, "{n} {key} {upstream} {tag} {:x}", packet[0]);
            assert_eq!(
                empty.classify(&endpoints_to(n), &packet),
                no_route(UnknownService)
            );
        }
    }
}

/// Guards against a first packet that is dropped or forwarded to the wrong
/// agent, and against a packet that cannot be decoded but is forwarded or gets
/// the wrong drop cause.
#[test]
fn first_packets_are_forwarded_and_invalid_ones_dropped() {
    let cut = |packet: Vec<u8>, len: usize| packet[..len].to_vec();
    let cases = [
        (1, long(INITIAL, b"chosen", 1200), forward(10, 1)),
        (2, long(ZERO_RTT, b"chosen", 1200), forward(20, 2)),
        (
            3,
            long(INITIAL, b"chosen", 1200),
            no_route(DropReason::NoUpstream),
        ),
        (
            1,
            long(INITIAL, b"chosen", 1199),
            Verdict::Drop(DropCause::UndersizedFirstPacket),
        ),
        (
            1,
            long(HANDSHAKE, b"chosen", 1200),
            undecodable(Category::UnknownId),
        ),
        (1, short(&[7; 17]), undecodable(Category::UnknownId)),
        (1, vec![], undecodable(Category::Malformed)),
        (
            1,
            cut(short(&[7; 17]), 17),
            undecodable(Category::Malformed),
        ),
        (
            1,
            cut(long(INITIAL, b"chosen", 0), 8),
            undecodable(Category::Malformed),
        ),
        (
            1,
            long(INITIAL, &[1; 21], 1200),
            undecodable(Category::Malformed),
        ),
    ];
    for (n, packet, verdict) in cases {
        assert_eq!(
            classifier().classify(&endpoints_to(n), &packet),
            verdict,
            "{packet:x?}"
        );
    }
}

/// Guards against a host that answers for a service of which it is no agent.
#[test]
fn only_agents_of_a_service_answer_for_it() {
    let classifier = classifier();
    let unknown = DropCause::Route(DropReason::UnknownService);
    let cases = [
        (agent(1), 1, Ok(())),
        (agent(3), 3, Ok(())),
        (agent(2), 1, Err(DropCause::UnauthorizedSender)),
        (agent(9), 1, Err(DropCause::UnauthorizedSender)),
        (agent(1), 9, Err(unknown)),
    ];
    for (from, n, result) in cases {
        assert_eq!(
            classifier.check_answer(from, &endpoints_to(n)),
            result,
            "{from} {n}"
        );
    }
    assert!(classifier.is_agent(agent(2)));
    assert!(!classifier.is_agent(agent(9)));
}

/// Guards against agents that stay valid after a version moved or removed them,
/// whether it arrives as a snapshot or as a delta.
#[test]
fn a_version_removes_agents_that_it_does_not_list() {
    let services = || vec![state(2, service(2), &[(21, agent(4), 1024)])];
    let changed = Update {
        is_snapshot: false,
        removed_services: vec![ServiceId(1), ServiceId(3)],
        ..snapshot(Some(keys(1, None)), services())
    };
    for update in [snapshot(Some(keys(1, None)), services()), changed] {
        let mut classifier = classifier();
        classifier.apply(update);
        assert_eq!(classifier.check_answer(agent(4), &endpoints_to(2)), Ok(()));
        let known = [1, 2, 3].map(|n| classifier.is_agent(agent(n)));
        assert_eq!(known, [false; 3]);
        let addresses: Vec<_> = classifier.service_addresses().collect();
        assert_eq!(addresses, [service(2)]);
        let verdict = classifier.classify(&endpoints_to(1), &short(&cid(1, 10, 1)));
        assert_eq!(verdict, no_route(DropReason::UnknownService));
    }
}

/// Guards against a key rotation that breaks flows while balancers and agents
/// are one step apart, and against ids of a replaced key that are accepted.
#[test]
fn ids_stay_valid_at_every_step_of_a_rotation() {
    // Key sets of four rotations: the next key is first added, then activated.
    let steps: Vec<(u8, Option<u8>)> = (0..4)
        .flat_map(|n| [(n, Some(n + 1)), (n + 1, Some(n))])
        .collect();
    for (at, &(current, other)) in steps.iter().enumerate() {
        let mut balancer = classifier();
        balancer.apply(Update {
            is_snapshot: false,
            ..snapshot(Some(keys(current, other)), vec![])
        });
        let adjacent = steps.iter().enumerate().skip(at.saturating_sub(1));
        for (agent_at, (issuing_key, _)) in adjacent.take_while(|(n, _)| *n <= at + 1) {
            let verdict = balancer.classify(&endpoints_to(1), &short(&cid(*issuing_key, 10, 1)));
            let context = format!("balancer at step {at}, agent at {agent_at}");
            assert_eq!(verdict, forward(10, 1), "{context}");
        }
        for replaced in 0..current.saturating_sub(1) {
            let verdict = balancer.classify(&endpoints_to(1), &short(&cid(replaced, 10, 1)));
            assert_eq!(verdict, undecodable(Category::UnknownId), "key {replaced}");
        }
    }
}

/// A random service from few addresses, agents and upstream ids, so that these
/// move between services and an address gets a new incarnation.
fn random_state(u: &mut Unstructured<'_>, id: u32) -> Result<ServiceState> {
    let members = (0..u.int_in_range(0..=3)?)
        .map(|_| {
            let upstream = u.int_in_range(0..=4)?;
            Ok((
                upstream,
                agent(u.int_in_range(1..=4)?),
                *u.choose(&[0, 512, 1024])?,
            ))
        })
        .collect::<Result<Vec<_>>>()?;
    Ok(state(id, service(u.int_in_range(1..=4)?), &members))
}

fn random_update(
    u: &mut Unstructured<'_>,
    model: &mut BTreeMap<u32, ServiceState>,
) -> Result<Update> {
    let is_snapshot = u.ratio(1, 3)?;
    let removed = (1..=3)
        .filter_map(|id| match u.ratio(1, 5) {
            Ok(true) => Some(Ok(id)),
            Ok(false) => None,
            Err(e) => Some(Err(e)),
        })
        .collect::<Result<Vec<u32>>>()?;
    let mut changed = BTreeMap::new();
    for _ in 0..u.int_in_range(0..=2)? {
        let id = u.int_in_range(1..=3)?;
        changed.insert(id, random_state(u, id)?);
    }
    if is_snapshot {
        model.clear();
    }
    model.retain(|id, _| !removed.contains(id));
    model.extend(changed.clone());
    let current = u.int_in_range(0..=3)?;
    let other = (current + 1) % 4;
    Ok(Update {
        is_snapshot,
        removed_services: if is_snapshot {
            vec![]
        } else {
            removed.into_iter().map(ServiceId).collect()
        },
        ..snapshot(
            Some(keys(current, Some(other))),
            changed.into_values().collect(),
        )
    })
}

/// A random packet, and the upstream in its connection id if it is a short
/// packet with an id that is not corrupted. Half of the ids are of a member of
/// `state` if it has any.
fn random_packet(
    u: &mut Unstructured<'_>,
    state: Option<&ServiceState>,
) -> Result<(Vec<u8>, Option<u64>)> {
    let (mut tag, mut upstream) = (u.int_in_range(1..=3)?, u.int_in_range(0..=4)?);
    if let Some(state) = state.filter(|state| !state.members.is_empty())
        && u.arbitrary()?
    {
        let members: Vec<_> = state.members.keys().collect();
        (tag, upstream) = (state.service.id.0, u.choose(&members)?.0);
    }
    let mut id = cid(u.int_in_range(0..=4)?, upstream, tag);
    let is_corrupted = u.ratio(1, 3)?;
    if is_corrupted {
        // Not in the first byte, of which six bits are random.
        let at = u.int_in_range(1..=id.len() - 1)?;
        id[at] ^= 1 << u.int_in_range(0..=7)?;
    }
    let packet = match u.int_in_range(0..=4)? {
        0 => long(INITIAL, &id, 1200),
        1 => long(HANDSHAKE, &id, 80),
        2 => u.arbitrary()?,
        _ => return Ok((short(&id), (!is_corrupted).then_some(upstream))),
    };
    Ok((packet, None))
}

/// The service with `address` in the model: the one with the highest id if
/// there are several.
fn service_at(model: &BTreeMap<u32, ServiceState>, address: SocketAddr) -> Option<&ServiceState> {
    model.values().rfind(|s| s.service.address == address)
}

/// Guards against a sequence of versions after which a datagram is forwarded to
/// an upstream of another service, or an answer from an agent of another service
/// is accepted (promise P2).
#[test]
fn no_datagram_crosses_services() {
    let mut forwarded = 0;
    for case in 0..CASES {
        arbtest(|u| {
            let mut model = BTreeMap::new();
            let mut classifier = Classifier::default();
            for _ in 0..u.int_in_range(1..=4)? {
                classifier.apply(random_update(u, &mut model)?);
                for _ in 0..12 {
                    let endpoints = endpoints_to(u.int_in_range(1..=4)?);
                    let state = service_at(&model, endpoints.service);
                    let from = agent(u.int_in_range(1..=4)?);
                    if classifier.check_answer(from, &endpoints).is_ok() {
                        let members = &state.expect("a known service").members;
                        assert!(members.values().any(|m| m.data_address == from));
                    }
                    let (packet, id_upstream) = random_packet(u, state)?;
                    let Verdict::Forward(hop) = classifier.classify(&endpoints, &packet) else {
                        continue;
                    };
                    forwarded += 1;
                    let member = &state.expect("a known service").members[&hop.upstream];
                    assert_eq!(member.data_address, hop.address);
                    assert!(id_upstream.is_none_or(|id| UpstreamId(id) == hop.upstream));
                }
            }
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
    // Otherwise the property would hold for a classifier that drops everything.
    assert!(forwarded > 500, "{forwarded} datagrams were forwarded");
}
