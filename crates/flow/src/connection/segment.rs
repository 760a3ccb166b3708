//! Header fields of a datagram, decoded by a codec.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use super::FlowTuple;

/// Data bytes in a full datagram. A caller fills every datagram of a request except the
/// last one.
const FULL_DATAGRAM_BYTES: u16 = 1200;

/// The header fields that the decisions need.
#[expect(clippy::struct_excessive_bools, reason = "each is a bit of the header")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Address of the sender.
    pub source: SocketAddrV4,
    /// Address of the receiver.
    pub destination: SocketAddrV4,
    /// Sequence number of the first byte of data.
    pub seq: u32,
    /// Next sequence number expected from the other end, if `acknowledges` is
    /// set. In an opening datagram, the number of its retransmission.
    pub ack: u32,
    /// Length of the data in bytes.
    pub len: u16,
    /// Opens a flow; together with `acknowledges`, accepts it.
    pub opens: bool,
    /// `ack` holds an acknowledgement.
    pub acknowledges: bool,
    /// The sender closes its direction.
    pub ends: bool,
    /// Resets the flow.
    pub resets: bool,
    /// An upstream returns the datagram because it does not hold the flow or
    /// cannot accept it. `source` and `destination` are those of the original.
    pub bounced: bool,
    /// In an opening datagram, how long before it the caller sent the first one
    /// of the flow; zero in the first one.
    pub waited: Duration,
}

impl Default for Segment {
    fn default() -> Self {
        let unspecified = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        Segment {
            source: unspecified,
            destination: unspecified,
            seq: 0,
            ack: 0,
            len: 0,
            opens: false,
            acknowledges: false,
            ends: false,
            resets: false,
            bounced: false,
            waited: Duration::ZERO,
        }
    }
}

impl Segment {
    /// Addresses of the flow, if a caller sent the datagram.
    #[must_use]
    pub fn key_from_caller(&self) -> FlowTuple {
        FlowTuple {
            caller: self.source,
            service: self.destination,
        }
    }

    /// Addresses of the flow, if an upstream sent the datagram.
    #[must_use]
    pub fn key_from_upstream(&self) -> FlowTuple {
        FlowTuple {
            caller: self.destination,
            service: self.source,
        }
    }

    /// Whether the data fills the datagram, so that more of the request follows.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len >= FULL_DATAGRAM_BYTES
    }

    /// Whether a caller opens a flow with this datagram.
    #[must_use]
    pub fn is_opening(&self) -> bool {
        self.opens && !self.acknowledges
    }
}
