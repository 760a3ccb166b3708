//! Voters that have lost their disks.
//!
//! A voter whose address answers under another id can never vote or acknowledge again.
//! Every member learns this from the answer itself or from a message of a member that
//! knows it, and tells it in each of its own messages. See [`Group::has_quorum`].
//!
//! [`Group::has_quorum`]: crate::Group::has_quorum

use super::{Consensus, RoleState};
use crate::version::Votes;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use types::MemberId;

impl Consensus {
    /// Records that the sender has the address of a voter.
    pub(super) fn record_replacement(
        &mut self,
        (sender, address): (MemberId, SocketAddr),
        member: MemberId,
    ) {
        let Some(group) = self.log.group() else {
            return;
        };
        // A member that uses another address than its own shows nothing about that
        // address.
        let has_moved = group.address(sender).is_some_and(|own| own != address);
        if group.address(member) == Some(address) && !has_moved {
            self.record_losses(&BTreeSet::from([member]));
        }
    }

    /// Records the losses that another member has reported.
    pub(super) fn record_losses(&mut self, reported: &BTreeSet<MemberId>) {
        let Some(group) = self.log.group() else {
            return;
        };
        let known = self.lost_voters.len();
        let others = reported.iter().filter(|id| **id != self.identity.id);
        let lost = others.filter(|id| group.is_voter(**id));
        self.lost_voters.extend(lost);
        // The members that support this one have to know the loss.
        if self.lost_voters.len() > known && matches!(self.role_state, RoleState::PreCandidate(_)) {
            self.begin_pre_vote();
        }
    }

    /// Forgets the lost voters that are not in the group any more.
    pub(super) fn forget_former_voters(&mut self) {
        if let Some(group) = self.log.group().filter(|_| !self.lost_voters.is_empty()) {
            self.lost_voters.retain(|id| group.is_voter(*id));
        }
    }

    /// Whether the members that granted their votes are a quorum of the group.
    pub(super) fn is_elected(&self, votes: &Votes) -> bool {
        let known_losses = |id| match votes.get(&id) {
            Some(_) if id == self.identity.id => Some(&self.lost_voters),
            losses => losses,
        };
        let min_quorum = self.settings.min_quorum;
        self.electing_group()
            .is_some_and(|group| group.has_quorum(min_quorum, known_losses))
    }
}
