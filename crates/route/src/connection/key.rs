//! Flow keys.

use std::net::{IpAddr, SocketAddr};

use twox_hash::XxHash64;
use types::{FlowKey, ServiceId};

/// Seed of all hashes of this crate. Changing it moves every flow.
const HASH_SEED: u64 = 0x6c69_6d70_6574;

/// Hash that is the same in every process and on every platform.
pub(crate) fn hash(salt: u64, bytes: &[u8]) -> u64 {
    XxHash64::oneshot(HASH_SEED ^ salt, bytes)
}

/// Key of a flow that is identified by `bytes`, such as the initial destination
/// connection id that a QUIC caller chose.
#[must_use]
pub fn flow_key(service: ServiceId, bytes: &[u8]) -> FlowKey {
    FlowKey(hash(u64::from(service.0), bytes))
}

/// Key of a flow that is identified by its addresses, for a datagram protocol
/// without connection ids.
///
/// An IPv4 address and the same address mapped into IPv6 give the same key,
/// because sockets of either family can report one caller.
#[must_use]
pub fn address_flow_key(service: ServiceId, caller: SocketAddr, address: SocketAddr) -> FlowKey {
    let mut bytes = [0; 36];
    for (part, socket) in bytes.chunks_exact_mut(18).zip([caller, address]) {
        let ip = match socket.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        part[..16].copy_from_slice(&ip.octets());
        part[16..].copy_from_slice(&socket.port().to_be_bytes());
    }
    flow_key(service, &bytes)
}
