//! Progress of a request, inferred from the datagrams of its flow.
//!
//! The data of a flow is opaque, but a caller fills every datagram of a request except
//! the last one. While full datagrams arrive, more of the request follows and its
//! upstream cannot work on it yet: an upload over a slow link takes far longer to arrive
//! than to serve.

use std::time::{Duration, Instant};

use crate::Segment;

/// A request that paused for this long after a full datagram counts as complete: its
/// length may be a multiple of a full datagram. Longer than a caller's first
/// retransmission, which comes after 200 ms.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(250);

/// Progress of the latest request on a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum RequestProgress {
    /// There is no request, or its response has begun.
    #[default]
    Idle,
    /// A part of the request has arrived. It counts as complete at this instant unless
    /// more arrives.
    Arriving(Instant),
    /// The request is complete and waits for the first byte of its response.
    Waiting,
}

impl RequestProgress {
    /// Progress after a datagram with new data of the caller.
    pub fn after_data(seg: &Segment, now: Instant) -> Self {
        if seg.is_full() {
            RequestProgress::Arriving(now + ARRIVAL_PAUSE)
        } else {
            RequestProgress::Waiting
        }
    }

    /// Whether there is a request without a response.
    pub fn is_pending(self) -> bool {
        self != RequestProgress::Idle
    }

    /// Whether the upstream works on the request or has queued it.
    pub fn needs_slot(self, now: Instant) -> bool {
        match self {
            RequestProgress::Idle => false,
            RequestProgress::Arriving(complete_at) => now >= complete_at,
            RequestProgress::Waiting => true,
        }
    }
}
