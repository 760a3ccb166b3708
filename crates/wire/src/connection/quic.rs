//! The version-independent part of the header of a QUIC packet (RFC 8999), and
//! the packet types of version 1 (RFC 9000, section 17.2).

use crate::{CID_LEN, Result, error::ErrorKind};

/// Bit of the first octet that marks a long header.
const LONG_HEADER_BIT: u8 = 0x80;

/// Offset of the length of the destination connection id in a long header.
const DCID_LEN_OFFSET: usize = 5;

/// Longest connection id of version 1, in bytes.
const MAX_CID_LEN: usize = 20;

/// QUIC version 1.
const QUIC_VERSION_1: u32 = 1;

/// Kind of a packet with a long header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LongHeaderKind {
    /// May open a connection: Initial, 0-RTT, or an unknown version.
    MayOpen,
    /// Belongs to a connection whose handshake is in progress.
    Handshake,
}

/// Header of a QUIC packet that a caller sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuicHeader<'a> {
    /// Packet with a long header, sent before the handshake is complete.
    Long {
        /// Kind of the packet.
        kind: LongHeaderKind,
        /// Destination connection id.
        dcid: &'a [u8],
    },
    /// Packet with a short header, sent on an established connection.
    Short {
        /// Destination connection id, always of [`CID_LEN`] bytes.
        dcid: &'a [u8],
    },
}

impl<'a> QuicHeader<'a> {
    /// Reads the header of the first packet of a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram ends within the header, or the connection id is too
    /// long.
    pub fn decode(packet: &'a [u8]) -> Result<Self> {
        let truncated = || ErrorKind::Truncated(packet.len());
        let first = *packet.first().ok_or_else(truncated)?;
        if first & LONG_HEADER_BIT == 0 {
            let dcid = packet.get(1..=CID_LEN).ok_or_else(truncated)?;
            return Ok(QuicHeader::Short { dcid });
        }
        let version = packet.get(1..DCID_LEN_OFFSET).ok_or_else(truncated)?;
        let len = usize::from(*packet.get(DCID_LEN_OFFSET).ok_or_else(truncated)?);
        if len > MAX_CID_LEN {
            return Err(ErrorKind::IdLength(len).into());
        }
        let start = DCID_LEN_OFFSET + 1;
        let dcid = packet.get(start..start + len).ok_or_else(truncated)?;
        let kind = long_header_kind(first, version);
        Ok(QuicHeader::Long { kind, dcid })
    }
}

fn long_header_kind(first: u8, version: &[u8]) -> LongHeaderKind {
    if version != QUIC_VERSION_1.to_be_bytes() {
        return LongHeaderKind::MayOpen;
    }
    match first >> 4 & 0b11 {
        // Initial and 0-RTT.
        0 | 1 => LongHeaderKind::MayOpen,
        _ => LongHeaderKind::Handshake,
    }
}
