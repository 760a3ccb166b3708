//! The protocol of the callers.

use bytes::Bytes;
use flow::Segment;

/// Parses and writes the datagrams of the callers' protocol.
pub trait Codec: Clone + 'static {
    /// Parses the header. Returns `None` if the datagram is malformed.
    fn parse(&self, datagram: &[u8]) -> Option<Segment>;

    /// The leading bytes of a datagram that [`parse`](Codec::parse) reads.
    fn header<'a>(&self, datagram: &'a [u8]) -> &'a [u8];

    /// Clears the flag that an upstream sets in a datagram that it returns.
    fn clear_bounce(&self, datagram: &mut [u8]);

    /// A datagram that resets the flow of a caller's datagram.
    fn reset(&self, seg: &Segment) -> Bytes;
}
