//! What identifies a flow.

use serde::{Deserialize, Serialize};

hexadecimal! {
    /// Identity of one run of an upstream's agent.
    ///
    /// An agent draws it at random at each start, so it is also the
    /// incarnation: an address that is used again gets another id.
    UpstreamId
}

/// Hash that identifies a flow to the placement, independent of the balancer
/// that receives the packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FlowKey(pub u64);

/// Whether a packet opens a flow or belongs to an existing one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowPhase {
    /// The packet may open a new flow.
    New,
    /// The packet continues a flow that is already established.
    Established,
}
