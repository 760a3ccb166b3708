//! The members of the control group.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
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
    /// The voters before a change of voters that is not complete, and empty otherwise.
    /// While it is not empty, the group is joint: a quorum consists of a quorum of
    /// `voters` and one of `outgoing`, for elections as for commits.
    #[serde(default)]
    pub outgoing: BTreeMap<MemberId, SocketAddr>,
    /// Learners whose vote was given to a successor. Only learners.
    #[serde(default)]
    pub standbys: BTreeSet<MemberId>,
    /// Number of voters of the first group; 0 if an earlier version formed it.
    #[serde(default)]
    pub initial_voters: usize,
}

/// The members that granted a vote, each with the members whose disks it knew to be lost.
pub(crate) type Votes = BTreeMap<MemberId, BTreeSet<MemberId>>;

impl Group {
    /// Creates a group of these voters and no learners.
    #[must_use]
    pub fn from_voters(voters: impl IntoIterator<Item = (MemberId, SocketAddr)>) -> Self {
        Group {
            voters: voters.into_iter().collect(),
            ..Group::default()
        }
    }

    /// The group that is in force between this one and `next`: joint, unless they have
    /// the same voters.
    #[must_use]
    pub fn transition_to(&self, next: Group) -> Group {
        let same = self.voters.keys().eq(next.voters.keys());
        Group {
            outgoing: if same {
                BTreeMap::new()
            } else {
                self.voters.clone()
            },
            ..next
        }
    }

    /// Whether a change of voters is not complete.
    #[must_use]
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether the member votes, in a joint group also as an outgoing voter.
    #[must_use]
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters.contains_key(&id) || self.outgoing.contains_key(&id)
    }

    /// Whether the member is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: MemberId) -> bool {
        self.is_voter(id) || self.learners.contains_key(&id)
    }

    /// The address of a member.
    #[must_use]
    pub fn address(&self, id: MemberId) -> Option<SocketAddr> {
        let members = self.voters.get(&id).or_else(|| self.learners.get(&id));
        members.or_else(|| self.outgoing.get(&id)).copied()
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, SocketAddr)> {
        let remaining = |id| self.voters.contains_key(id) || self.learners.contains_key(id);
        let outgoing = self.outgoing.iter().filter(move |(id, _)| !remaining(id));
        self.voters
            .iter()
            .chain(&self.learners)
            .chain(outgoing)
            .map(|(id, address)| (*id, *address))
    }

    /// All members that vote, in a joint group the outgoing voters as well.
    pub fn electorate(&self) -> impl Iterator<Item = (MemberId, SocketAddr)> {
        self.members().filter(|(id, _)| self.is_voter(*id))
    }

    /// Whether the members that agree are a quorum, in a joint group of both sets of
    /// voters. `known_losses` returns the members whose disks a member knows to be lost,
    /// and `None` for a member that does not agree.
    ///
    /// More than half of the voters are a quorum. Exactly half are one only if there are
    /// at least `min_quorum` of them and all know that the same other voter has lost its
    /// disk. Two such halves cannot be disjoint: each would contain the voter that the other
    /// one knows to be lost, and each of these two would have agreed after the loss of
    /// the other. Without a loss, neither side of an even split can commit.
    #[must_use]
    pub fn has_quorum<'a>(
        &self,
        min_quorum: usize,
        known_losses: impl Fn(MemberId) -> Option<&'a BTreeSet<MemberId>>,
    ) -> bool {
        let is_quorum = |voters| is_quorum_of(voters, min_quorum, &known_losses);
        is_quorum(&self.voters) && (!self.is_joint() || is_quorum(&self.outgoing))
    }

    /// How many of the voters for which `holds_log` is true may lose their disks at once,
    /// so that a quorum of the others remains once the losses are known.
    #[must_use]
    pub fn tolerated_losses(
        &self,
        min_quorum: usize,
        holds_log: impl Fn(MemberId) -> bool,
    ) -> usize {
        let tolerated = |voters: &BTreeMap<MemberId, SocketAddr>| {
            let half = voters.len() / 2;
            let half_suffices = voters.len().is_multiple_of(2) && half >= min_quorum;
            let needed = if half_suffices { half } else { half + 1 };
            let count = voters.keys().filter(|id| holds_log(**id)).count();
            count.saturating_sub(needed)
        };
        let sets = [&self.voters, &self.outgoing].into_iter();
        let tolerated = sets.filter(|voters| !voters.is_empty()).map(tolerated);
        tolerated.min().unwrap_or(0)
    }
}

fn is_quorum_of<'a>(
    voters: &BTreeMap<MemberId, SocketAddr>,
    min_quorum: usize,
    known_losses: impl Fn(MemberId) -> Option<&'a BTreeSet<MemberId>>,
) -> bool {
    let agreeing: BTreeMap<_, _> = voters
        .keys()
        .filter_map(|id| known_losses(*id).map(|known| (id, known)))
        .collect();
    let is_known_loss = |id: &MemberId| {
        !agreeing.contains_key(id) && agreeing.values().all(|known| known.contains(id))
    };
    match (2 * agreeing.len()).cmp(&voters.len()) {
        Ordering::Greater => true,
        Ordering::Equal => agreeing.len() >= min_quorum && voters.keys().any(is_known_loss),
        Ordering::Less => false,
    }
}
