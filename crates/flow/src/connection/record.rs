//! State of a flow as one agent hands it over to the next.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::FlowTuple;

/// Stage of a flow that is handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordedStage {
    /// The upstream has not answered the opening datagram yet.
    Opening,
    /// The flow is open.
    Open,
    /// Both ends have closed the flow, or one of them has reset it.
    Closed,
}

/// State of a flow that an agent hands over at a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "PackedRecord", from = "PackedRecord")]
pub struct FlowRecord {
    /// Addresses of the flow.
    pub key: FlowTuple,
    /// Stage of the flow.
    pub stage: RecordedStage,
    /// Sequence number of the opening datagram, if it is known.
    pub opening_seq: Option<u32>,
    /// Initial sequence number of the upstream and the one after its last byte, if they
    /// are known.
    pub upstream_range: Option<(u32, u32)>,
    /// Highest sequence number of the caller's data.
    pub caller_seq: Option<u32>,
    /// A request waits for the first byte of its answer.
    pub awaiting_answer: bool,
    /// The caller has closed its direction.
    pub caller_ended: bool,
    /// The upstream has closed its direction.
    pub upstream_ended: bool,
    /// Time since the last datagram, to the millisecond.
    pub idle: Duration,
}

const OPEN: u8 = 1;
const CLOSED: u8 = 2;
const AWAITING_ANSWER: u8 = 4;
const CALLER_ENDED: u8 = 8;
const UPSTREAM_ENDED: u8 = 16;

/// The encoded form. Addresses are numbers, because a `SocketAddrV4` takes twice the
/// bytes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct PackedRecord {
    caller: (u32, u16),
    service: (u32, u16),
    opening_seq: Option<u32>,
    upstream_range: Option<(u32, u32)>,
    caller_seq: Option<u32>,
    flags: u8,
    idle_ms: u32,
}

impl From<FlowRecord> for PackedRecord {
    fn from(record: FlowRecord) -> Self {
        let pack = |address: SocketAddrV4| (address.ip().to_bits(), address.port());
        let flag = |is_set: bool, flag: u8| if is_set { flag } else { 0 };
        PackedRecord {
            caller: pack(record.key.caller),
            service: pack(record.key.service),
            opening_seq: record.opening_seq,
            upstream_range: record.upstream_range,
            caller_seq: record.caller_seq,
            flags: flag(record.stage == RecordedStage::Open, OPEN)
                | flag(record.stage == RecordedStage::Closed, CLOSED)
                | flag(record.awaiting_answer, AWAITING_ANSWER)
                | flag(record.caller_ended, CALLER_ENDED)
                | flag(record.upstream_ended, UPSTREAM_ENDED),
            idle_ms: u32::try_from(record.idle.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<PackedRecord> for FlowRecord {
    fn from(packed: PackedRecord) -> Self {
        let unpack = |(ip, port)| SocketAddrV4::new(Ipv4Addr::from_bits(ip), port);
        let is_set = |flag: u8| packed.flags & flag != 0;
        FlowRecord {
            key: FlowTuple {
                caller: unpack(packed.caller),
                service: unpack(packed.service),
            },
            stage: if is_set(CLOSED) {
                RecordedStage::Closed
            } else if is_set(OPEN) {
                RecordedStage::Open
            } else {
                RecordedStage::Opening
            },
            opening_seq: packed.opening_seq,
            upstream_range: packed.upstream_range,
            caller_seq: packed.caller_seq,
            awaiting_answer: is_set(AWAITING_ANSWER),
            caller_ended: is_set(CALLER_ENDED),
            upstream_ended: is_set(UPSTREAM_ENDED),
            idle: Duration::from_millis(packed.idle_ms.into()),
        }
    }
}
