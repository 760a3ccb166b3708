//! Flows that a flow table hands over at a planned stop and takes over after a start.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::FlowTable;
use crate::{
    CheckpointPart, CheckpointedFlow, FlowRecord, FlowTuple, RecordedStage, RecoveredFlows,
    connection::{Flow, Stage},
    request::RequestProgress,
};

/// Bytes that an upstream may have sent on a flow while no agent recorded them: between
/// the list of a stopping agent and the start of the next one, at 20 Mbit/s for 1.5 s.
/// An acknowledgement of another upstream falls into this range by chance once in 1,024
/// times.
const UNRECORDED_BYTES: u32 = 4 << 20;

impl FlowTable {
    /// Whether the table has all flows that the upstream holds.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        now >= self.complete_from
    }

    /// Incarnation that the upstream has announced to this agent.
    pub(super) fn announced_incarnation(&self) -> Option<u64> {
        self.upstream.and_then(|upstream| upstream.incarnation)
    }

    /// Incarnation that the upstream has announced last, to this agent or to the one
    /// before. The upstream may have restarted since.
    #[must_use]
    pub fn flows_incarnation(&self) -> Option<u64> {
        self.announced_incarnation().or(self.restored_incarnation)
    }

    /// The flows to hand over, the most recently used first.
    #[must_use]
    pub fn records(&self, now: Instant) -> Vec<FlowRecord> {
        let records = self.flows.iter().filter_map(|(key, flow)| {
            let stage = match flow.stage {
                Stage::Opening => RecordedStage::Opening,
                Stage::Open | Stage::Unverified => RecordedStage::Open,
                Stage::Closed => RecordedStage::Closed,
                // The upstream may not hold them.
                Stage::Unconfirmed | Stage::Lost | Stage::NotHeld => return None,
            };
            let idle = now.saturating_duration_since(flow.last_datagram_at);
            Some(FlowRecord {
                key: *key,
                stage,
                opening_seq: flow.opening_seq,
                upstream_range: flow.upstream_range,
                caller_seq: flow.caller_seq,
                awaiting_answer: flow.request.is_pending(),
                caller_ended: flow.caller_ended,
                upstream_ended: flow.upstream_ended,
                idle,
            })
        });
        let mut records: Vec<FlowRecord> = records.collect();
        records.sort_by_key(|record| record.idle);
        records
    }

    /// The open flows that are at least this old, for a checkpoint.
    pub fn checkpoint(
        &self,
        min_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = CheckpointedFlow> {
        let flows = self.flows.iter().filter(move |(_, flow)| {
            let is_open = flow.stage == Stage::Open && !flow.caller_ended && !flow.upstream_ended;
            is_open && now >= flow.opened_at + min_age
        });
        flows.map(|(key, flow)| CheckpointedFlow {
            record: FlowRecord {
                key: *key,
                stage: RecordedStage::Open,
                opening_seq: flow.opening_seq,
                upstream_range: flow.upstream_range,
                caller_seq: flow.caller_seq,
                awaiting_answer: false,
                caller_ended: false,
                upstream_ended: false,
                idle: Duration::ZERO,
            },
            via: flow.via,
        })
    }

    /// Takes over the flows of a checkpoint of the previous agent. Flows that were opened
    /// since the checkpoint are missing, and some may have ended. Returns the flows that
    /// the table did not have, with the balancer that forwarded each.
    pub fn restore_checkpoint(
        &mut self,
        part: &CheckpointPart,
        now: Instant,
    ) -> Vec<(SocketAddrV4, FlowTuple)> {
        let vias: BTreeMap<FlowTuple, SocketAddrV4> = part
            .flows
            .iter()
            .filter(|flow| !self.flows.contains_key(&flow.record.key))
            .filter_map(|flow| Some((flow.record.key, flow.via?)))
            .collect();
        let records = part.flows.iter().map(|flow| flow.record).collect();
        self.restore(
            RecoveredFlows {
                complete: false,
                upstream: Some(part.upstream),
                flows: records,
                was_planned: false,
            },
            now,
        );
        for (key, via) in &vias {
            if let Some(flow) = self.flows.get_mut(key) {
                flow.via = Some(*via);
            }
        }
        vias.into_iter().map(|(key, via)| (via, key)).collect()
    }

    /// Takes over the flows of the previous agent. If their list is complete, the
    /// upstream holds no other flows.
    pub fn restore(&mut self, recovered: RecoveredFlows, now: Instant) {
        let announced = self.announced_incarnation();
        self.restored_incarnation = recovered.upstream.or(self.restored_incarnation);
        for record in recovered.flows {
            let mut flow = restored_flow(&record, recovered.upstream, now);
            if let Some(announced) = announced {
                flow.record_announcement(announced);
            }
            match self.flows.entry(record.key) {
                Entry::Vacant(entry) => drop(entry.insert(flow)),
                Entry::Occupied(mut entry) => merge(entry.get_mut(), flow),
            }
        }
        if recovered.complete {
            self.complete_from = self.complete_from.min(now);
        }
    }
}

fn restored_flow(record: &FlowRecord, incarnation: Option<u64>, now: Instant) -> Flow {
    let stage = match record.stage {
        RecordedStage::Opening => Stage::Opening,
        RecordedStage::Open => Stage::Open,
        RecordedStage::Closed => Stage::Closed,
    };
    // The clock may have started after the flow's last datagram.
    let idle_since = |idle: Duration| now.checked_sub(idle).unwrap_or(now);
    Flow {
        incarnation,
        opening_seq: record.opening_seq,
        upstream_range: record.upstream_range,
        unrecorded_bytes: UNRECORDED_BYTES,
        caller_seq: record.caller_seq,
        request: if record.awaiting_answer {
            RequestProgress::Waiting
        } else {
            RequestProgress::Idle
        },
        caller_ended: record.caller_ended,
        upstream_ended: record.upstream_ended,
        last_datagram_at: idle_since(record.idle),
        ..Flow::new(stage, now)
    }
}

/// Completes a flow that this table has learned with what the previous agent knew.
fn merge(known: &mut Flow, restored: Flow) {
    match known.stage {
        Stage::Unconfirmed => {
            *known = Flow {
                via: known.via,
                last_datagram_at: known.last_datagram_at,
                ..restored
            };
        }
        Stage::Open if known.opening_seq.is_none() && known.upstream_range.is_none() => {
            known.opening_seq = restored.opening_seq;
            known.upstream_range = restored.upstream_range;
            known.unrecorded_bytes = restored.unrecorded_bytes;
        }
        // An upstream accepted the flow at an earlier process, and returned it to this one.
        Stage::NotHeld if restored.upstream_range.is_some() => {
            *known = Flow {
                stage: Stage::Lost,
                request: RequestProgress::Idle,
                via: known.via,
                last_datagram_at: known.last_datagram_at,
                ..restored
            };
        }
        // The datagrams since the start are newer than the list.
        Stage::Opening
        | Stage::Open
        | Stage::Unverified
        | Stage::Closed
        | Stage::Lost
        | Stage::NotHeld => {}
    }
}
