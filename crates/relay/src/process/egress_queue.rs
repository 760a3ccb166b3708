//! Pacing for a host with a low-bandwidth link.
//!
//! A caller's window of datagrams that arrives within milliseconds overflows the
//! queue of a link of a few Mbit/s. The link drops the excess, which the caller
//! retransmits only after its timeout. An [`EgressQueue`] releases datagrams at
//! the rate of the link and queues the others for a bounded time: control messages
//! first, then flows by the priority of their routes, and fairly between the flows of a
//! priority. When it is full, the least urgent datagrams are dropped.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use flow::FlowTuple;
use queueing::OvertakingDebt;
use types::{BytesPerSecond, Priority};

use super::fair_queue::FairQueue;

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Maximum burst, as transmission time on the link. It stays below the capacity of
/// the link's own queue.
const MAX_BURST_TIME: Duration = Duration::from_millis(12);

/// Maximum queue length, as transmission time on the link. A caller retransmits a
/// datagram after 200 ms; a queue longer than two of these timeouts would send
/// everything twice.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(350);

/// Bytes that a priority must be owed before it goes ahead of a more urgent one: a full
/// datagram.
const MIN_OWED_BYTES: u64 = 1300;

/// A datagram and its destination.
pub type OutgoingDatagram = (SocketAddrV4, Vec<u8>);

/// Bytes of a datagram on the link.
pub(super) fn link_bytes(datagram: &OutgoingDatagram) -> usize {
    datagram.1.len() + HEADER_BYTES
}

/// What a datagram belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// A message between processes.
    Control,
    /// A datagram of a flow.
    Flow(FlowTuple, Priority),
}

/// A queue of datagrams that is paced to the rate of a link.
#[derive(Debug)]
pub struct EgressQueue {
    /// Rate of the link; `None` disables pacing.
    rate: Option<BytesPerSecond>,
    /// When the link has transmitted all datagrams released so far.
    link_free_at: Instant,
    control: VecDeque<OutgoingDatagram>,
    /// The priorities with queued datagrams.
    levels: BTreeMap<Priority, FairQueue<FlowTuple>>,
    /// Bytes that the priorities are owed.
    debt: OvertakingDebt,
    /// Queued bytes, with headers.
    queued_bytes: usize,
}

impl EgressQueue {
    /// Creates an empty queue; without a rate it does not pace.
    #[must_use]
    pub fn new(rate: Option<BytesPerSecond>, now: Instant) -> Self {
        EgressQueue {
            rate,
            link_free_at: now,
            control: VecDeque::new(),
            levels: BTreeMap::new(),
            debt: OvertakingDebt::new(MIN_OWED_BYTES),
            queued_bytes: 0,
        }
    }

    fn is_full(&self) -> bool {
        self.rate
            .is_some_and(|rate| rate.transmission_time(self.queued_bytes) >= MAX_QUEUE_TIME)
    }

    /// Appends a datagram. Returns the datagram that was dropped if the queue is full:
    /// of the least urgent priority, and within it of the flow with the longest queue.
    #[must_use]
    pub fn push(
        &mut self,
        traffic: Traffic,
        to: SocketAddrV4,
        datagram: Vec<u8>,
    ) -> Option<OutgoingDatagram> {
        let datagram = (to, datagram);
        let is_full = self.is_full();
        self.queued_bytes += link_bytes(&datagram);
        match traffic {
            Traffic::Control => self.control.push_back(datagram),
            Traffic::Flow(key, priority) => {
                let level = self.levels.entry(priority).or_default();
                level.push(key, datagram);
            }
        }
        is_full.then(|| self.drop_least_urgent()).flatten()
    }

    fn drop_least_urgent(&mut self) -> Option<OutgoingDatagram> {
        let dropped = match self.levels.last_entry() {
            Some(mut level) => {
                let dropped = level.get_mut().drop_longest();
                if level.get().is_empty() {
                    level.remove();
                }
                dropped
            }
            None => self.control.pop_back(),
        }?;
        self.queued_bytes -= link_bytes(&dropped);
        Some(dropped)
    }

    /// Removes the next datagram that the link can transmit at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<OutgoingDatagram> {
        if self.link_free_at > now + MAX_BURST_TIME {
            return None;
        }
        let datagram = match self.control.pop_front() {
            Some(datagram) => datagram,
            None => self.pop_flow()?,
        };
        let size = link_bytes(&datagram);
        self.queued_bytes -= size;
        if let Some(rate) = self.rate {
            self.link_free_at = self.link_free_at.max(now) + rate.transmission_time(size);
        }
        Some(datagram)
    }

    /// Removes the next datagram of a flow.
    fn pop_flow(&mut self) -> Option<OutgoingDatagram> {
        let mut priorities = self.levels.keys();
        let owed = priorities.find(|priority| self.debt.is_owed(**priority));
        let priority = *owed.or_else(|| self.levels.keys().next())?;
        let level = self.levels.get_mut(&priority)?;
        let datagram = level.pop()?;
        if level.is_empty() {
            self.levels.remove(&priority);
        }
        let size = u64::try_from(link_bytes(&datagram)).unwrap_or(u64::MAX);
        let waiting = self.levels.keys().copied();
        self.debt.record_served(priority, size, waiting);
        Some(datagram)
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
