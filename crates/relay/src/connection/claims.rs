//! Flows in queries and claims for many of them, in few bytes.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use flow::Segment;
use serde::{Deserialize, Serialize};

/// Bytes of the address of a caller.
const CALLER_BYTES: usize = 6;

/// Bytes of a queried flow: the caller, whether it acknowledges, and the number.
const QUERY_BYTES: usize = CALLER_BYTES + 5;

/// What an agent needs to know of a datagram to claim its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueriedFlow {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Acknowledgement in the datagram.
    pub ack: Option<u32>,
}

impl QueriedFlow {
    /// The flow of a caller's datagram.
    #[must_use]
    pub fn of(seg: &Segment) -> Self {
        QueriedFlow {
            caller: seg.source,
            ack: seg.acknowledges.then_some(seg.ack),
        }
    }

    /// A datagram of the flow to this service address.
    #[must_use]
    pub fn segment(&self, service: SocketAddrV4) -> Segment {
        Segment {
            source: self.caller,
            destination: service,
            ack: self.ack.unwrap_or_default(),
            acknowledges: self.ack.is_some(),
            ..Segment::default()
        }
    }
}

/// Flows of one service address that are searched for.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "Bytes", into = "Bytes")]
pub struct QueriedFlows(pub Vec<QueriedFlow>);

/// Callers of flows of one service address.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "Bytes", into = "Bytes")]
pub struct Callers(pub Vec<SocketAddrV4>);

impl From<QueriedFlows> for Bytes {
    fn from(flows: QueriedFlows) -> Bytes {
        let mut buf = BytesMut::with_capacity(flows.0.len() * QUERY_BYTES);
        for flow in flows.0 {
            put_address(&mut buf, flow.caller);
            buf.put_u8(flow.ack.is_some().into());
            buf.put_u32(flow.ack.unwrap_or_default());
        }
        buf.freeze()
    }
}

impl From<Bytes> for QueriedFlows {
    /// Ignores bytes at the end that are too few for a flow.
    fn from(mut buf: Bytes) -> Self {
        let mut flows = Vec::with_capacity(buf.len() / QUERY_BYTES);
        while buf.len() >= QUERY_BYTES {
            let caller = take_address(&mut buf);
            let acknowledges = buf.get_u8() != 0;
            let ack = Some(buf.get_u32()).filter(|_| acknowledges);
            flows.push(QueriedFlow { caller, ack });
        }
        QueriedFlows(flows)
    }
}

impl From<Callers> for Bytes {
    fn from(callers: Callers) -> Bytes {
        let mut buf = BytesMut::with_capacity(callers.0.len() * CALLER_BYTES);
        for caller in callers.0 {
            put_address(&mut buf, caller);
        }
        buf.freeze()
    }
}

impl From<Bytes> for Callers {
    /// Ignores bytes at the end that are too few for an address.
    fn from(mut buf: Bytes) -> Self {
        let mut callers = Vec::with_capacity(buf.len() / CALLER_BYTES);
        while buf.len() >= CALLER_BYTES {
            callers.push(take_address(&mut buf));
        }
        Callers(callers)
    }
}

fn put_address(buf: &mut BytesMut, address: SocketAddrV4) {
    buf.put_u32(address.ip().to_bits());
    buf.put_u16(address.port());
}

fn take_address(buf: &mut Bytes) -> SocketAddrV4 {
    let ip = Ipv4Addr::from_bits(buf.get_u32());
    SocketAddrV4::new(ip, buf.get_u16())
}
