//! Pacing for a host with a low-bandwidth link.
//!
//! A caller's window of datagrams that arrives within milliseconds overflows the
//! queue of a link of a few Mbit/s. The link drops the excess, which the caller
//! retransmits only after its timeout. An [`EgressQueue`] releases datagrams at
//! the rate of the link and queues the others for a bounded time.

use std::{
    collections::VecDeque,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use types::BytesPerSecond;

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Maximum burst, as transmission time on the link. It stays below the capacity of
/// the link's own queue.
const MAX_BURST_TIME: Duration = Duration::from_millis(12);

/// Maximum queue length, as transmission time on the link. A caller retransmits a
/// datagram after 200 ms; a queue longer than two of these timeouts would send
/// everything twice.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(350);

/// Datagrams up to this size are sent first: they open flows or acknowledge data,
/// and hardly delay larger ones.
const SMALL_DATAGRAM_BYTES: usize = 256;

/// A datagram and its destination.
pub type OutgoingDatagram = (SocketAddrV4, Vec<u8>);

/// A queue of datagrams that is paced to the rate of a link.
#[derive(Debug)]
pub struct EgressQueue {
    /// Rate of the link; `None` disables pacing.
    rate: Option<BytesPerSecond>,
    /// When the link has transmitted all datagrams released so far.
    link_free_at: Instant,
    small_datagrams: VecDeque<OutgoingDatagram>,
    large_datagrams: VecDeque<OutgoingDatagram>,
    /// Bytes in both queues, with headers.
    queued_bytes: usize,
}

impl EgressQueue {
    /// Creates an empty queue; without a rate it does not pace.
    #[must_use]
    pub fn new(rate: Option<BytesPerSecond>, now: Instant) -> Self {
        EgressQueue {
            rate,
            link_free_at: now,
            small_datagrams: VecDeque::new(),
            large_datagrams: VecDeque::new(),
            queued_bytes: 0,
        }
    }

    /// Appends a datagram. Returns `false` if the queue is full.
    pub fn push(&mut self, to: SocketAddrV4, datagram: Vec<u8>) -> bool {
        if let Some(rate) = self.rate
            && rate.transmission_time(self.queued_bytes) >= MAX_QUEUE_TIME
        {
            return false;
        }
        self.queued_bytes += datagram.len() + HEADER_BYTES;
        let queue = if datagram.len() <= SMALL_DATAGRAM_BYTES {
            &mut self.small_datagrams
        } else {
            &mut self.large_datagrams
        };
        queue.push_back((to, datagram));
        true
    }

    /// Removes the next datagram that the link can transmit at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<OutgoingDatagram> {
        if self.link_free_at > now + MAX_BURST_TIME {
            return None;
        }
        let (to, datagram) = self
            .small_datagrams
            .pop_front()
            .or_else(|| self.large_datagrams.pop_front())?;
        let size = datagram.len() + HEADER_BYTES;
        self.queued_bytes -= size;
        if let Some(rate) = self.rate {
            self.link_free_at = self.link_free_at.max(now) + rate.transmission_time(size);
        }
        Some((to, datagram))
    }

    /// When the next queued datagram can be removed; `None` if the queue is empty.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        (self.queued_bytes > 0).then(|| {
            self.link_free_at
                .checked_sub(MAX_BURST_TIME)
                .unwrap_or(self.link_free_at)
        })
    }
}
