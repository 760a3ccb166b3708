//! Checkpoint of the open flows of an agent, for the next process at its address after
//! a crash.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::FlowRecord;

/// The number of parts doubles when they hold more flows than this on average. It is about
/// half of the maximum, because a hash spreads the flows over the parts unevenly.
const MAX_MEAN_FLOWS_PER_PART: usize = 12;

/// Maximum number of flows in one part, so that it fits in a datagram of 1,400 bytes: an
/// encoded flow takes at most 60. Further flows of a part are left out, and are searched
/// for after a crash.
const MAX_FLOWS_PER_PART: usize = 22;

/// Maximum number of parts, room for 6,000 flows.
const MAX_PARTS: u16 = 512;

/// A flow in a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointedFlow {
    /// State of the flow.
    pub record: FlowRecord,
    /// The balancer that forwarded the caller's last datagram. It is told that the flow
    /// is held here once the next process has the checkpoint.
    pub via: Option<SocketAddrV4>,
}

/// Some of the flows of a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointPart {
    /// Incarnation of the upstream that holds the flows.
    pub upstream: u64,
    /// The flows.
    pub flows: Vec<CheckpointedFlow>,
}

/// A part that is due, with its number and the number of parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DuePart {
    /// Number of the part, from 0.
    pub index: u16,
    /// Number of parts.
    pub parts: u16,
    /// The flows.
    pub part: CheckpointPart,
}

/// Intervals and limits of a [`FlowCheckpoint`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowCheckpointSettings {
    /// Interval between checks for changed parts.
    pub interval: Duration,
    /// Flows that are younger are left out: most flows carry one request and end sooner.
    /// After a loss of power, the callers of flows that are in no checkpoint get no reset
    /// while an agent does not know all flows of its upstream.
    pub min_age: Duration,
    /// An unchanged part is sent again after this time. Messages are not acknowledged,
    /// and a control host may have lost them.
    pub refresh_interval: Duration,
    /// Maximum number of parts that are sent at each check. With two control hosts it
    /// bounds the checkpoint to 10 KB/s of the 26 KB/s that control may cost a node.
    pub max_parts_per_check: usize,
}

impl Default for FlowCheckpointSettings {
    fn default() -> Self {
        FlowCheckpointSettings {
            interval: Duration::from_millis(500),
            min_age: Duration::from_millis(300),
            refresh_interval: Duration::from_secs(5),
            max_parts_per_check: 2,
        }
    }
}

/// What an agent has sent of its checkpoint.
#[derive(Debug)]
pub struct FlowCheckpoint {
    settings: FlowCheckpointSettings,
    check_at: Instant,
    /// The part that is looked at first at the next check.
    next_part: usize,
    parts: Vec<SentPart>,
}

#[derive(Debug, Clone, Copy, Default)]
struct SentPart {
    digest: u64,
    sent_at: Option<Instant>,
}

impl FlowCheckpoint {
    /// A checkpoint of which nothing was sent.
    #[must_use]
    pub fn new(settings: FlowCheckpointSettings, now: Instant) -> Self {
        FlowCheckpoint {
            settings,
            check_at: now,
            next_part: 0,
            parts: Vec::new(),
        }
    }

    /// Minimum age of the flows in a checkpoint.
    #[must_use]
    pub fn min_age(&self) -> Duration {
        self.settings.min_age
    }

    /// Whether parts may be due.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.check_at
    }

    /// The parts to send now: those that have changed, and those that were sent long ago.
    pub fn due_parts(
        &mut self,
        upstream: u64,
        flows: impl IntoIterator<Item = CheckpointedFlow>,
        now: Instant,
    ) -> Vec<DuePart> {
        let settings = self.settings;
        self.check_at = now + settings.interval;
        let flows: Vec<CheckpointedFlow> = flows.into_iter().collect();
        let count = self.part_count(flows.len());
        if count != self.parts.len() {
            self.parts = vec![SentPart::default(); count];
        }
        let mut contents: Vec<Vec<CheckpointedFlow>> = vec![Vec::new(); count];
        for flow in flows {
            let part = flow.record.key.stable_hash() % count as u64;
            let content = usize::try_from(part).ok();
            let content = content.and_then(|part| contents.get_mut(part));
            if let Some(content) = content.filter(|content| content.len() < MAX_FLOWS_PER_PART) {
                content.push(flow);
            }
        }
        let mut due = Vec::new();
        for offset in 0..count {
            let index = (self.next_part + offset) % count;
            let part = CheckpointPart {
                upstream,
                flows: std::mem::take(&mut contents[index]),
            };
            let digest = digest(&part);
            let sent = &mut self.parts[index];
            let is_old = |at| now >= at + settings.refresh_interval;
            if sent.digest == digest && !sent.sent_at.is_none_or(is_old) {
                continue;
            }
            if due.len() >= settings.max_parts_per_check {
                self.next_part = index;
                break;
            }
            *sent = SentPart {
                digest,
                sent_at: Some(now),
            };
            due.push(DuePart {
                index: u16::try_from(index).unwrap_or(MAX_PARTS),
                parts: u16::try_from(count).unwrap_or(MAX_PARTS),
                part,
            });
        }
        due
    }

    /// The number of parts for this many flows, a power of two. It shrinks only when the
    /// parts are mostly empty, because all of them are sent again when it changes.
    fn part_count(&self, flows: usize) -> usize {
        let needed = flows.div_ceil(MAX_MEAN_FLOWS_PER_PART).next_power_of_two();
        let current = self.parts.len();
        let needed = if needed < current && needed * 4 > current {
            current
        } else {
            needed
        };
        needed.clamp(1, usize::from(MAX_PARTS))
    }
}

/// Digest of what the next process needs of a part. The bytes of the upstream and the
/// caller change with each request and do not count.
fn digest(part: &CheckpointPart) -> u64 {
    part.flows.iter().fold(part.upstream, |digest, flow| {
        let via = flow.via.map_or(0, |via| u64::from(via.ip().to_bits()));
        let first = flow.record.upstream_range.map_or(0, |(first, _)| first);
        let key = flow.record.key.stable_hash();
        let mut bytes = [0; 28];
        bytes[..8].copy_from_slice(&digest.to_be_bytes());
        bytes[8..16].copy_from_slice(&key.to_be_bytes());
        bytes[16..24].copy_from_slice(&via.to_be_bytes());
        bytes[24..].copy_from_slice(&first.to_be_bytes());
        XxHash64::oneshot(0, &bytes)
    })
}
