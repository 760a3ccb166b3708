//! Settings and identity of a member.

use std::net::SocketAddr;
use std::time::Duration;
use types::MemberId;

/// Who this member is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberIdentity {
    /// The id that was made with the data folder.
    pub id: MemberId,
    /// Where other members reach this one; goes along in each message, so that
    /// a member that knows no group can answer.
    pub address: SocketAddr,
}

/// Times and sizes of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between two rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader before an election; at least twice
    /// `heartbeat_interval`, or one lost message costs an election.
    pub election_timeout_min: Duration,
    /// Longest time without a leader before an election; above `election_timeout_min`.
    /// A leader that hears no majority for this long steps down.
    pub election_timeout_max: Duration,
    /// Bytes of entries after which a message is full; a single larger entry
    /// is still sent.
    pub max_append_bytes: usize,
    /// Entries sent to a member ahead of its acknowledgement.
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
