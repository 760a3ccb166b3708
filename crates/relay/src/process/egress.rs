//! The way out of a host with a thin link.
//!
//! A link drops what it cannot take: a caller's window of datagrams that
//! arrives within milliseconds fills the queue of a link of a few Mbit/s, and
//! what is lost comes again only after the caller's time-out. An [`Egress`] sends
//! at the pace of the link and keeps the rest for a while.

use std::{
    collections::VecDeque,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use types::BytesPerSecond;

/// Bytes of the headers below a datagram.
const HEADERS: usize = 28;

/// What may be sent at once, as time of the link. Below the queue of a link.
const BURST: Duration = Duration::from_millis(12);

/// What is kept at most, as time of the link. A caller sends a datagram again
/// after 200 ms; more than two of these times would send everything twice.
const KEPT: Duration = Duration::from_millis(350);

/// Datagrams up to this size in bytes go first: they open flows and
/// acknowledge, and hardly delay the others.
const SMALL: usize = 256;

/// A datagram and where it goes.
pub type Outgoing = (SocketAddrV4, Vec<u8>);

/// Datagrams that wait for the link.
#[derive(Debug)]
pub struct Egress {
    /// `None` sends everything at once.
    rate: Option<BytesPerSecond>,
    /// The link has taken all that was sent at this instant.
    free_at: Instant,
    small: VecDeque<Outgoing>,
    large: VecDeque<Outgoing>,
    /// Bytes in both queues.
    waiting: usize,
}

impl Egress {
    /// A way out at this rate.
    #[must_use]
    pub fn new(rate: Option<BytesPerSecond>, now: Instant) -> Self {
        Egress {
            rate,
            free_at: now,
            small: VecDeque::new(),
            large: VecDeque::new(),
            waiting: 0,
        }
    }

    /// Takes a datagram. Returns whether it was kept: the queue may be full.
    pub fn push(&mut self, to: SocketAddrV4, datagram: Vec<u8>) -> bool {
        if let Some(rate) = self.rate
            && rate.time(self.waiting) >= KEPT
        {
            return false;
        }
        self.waiting += datagram.len() + HEADERS;
        let queue = if datagram.len() <= SMALL {
            &mut self.small
        } else {
            &mut self.large
        };
        queue.push_back((to, datagram));
        true
    }

    /// The next datagram that the link can take now.
    pub fn pop(&mut self, now: Instant) -> Option<Outgoing> {
        if self.free_at > now + BURST {
            return None;
        }
        let (to, datagram) = self.small.pop_front().or_else(|| self.large.pop_front())?;
        let size = datagram.len() + HEADERS;
        self.waiting -= size;
        if let Some(rate) = self.rate {
            self.free_at = self.free_at.max(now) + rate.time(size);
        }
        Some((to, datagram))
    }

    /// When the link can take the next datagram, if one waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        (self.waiting > 0).then(|| self.free_at.checked_sub(BURST).unwrap_or(self.free_at))
    }
}
