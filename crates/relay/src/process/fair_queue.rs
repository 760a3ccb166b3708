//! A queue that is fair between flows.
//!
//! Deficit round robin: in each round a flow may send a quantum of bytes more. A flow
//! that had nothing queued goes before the others with its first quantum, so that a small
//! flow does not wait for a round of the large ones. The datagrams of a flow keep their
//! order.

use std::collections::{BTreeMap, VecDeque};

use super::egress_queue::{OutgoingDatagram, link_bytes};

/// Bytes that a flow may send in a round. Datagrams up to this size are openings,
/// acknowledgements and ends of flows; they go before others and hardly delay them.
const QUANTUM_BYTES: usize = 256 + 28;

#[derive(Debug, Default)]
struct FlowQueue {
    datagrams: VecDeque<OutgoingDatagram>,
    bytes: usize,
    /// Bytes that the flow may send in this round.
    deficit: usize,
}

/// Datagrams of flows with keys of type `K`.
#[derive(Debug)]
pub(super) struct FairQueue<K> {
    flows: BTreeMap<K, FlowQueue>,
    /// Flows in their first round.
    new_flows: VecDeque<K>,
    /// The other flows, in the order of their turns.
    old_flows: VecDeque<K>,
    bytes: usize,
}

impl<K> Default for FairQueue<K> {
    fn default() -> Self {
        FairQueue {
            flows: BTreeMap::new(),
            new_flows: VecDeque::new(),
            old_flows: VecDeque::new(),
            bytes: 0,
        }
    }
}

impl<K: Copy + Ord> FairQueue<K> {
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Appends a datagram to its flow.
    pub fn push(&mut self, key: K, datagram: OutgoingDatagram) {
        let size = link_bytes(&datagram);
        let new_flows = &mut self.new_flows;
        let flow = self.flows.entry(key).or_insert_with(|| {
            new_flows.push_back(key);
            FlowQueue {
                deficit: QUANTUM_BYTES,
                ..FlowQueue::default()
            }
        });
        flow.datagrams.push_back(datagram);
        flow.bytes += size;
        self.bytes += size;
    }

    /// Removes the next datagram.
    pub fn pop(&mut self) -> Option<OutgoingDatagram> {
        if self.is_empty() {
            return None;
        }
        loop {
            let is_new = !self.new_flows.is_empty();
            let turns = if is_new {
                &mut self.new_flows
            } else {
                &mut self.old_flows
            };
            let key = *turns.front()?;
            let flow = self.flows.get_mut(&key)?;
            let size = flow.datagrams.front().map(link_bytes);
            if let Some(size) = size.filter(|size| *size <= flow.deficit) {
                flow.deficit -= size;
                flow.bytes -= size;
                self.bytes -= size;
                return flow.datagrams.pop_front();
            }
            turns.pop_front();
            if size.is_some() {
                flow.deficit += QUANTUM_BYTES;
                self.old_flows.push_back(key);
            } else if is_new {
                // It takes a turn with the others before it counts as new again;
                // otherwise a steady flow of small datagrams would starve them.
                self.old_flows.push_back(key);
            } else {
                self.flows.remove(&key);
            }
        }
    }

    /// Removes the last datagram of the flow that has the most bytes queued.
    pub fn drop_longest(&mut self) -> Option<OutgoingDatagram> {
        let flow = self.flows.values_mut().max_by_key(|flow| flow.bytes)?;
        let datagram = flow.datagrams.pop_back()?;
        let size = link_bytes(&datagram);
        flow.bytes -= size;
        self.bytes -= size;
        Some(datagram)
    }
}
