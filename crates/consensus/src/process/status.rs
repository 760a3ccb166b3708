//! What a member tells about itself.

use crate::version::Group;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use types::{MemberId, Revision, Term};

/// The part a member plays in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one; also a learner or a blank member.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a member tells about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This member.
    pub id: MemberId,
    /// Its part.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader of the term and its address, if known.
    pub leader: Option<(MemberId, SocketAddr)>,
    /// The last index known to be committed.
    pub commit_index: Revision,
    /// The last index of the log.
    pub last_index: Revision,
    /// The last index covered by the snapshot.
    pub snapshot_index: Revision,
    /// The group in force; `None` in a blank member.
    pub group: Option<Group>,
    /// Whether the last group change is still uncommitted.
    pub change_pending: bool,
    /// At the leader: the other members that hold every committed entry and
    /// were heard within an election timeout.
    pub caught_up: BTreeSet<MemberId>,
    /// Whether the last write failed.
    pub disk_failed: bool,
}

impl Status {
    /// Whether this member leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Whether this member knows no group.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.group.is_none()
    }
}
