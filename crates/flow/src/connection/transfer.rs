//! Large transfers of a caller, inferred from the datagrams of their flows.

use std::time::{Duration, Instant};

use crate::Segment;

/// Bytes of a full datagram on the link, with its headers.
const FULL_DATAGRAM_LINK_BYTES: usize = 1234 + 28;

/// Datagrams that a caller has in flight at most.
const WINDOW_DATAGRAMS: usize = 16;

/// Bytes of a full window on the link.
pub(crate) const WINDOW_BYTES: usize = WINDOW_DATAGRAMS * FULL_DATAGRAM_LINK_BYTES;

/// A transfer that sends nothing for this long does not use the link. Longer than a
/// caller's first retransmission, which comes after 200 ms.
const PAUSE: Duration = Duration::from_millis(300);

/// A transfer is kept for this long after its last datagram. Longer than a caller waits
/// for its flow to open (1.4 s), so that copies of its opening are recognized.
const RETENTION: Duration = Duration::from_secs(2);

/// A flow that brings, or is expected to bring, a large request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Transfer {
    /// Sequence number of the first byte of the request, and of the byte after the last
    /// one seen; `None` before the first datagram.
    range: Option<(u32, u32)>,
    /// Whether the last part has arrived.
    ended: bool,
    /// Expected bytes of the request, if its route is known.
    expected_bytes: Option<usize>,
    last_datagram_at: Instant,
}

impl Transfer {
    /// A flow that was admitted and has not sent data yet.
    pub fn admitted(expected_bytes: Option<usize>, now: Instant) -> Self {
        Transfer {
            range: None,
            ended: false,
            expected_bytes,
            last_datagram_at: now,
        }
    }

    /// A transfer whose first part is `seg`.
    pub fn with_part(seg: &Segment, now: Instant) -> Self {
        let end = seg.seq.wrapping_add(u32::from(seg.len));
        Transfer {
            range: Some((seg.seq, end)),
            ended: false,
            expected_bytes: None,
            last_datagram_at: now,
        }
    }

    /// Records a datagram of the flow. Returns the bytes of the request if it ends with
    /// this datagram.
    pub fn record(&mut self, seg: &Segment, now: Instant) -> Option<usize> {
        if seg.len > 0 {
            self.last_datagram_at = now;
        }
        let ended_before = self.ended;
        if seg.len > 0 {
            let end = seg.seq.wrapping_add(u32::from(seg.len));
            let (first, next) = self.range.unwrap_or((seg.seq, seg.seq));
            let is_newer = end.wrapping_sub(next) < u32::MAX / 2 && end != next;
            if is_newer && ended_before {
                // The next request of the flow.
                *self = Transfer::with_part(seg, now);
                self.ended = !seg.is_full();
                return self.ended.then_some(usize::from(seg.len));
            }
            if is_newer {
                self.range = Some((first, end));
                self.ended = !seg.is_full();
            }
        }
        self.ended |= seg.ends || seg.resets;
        let bytes = self.seen_bytes();
        (self.ended && !ended_before && bytes > 0).then_some(bytes)
    }

    fn seen_bytes(&self) -> usize {
        let (first, next) = self.range.unwrap_or_default();
        usize::try_from(next.wrapping_sub(first)).unwrap_or(usize::MAX)
    }

    /// Whether at most half a window of the expected bytes is still to come. A request
    /// that turns out to be longer is not about to end.
    pub fn is_about_to_end(&self) -> bool {
        let seen = self.seen_bytes();
        self.expected_bytes
            .is_some_and(|expected| seen + WINDOW_BYTES / 2 >= expected && seen <= expected)
    }

    /// Whether the transfer uses the link.
    pub fn is_active(&self, now: Instant) -> bool {
        !self.ended && now < self.last_datagram_at + PAUSE
    }

    /// Whether the transfer can be forgotten.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.last_datagram_at + RETENTION
    }
}
