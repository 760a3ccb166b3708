//! Externally visible status of a member.

use crate::version::Group;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use types::{MemberId, Revision, Term};

/// The Raft role of a member in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one. Learners and blank members are always
    /// followers.
    Follower,
    /// Collects pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Collects votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// Externally visible status of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Id of this member.
    pub id: MemberId,
    /// Its role.
    pub role: Role,
    /// Its current term.
    pub term: Term,
    /// The leader of the term and its address, if known.
    pub leader: Option<(MemberId, SocketAddr)>,
    /// The last index known to be committed.
    pub commit_index: Revision,
    /// The last index of the log.
    pub last_index: Revision,
    /// The last index covered by the snapshot.
    pub snapshot_index: Revision,
    /// The effective group; `None` in a blank member.
    pub group: Option<Group>,
    /// Whether the last membership change is still uncommitted.
    pub change_pending: bool,
    /// On the leader: the other members that hold every committed entry and
    /// replied within an election timeout.
    pub caught_up: BTreeSet<MemberId>,
    /// On a member that asks for votes or pre-votes: the members that granted theirs.
    pub supporters: BTreeSet<MemberId>,
    /// Other voters whose disks are known to be lost for good.
    pub lost_voters: BTreeSet<MemberId>,
    /// On the leader: how many further disks the group can lose at once, and still elect
    /// a leader that holds every committed entry when their hosts are back.
    pub tolerated_losses: usize,
    /// Whether the last write failed.
    pub disk_failed: bool,
}

impl Status {
    /// Whether this member is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Whether this member has no group yet.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.group.is_none()
    }
}
