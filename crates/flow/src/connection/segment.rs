//! What a codec reads from a datagram.

use std::net::{Ipv4Addr, SocketAddrV4};

use super::FlowTuple;

/// The header of a datagram, as far as decisions need it.
#[expect(clippy::struct_excessive_bools, reason = "each is a bit of the header")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The end that wrote the datagram.
    pub source: SocketAddrV4,
    /// The end that it is for.
    pub destination: SocketAddrV4,
    /// Number of the first byte of data.
    pub seq: u32,
    /// The next byte expected from the other end, if `acknowledges`; in an
    /// opening datagram the number of its copy.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
    /// Opens a flow, or agrees to that if it also acknowledges.
    pub opens: bool,
    /// `ack` holds an acknowledgement.
    pub acknowledges: bool,
    /// The sender has nothing more to send.
    pub ends: bool,
    /// The flow does not exist or is broken off.
    pub resets: bool,
    /// An upstream returns the datagram: it does not hold the flow, or cannot
    /// accept it. The ends are those of the original.
    pub bounced: bool,
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
        }
    }
}

impl Segment {
    /// The flow of a datagram that a caller wrote.
    #[must_use]
    pub fn key_from_caller(&self) -> FlowTuple {
        FlowTuple {
            caller: self.source,
            service: self.destination,
        }
    }

    /// The flow of a datagram that an upstream wrote.
    #[must_use]
    pub fn key_from_upstream(&self) -> FlowTuple {
        FlowTuple {
            caller: self.destination,
            service: self.source,
        }
    }

    /// Whether a caller asks for a new flow.
    #[must_use]
    pub fn is_opening(&self) -> bool {
        self.opens && !self.acknowledges
    }
}
