//! Membership changes.

use crate::request::Rejection;
use crate::version::Group;
use std::net::SocketAddr;
use types::MemberId;

/// A membership change that adds, promotes or removes one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupChange {
    /// Adds a member that receives the log and does not vote.
    AddLearner(MemberId, SocketAddr),
    /// Promotes a learner that has caught up to a voter.
    Promote(MemberId),
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
            }
            GroupChange::Remove(id) => {
                if !group.contains(id) {
                    return Err(Rejection::NoSuchMember);
                }
                group.learners.remove(&id);
                group.voters.remove(&id);
                if group.voters.is_empty() {
                    return Err(Rejection::LastVoter);
                }
            }
        }
        Ok(group)
    }
}
