//! The members of the control group.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use types::MemberId;

/// The members of the control group and their addresses.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Group {
    /// Members that vote and count towards the majority. Never also a learner.
    pub voters: BTreeMap<MemberId, SocketAddr>,
    /// Members that receive the log but do not vote or count towards the
    /// majority.
    pub learners: BTreeMap<MemberId, SocketAddr>,
}

impl Group {
    /// Creates a group of these voters and no learners.
    #[must_use]
    pub fn from_voters(voters: impl IntoIterator<Item = (MemberId, SocketAddr)>) -> Self {
        Group {
            voters: voters.into_iter().collect(),
            learners: BTreeMap::new(),
        }
    }

    /// Whether the member votes.
    #[must_use]
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters.contains_key(&id)
    }

    /// Whether the member is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: MemberId) -> bool {
        self.is_voter(id) || self.learners.contains_key(&id)
    }

    /// The address of a member.
    #[must_use]
    pub fn address(&self, id: MemberId) -> Option<SocketAddr> {
        self.voters
            .get(&id)
            .or_else(|| self.learners.get(&id))
            .copied()
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, SocketAddr)> {
        self.voters
            .iter()
            .chain(&self.learners)
            .map(|(id, address)| (*id, *address))
    }

    /// Whether `agrees` holds for more than half of the voters. Exactly half is
    /// not a majority, so neither side of an even split can commit.
    #[must_use]
    pub fn has_majority(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        let count = self.voters.keys().filter(|id| agrees(**id)).count();
        2 * count > self.voters.len()
    }
}
