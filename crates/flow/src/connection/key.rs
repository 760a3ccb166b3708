//! Address pair that identifies a flow.

use std::{fmt, net::SocketAddrV4};

use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// The addresses of both ends of a flow, as the caller sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowTuple {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// The service address that the caller sends to.
    pub service: SocketAddrV4,
}

impl FlowTuple {
    /// A hash that is the same on every host and in every process.
    #[must_use]
    pub fn stable_hash(&self) -> u64 {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        XxHash64::oneshot(0, &bytes)
    }
}

impl fmt::Display for FlowTuple {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.caller, self.service)
    }
}
