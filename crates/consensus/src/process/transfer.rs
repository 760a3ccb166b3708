//! Messages with large entries or a snapshot, which take long to send.
//!
//! A member has at most one transfer in flight. Until it is acknowledged, has failed
//! or has passed its deadline, the member gets only heartbeats, and these refer to
//! the position before the transfer.

use super::leader::Peer;
use super::{Consensus, RoleState, Settings};
use crate::version::LogPosition;
use std::fmt;
use std::time::{Duration, Instant};
use types::Revision;

/// Identifies a transfer in the report of its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId(pub u64);

impl fmt::Display for TransferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Marks a message as a transfer. Its end is reported with
/// [`Input::TransferEnded`](super::Input::TransferEnded).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// Identifies the transfer.
    pub id: TransferId,
    /// When sending is given up; after this, the message may be sent again.
    pub deadline: Instant,
}

/// Share of the link's rate that a transfer gets in the worst case: others and the
/// traffic of nodes and operators use the same link.
const LINK_SHARE: u32 = 4;

/// Limit on the exponent by which the time for a transfer grows with failed ones.
const MAX_BACKOFF_EXPONENT: u32 = 3;

/// A transfer to a member that is not acknowledged yet.
#[derive(Debug, Clone)]
pub(super) struct TransferInFlight {
    pub id: TransferId,
    /// Size of its contents in bytes; 0 once it is delivered.
    pub bytes: usize,
    /// The last index that it contains.
    pub last: Revision,
    /// The position that heartbeats refer to meanwhile.
    pub before: LogPosition,
    /// When it counts as lost.
    pub deadline: Instant,
}

impl Settings {
    /// Time in which `bytes` bytes are sent on a link that carries `in_flight` others.
    /// It grows with each failed transfer, since the link may be slower than assumed.
    fn transfer_time(&self, bytes: usize, in_flight: usize, failures: u32) -> Duration {
        let factor = LINK_SHARE << failures.min(MAX_BACKOFF_EXPONENT);
        self.election_timeout_max + self.link_rate.transmission_time(bytes + in_flight) * factor
    }
}

impl Peer {
    /// Drops a transfer whose deadline has passed.
    pub(super) fn expire_transfer(&mut self, now: Instant) {
        let expired = |transfer: &mut TransferInFlight| now >= transfer.deadline;
        if self.transfer.take_if(expired).is_some() {
            self.failed_transfers = self.failed_transfers.saturating_add(1);
        }
    }
}

impl Consensus {
    /// Bytes of the transfers to members that reply. Those to silent members do not
    /// delay the others.
    pub(super) fn transfer_bytes_in_flight(&self) -> usize {
        let RoleState::Leader(leader) = &self.role_state else {
            return 0;
        };
        let peers = leader.peers.values();
        let heard = peers.filter(|peer| self.heard_recently(peer));
        let transfers = heard.filter_map(|peer| peer.transfer.as_ref());
        transfers.map(|transfer| transfer.bytes).sum()
    }

    /// Whether a transfer to the member may start now: the limit on the bytes in flight
    /// bounds the memory for encoded messages and the time until the first member has
    /// one.
    pub(super) fn may_transfer(&self, peer: &Peer, bytes: usize, in_flight: usize) -> bool {
        let has_room = in_flight == 0 || in_flight + bytes <= self.settings.max_transfer_bytes;
        has_room && peer.writable && self.heard_recently(peer)
    }

    /// Creates a transfer of the log through `last`.
    pub(super) fn new_transfer(
        &mut self,
        bytes: usize,
        in_flight: usize,
        failures: u32,
        before: LogPosition,
        last: Revision,
    ) -> TransferInFlight {
        let id = self.next_transfer;
        self.next_transfer = TransferId(id.0 + 1);
        let time = self.settings.transfer_time(bytes, in_flight, failures);
        TransferInFlight {
            id,
            bytes,
            last,
            before,
            deadline: self.now + time,
        }
    }

    /// Records the end of a transfer. One that was delivered gets the same time again
    /// until it is on the member's disk; one that was not is sent again, after a
    /// heartbeat interval.
    pub(super) fn transfer_ended(&mut self, id: TransferId, delivered: bool) {
        let (now, settings) = (self.now, self.settings);
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        for peer in leader.peers.values_mut() {
            let Some(transfer) = peer.transfer.as_mut().filter(|t| t.id == id) else {
                continue;
            };
            let rest = if delivered {
                // It no longer uses the link, so another one may start.
                let bytes = std::mem::take(&mut transfer.bytes);
                settings.transfer_time(bytes, 0, peer.failed_transfers)
            } else {
                settings.heartbeat_interval
            };
            transfer.deadline = now + rest;
        }
    }
}
