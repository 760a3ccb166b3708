//! Lists of flows that agents hand over at a planned stop.
//!
//! An agent that stops sends the list of its flows to keepers ([`KeeperCandidates`],
//! [`FlowListTransfer`]), which hold it in memory ([`KeptFlowLists`]) until the next
//! process at the address has fetched it ([`FlowListRecovery`]).

mod keepers;
mod kept;
mod recovery;
mod transfer;

pub use keepers::{KeeperCandidates, KeeperNode, KeeperRole};
pub use kept::{KeptFlowLists, KeptFlowListsSettings};
pub use recovery::{FlowListRecovery, FlowListRecoverySettings, RecoveredFlows};
use serde::{Deserialize, Serialize};
pub use transfer::{FlowListTransfer, FlowListTransferSettings};

use crate::FlowRecord;

/// Flows in one part of a list, so that a part fits in a datagram of 1,400 bytes: an
/// encoded record takes at most 48 bytes.
const FLOWS_PER_PART: usize = 24;

/// Maximum number of parts of a list: 12,000 flows, six times what an upstream holds
/// today.
const MAX_PARTS: u16 = 500;

/// Identity of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FlowListId {
    /// Incarnation of the agent that sent it.
    pub owner: u64,
    /// Increases with each list of the agent; a later list replaces an earlier one.
    pub round: u32,
}

/// A part of a list, which fits in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowListPart {
    /// The list.
    pub id: FlowListId,
    /// The list has all flows that the upstream holds.
    pub complete: bool,
    /// Incarnation of the upstream, if its agent knew it.
    pub upstream: Option<u64>,
    /// Number of this part, from 0.
    pub index: u16,
    /// Number of parts.
    pub parts: u16,
    /// The flows.
    pub flows: Vec<FlowRecord>,
}

impl FlowListPart {
    /// Whether the numbers are ones that an agent sends.
    fn is_valid(&self) -> bool {
        self.parts <= MAX_PARTS && self.index < self.parts && self.flows.len() <= FLOWS_PER_PART
    }

    /// Divides a list into parts. A list that is too long loses its last flows and is
    /// not complete.
    #[must_use]
    pub fn divide(
        id: FlowListId,
        complete: bool,
        upstream: Option<u64>,
        flows: &[FlowRecord],
    ) -> Vec<FlowListPart> {
        let max_flows = usize::from(MAX_PARTS) * FLOWS_PER_PART;
        let sent = &flows[..flows.len().min(max_flows)];
        let complete = complete && sent.len() == flows.len();
        let mut chunks: Vec<&[FlowRecord]> = sent.chunks(FLOWS_PER_PART).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        let parts = u16::try_from(chunks.len()).unwrap_or(MAX_PARTS);
        let parts_of = (0..parts).zip(chunks);
        parts_of
            .map(|(index, flows)| FlowListPart {
                id,
                complete,
                upstream,
                index,
                parts,
                flows: flows.to_vec(),
            })
            .collect()
    }
}
