//! Settings and identity of a member.

use std::net::SocketAddr;
use std::time::Duration;
use types::MemberId;

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
    /// Maximum size of the entries in one message, in bytes; a single larger
    /// entry is still sent.
    pub max_append_bytes: usize,
    /// Maximum number of unacknowledged entries sent to a member.
    pub max_inflight_entries: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(400),
            election_timeout_max: Duration::from_millis(800),
            max_append_bytes: 64 * 1024,
            max_inflight_entries: 1024,
        }
    }
}
