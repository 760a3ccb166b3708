//! Checkpoints of an agent's open flows at control hosts, and their use after a crash.

use std::{collections::BTreeMap, time::Instant};

use bytes::Bytes;
use directory::NodeRecord;
use flow::{CheckpointPart, DuePart, FlowCheckpoint, FlowCheckpointSettings};
use tokio::sync::mpsc;

use super::{Agent, neighbours::KEYS_PER_MESSAGE};
use crate::{Codec, Message};

/// The checkpoint of this agent, and where its parts go.
pub(super) struct CheckpointState {
    checkpoint: FlowCheckpoint,
    /// To the task that sends them to control hosts.
    records: mpsc::Sender<NodeRecord>,
    /// The fetch of the previous process's checkpoint has ended. Parts that were sent
    /// before would replace it.
    has_fetched: bool,
}

impl CheckpointState {
    pub fn new(records: mpsc::Sender<NodeRecord>, now: Instant) -> Self {
        CheckpointState {
            checkpoint: FlowCheckpoint::new(FlowCheckpointSettings::default(), now),
            records,
            has_fetched: false,
        }
    }

    pub fn set_fetched(&mut self) {
        self.has_fetched = true;
    }
}

impl<C: Codec> Agent<C> {
    /// Sends the parts of the checkpoint that are due. Nothing is sent while the
    /// upstream's incarnation is unknown: the next process could not tell whether the
    /// flows are lost.
    pub(super) fn send_checkpoint(&mut self, now: Instant) {
        let Some(state) = &mut self.checkpoint else {
            return;
        };
        if !state.has_fetched || !state.checkpoint.is_due(now) {
            return;
        }
        let Some(upstream) = self.flow_table.flows_incarnation() else {
            return;
        };
        let flows = self.flow_table.checkpoint(state.checkpoint.min_age(), now);
        for DuePart { index, parts, part } in state.checkpoint.due_parts(upstream, flows, now) {
            let content = match wire::encode(&part) {
                Ok(content) => Bytes::from(content),
                Err(e) => {
                    log::error!(event = "unencodable_message", error:% = e; "cannot encode a part of the checkpoint");
                    continue;
                }
            };
            let record = NodeRecord {
                owner: self.cfg.peer_address,
                incarnation: self.cfg.incarnation,
                part: index,
                parts,
                content,
            };
            // A part that finds no room is sent again with the next refresh.
            let _ = state.records.try_send(record);
        }
    }

    /// Takes over the flows of a part of the previous process's checkpoint, and tells
    /// the balancers that forwarded them, so that they need not search.
    pub(super) async fn restore_checkpoint(&mut self, record: &NodeRecord, now: Instant) {
        let part: CheckpointPart = match wire::decode(&record.content) {
            Ok(part) => part,
            Err(e) => {
                log::warn!(event = "bad_checkpoint", error:% = e; "dropping a part of the checkpoint that cannot be decoded");
                return;
            }
        };
        let restored = self.flow_table.restore_checkpoint(&part, now);
        if restored.is_empty() {
            return;
        }
        log::info!(
            event = "checkpoint_restored", part = record.part, parts = record.parts,
            flows = restored.len(); "took over flows of the previous process's checkpoint"
        );
        self.metrics
            .flow_events
            .with_label_values(&["restored"])
            .inc_by(restored.len() as u64);
        let mut by_balancer: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (via, key) in restored {
            by_balancer.entry(via).or_default().push(key);
        }
        for (via, keys) in by_balancer {
            for chunk in keys.chunks(KEYS_PER_MESSAGE) {
                let message = Message::HeldFlows {
                    service: self.cfg.service.clone(),
                    keys: chunk.to_vec(),
                };
                self.send_message(via, &message).await;
            }
        }
    }
}
