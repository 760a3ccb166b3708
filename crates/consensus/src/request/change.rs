//! Membership changes.

use crate::request::Rejection;
use crate::version::Group;
use std::net::SocketAddr;
use types::MemberId;

/// A membership change of one member, or of a learner and the voter that it succeeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupChange {
    /// Adds a member that receives the log and does not vote.
    AddLearner(MemberId, SocketAddr),
    /// Promotes a learner that has caught up to a voter.
    Promote(MemberId),
    /// Gives the vote of a voter to a learner that has caught up. The voter becomes a
    /// standby: a learner.
    Exchange {
        /// The learner.
        joins: MemberId,
        /// The voter.
        leaves: MemberId,
    },
    /// Removes a voter or learner.
    Remove(MemberId),
}

impl GroupChange {
    /// The group after this change.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::AlreadyMember`], [`Rejection::NoSuchMember`] or
    /// [`Rejection::LastVoter`] if the change is not valid for the group.
    pub fn apply(self, group: &Group) -> Result<Group, Rejection> {
        let mut group = group.clone();
        match self {
            GroupChange::AddLearner(id, address) => {
                if group.contains(id) {
                    return Err(Rejection::AlreadyMember);
                }
                group.learners.insert(id, address);
            }
            GroupChange::Promote(id) => {
                let address = group.learners.remove(&id);
                let address = address.ok_or(Rejection::NoSuchMember)?;
                group.voters.insert(id, address);
                group.standbys.remove(&id);
            }
            GroupChange::Exchange { joins, leaves } => {
                let joining = group.learners.remove(&joins);
                let leaving = group.voters.remove(&leaves);
                let (joining, leaving) = joining.zip(leaving).ok_or(Rejection::NoSuchMember)?;
                group.voters.insert(joins, joining);
                group.learners.insert(leaves, leaving);
                group.standbys.remove(&joins);
                group.standbys.insert(leaves);
            }
            GroupChange::Remove(id) => {
                if !group.contains(id) {
                    return Err(Rejection::NoSuchMember);
                }
                group.learners.remove(&id);
                group.voters.remove(&id);
                group.standbys.remove(&id);
                if group.voters.is_empty() {
                    return Err(Rejection::LastVoter);
                }
            }
        }
        Ok(group)
    }
}
