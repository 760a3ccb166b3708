//! Identifiers of flows and of upstream incarnations.

use serde::{Deserialize, Serialize};

hexadecimal! {
    /// Id of one incarnation of an upstream's agent.
    ///
    /// An agent generates a random id at each start, so a process that reuses
    /// the address of an earlier one has another id.
    UpstreamId
}

/// Hash of a flow by which its upstream is chosen. It does not depend on the
/// balancer that receives the packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FlowKey(pub u64);

/// Whether a packet may open a flow or belongs to an established one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowPhase {
    /// The packet may open a new flow.
    New,
    /// The packet belongs to an established flow.
    Established,
}
