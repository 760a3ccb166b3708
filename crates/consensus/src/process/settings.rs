//! Settings and identity of a member.

use std::net::SocketAddr;
use std::time::Duration;
use types::{BytesPerSecond, MemberId};

/// Id and address of this member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberIdentity {
    /// The id that was generated with the data folder.
    pub id: MemberId,
    /// Address at which other members reach this one. It is sent in each message,
    /// so that a member without a group can reply.
    pub address: SocketAddr,
}

/// Timeouts and limits of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader before an election; at least twice
    /// `heartbeat_interval`, or one lost message starts an election.
    pub election_timeout_min: Duration,
    /// Longest time without a leader before an election; above `election_timeout_min`.
    /// A leader that gets no replies from a quorum for this long steps down.
    pub election_timeout_max: Duration,
    /// Minimum number of disks that hold a committed entry when half of the voters are a
    /// quorum, because another voter has lost its disk. The same on all members.
    pub min_quorum: usize,
    /// Maximum size of the entries in one message, in bytes; a single larger
    /// entry is still sent.
    pub max_append_bytes: usize,
    /// Maximum number of unacknowledged entries sent to a member.
    pub max_inflight_entries: u64,
    /// Maximum size of the entries in a message that is no transfer, in bytes. The
    /// encoded message must fit in a datagram.
    pub max_inline_bytes: usize,
    /// Maximum size of all transfers in flight, in bytes; a single larger one is still
    /// sent.
    pub max_transfer_bytes: usize,
    /// Rate of a member's link, from which the deadlines of transfers are derived.
    pub link_rate: BytesPerSecond,
    /// Maximum size of a command in bytes; a larger one is rejected.
    pub max_command_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(400),
            election_timeout_max: Duration::from_millis(800),
            min_quorum: 2,
            max_append_bytes: 64 * 1024,
            max_inflight_entries: 1024,
            // The encoding of 33 empty entries and of a message's other fields takes
            // less than 400 bytes, and a datagram 1,200.
            max_inline_bytes: 800,
            // One command of the maximum size: each transfer needs a buffer.
            max_transfer_bytes: 4 << 20,
            // 100 Mbit/s, the link of a control host.
            link_rate: BytesPerSecond(12_500_000),
            // 16,000 routes take 3.2 MB, and a receiver may use 64 MB of memory.
            max_command_bytes: 4 << 20,
        }
    }
}
