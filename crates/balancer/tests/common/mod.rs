//! Services, updates and packets for the tests of this crate.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use std::{collections::BTreeMap, net::SocketAddr};

use types::{
    CidKey, KeyGeneration, KeySet, Revision, Service, ServiceId, ServiceState, Share, UpstreamId,
    UpstreamMember, UpstreamState, Version,
};
use wire::{CidCodec, ConnectionId, ServiceTag, Update};

/// QUIC version 1.
const VERSION_1: [u8; 4] = [0, 0, 0, 1];

/// A service with members given as upstream id, data address and share.
pub fn state(id: u32, address: SocketAddr, members: &[(u64, SocketAddr, u32)]) -> ServiceState {
    let member = |&(upstream, data, share): &(u64, SocketAddr, u32)| {
        let member = UpstreamMember {
            host: "h1".parse().unwrap(),
            data_centre: "dc1".parse().unwrap(),
            data_address: data,
            peer_address: data,
            state: UpstreamState::Ready,
            share: Share(share),
            previous_share: Share(share),
            evacuated: false,
        };
        (UpstreamId(upstream), member)
    };
    ServiceState {
        service: Service {
            id: ServiceId(id),
            name: format!("s{id}").parse().unwrap(),
            address,
            revision: Revision(1),
            author: "test".parse().unwrap(),
            targets: BTreeMap::new(),
        },
        members: members.iter().map(member).collect(),
        version: Version::default(),
    }
}

/// Key number `n`, of generation `n` modulo the number of generations.
pub fn key(n: u8) -> CidKey {
    CidKey {
        generation: KeyGeneration(n % KeyGeneration::COUNT),
        secret: [n + 1; 16],
    }
}

pub fn keys(current: u8, other: Option<u8>) -> KeySet {
    KeySet {
        current: key(current),
        other: other.map(key),
    }
}

pub fn snapshot(keys: Option<KeySet>, services: Vec<ServiceState>) -> Update {
    Update {
        version: Version::default(),
        is_snapshot: true,
        keys,
        services,
        removed_services: Vec::new(),
        balancers: BTreeMap::new(),
        draining_hosts: std::collections::BTreeSet::new(),
        loads: BTreeMap::new(),
    }
}

/// A connection id encoded with key number `n`.
pub fn cid(n: u8, upstream: u64, service: u32) -> Vec<u8> {
    let id = ConnectionId {
        upstream: UpstreamId(upstream),
        tag: ServiceTag::from(ServiceId(service)),
        nonce: 5,
    };
    CidCodec::new(&keys(n, None)).encode(&id, 0xff).to_vec()
}

pub fn short(dcid: &[u8]) -> Vec<u8> {
    [&[0x40][..], dcid, &[0; 24]].concat()
}

/// A packet with a long header of type `kind`, padded to `len` bytes.
pub fn long(kind: u8, dcid: &[u8], len: usize) -> Vec<u8> {
    let id_len = u8::try_from(dcid.len()).unwrap();
    let mut packet = [&[0xc0 | kind << 4][..], &VERSION_1, &[id_len], dcid].concat();
    packet.resize(len.max(packet.len()), 0);
    packet
}
