//! The protocol of the callers.

use bytes::Bytes;
use flow::Segment;

/// Reads and writes the datagrams of the callers' protocol.
pub trait Codec: Clone + 'static {
    /// Reads the header; `None` if the datagram is not of the protocol.
    fn parse(&self, datagram: &[u8]) -> Option<Segment>;

    /// The part of a datagram that [`parse`](Codec::parse) needs.
    fn header<'a>(&self, datagram: &'a [u8]) -> &'a [u8];

    /// Takes back the mark of a datagram that an upstream returned.
    fn clear_bounce(&self, datagram: &mut [u8]);

    /// A datagram that breaks off the flow of a caller's datagram.
    fn reset(&self, seg: &Segment) -> Bytes;
}
