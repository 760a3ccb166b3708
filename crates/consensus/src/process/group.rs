//! Bootstrapping and changing the group.

use super::{Consensus, RoleState};
use crate::request::{GroupChange, Rejection, RequestToken};
use crate::version::{EntryPayload, Group, LogPosition, Snapshot};
use bytes::Bytes;
use std::collections::BTreeMap;

impl Consensus {
    /// Forms the first group. Ignored by a member that already has one.
    pub(super) fn bootstrap(&mut self, mut group: Group) {
        group.initial_voters = group.voters.len();
        if self.log.snapshot().is_none() && group.is_voter(self.identity.id) {
            self.log.install(Snapshot {
                position: LogPosition::default(),
                group,
                state: Bytes::new(),
            });
        }
    }

    /// Delays the change until a quorum has replied to a heartbeat round that
    /// began after the request. Otherwise a partitioned leader could append a
    /// removal, elect itself in the smaller group and commit alone.
    pub(super) fn change_group(&mut self, token: RequestToken, change: GroupChange) {
        if let Err(reason) = self.group_after(change) {
            return self.reject(token, reason);
        }
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        if leader.pending_change.is_some() {
            return self.reject(token, Rejection::ChangePending);
        }
        leader.pending_change = Some((token, change, leader.round + 1));
    }

    /// Appends a change once its round is confirmed, if it is still valid.
    pub(super) fn append_change(&mut self, token: RequestToken, change: GroupChange) {
        match self.group_after(change) {
            Ok(group) => self.append_proposal(token, EntryPayload::Group(group)),
            Err(reason) => self.reject(token, reason),
        }
    }

    /// Whether the last group change is not committed, or the group is still joint.
    pub(super) fn has_pending_change(&self) -> bool {
        let is_joint = self.log.group().is_some_and(Group::is_joint);
        is_joint || self.log.group_index() > self.commit
    }

    /// Appends the entry that ends a joint group, once the joint group is committed.
    pub(super) fn complete_joint_change(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let is_ready = self.commit >= self.log.group_index() && self.commit >= leader.first_index;
        let joint = self.log.group().filter(|group| group.is_joint());
        let Some(joint) = joint.filter(|_| is_ready && !self.disk.failed()) else {
            return;
        };
        let group = Group {
            outgoing: BTreeMap::new(),
            ..joint.clone()
        };
        let token = leader.joint_change.take();
        let index = self.append_as_leader(EntryPayload::Group(group));
        if let (RoleState::Leader(leader), Some(token)) = (&mut self.role_state, token) {
            leader.pending_proposals.insert(index, token);
        }
    }

    /// The group to append for the change, if the change may be appended now. A change of
    /// voters begins with a joint group, so that no leader can be elected, and no entry
    /// committed, by the former voters and by the new ones in parallel.
    fn group_after(&self, change: GroupChange) -> Result<Group, Rejection> {
        self.check_can_append()?;
        let RoleState::Leader(leader) = &self.role_state else {
            return Err(Rejection::NotLeader { leader: None });
        };
        // Before that, an uncommitted change of an earlier leader could be
        // effective on other members, and two concurrent changes can have
        // disjoint majorities.
        if self.commit < leader.first_index {
            return Err(Rejection::LeaderNotReady);
        }
        if self.has_pending_change() {
            return Err(Rejection::ChangePending);
        }
        let group = self.log.group().ok_or(Rejection::LeaderNotReady)?;
        let group = group.transition_to(change.apply(group)?);
        match change {
            GroupChange::Promote(id) | GroupChange::Exchange { joins: id, .. }
                if !self.caught_up(leader).contains(&id) =>
            {
                Err(Rejection::NotCaughtUp)
            }
            _ => Ok(group),
        }
    }

    /// Stops replicating to removed members. A leader that removed itself steps
    /// down once the removal is committed.
    pub(super) fn on_group_committed(&mut self) {
        self.update_peers();
        let stays = self
            .log
            .group()
            .is_some_and(|group| group.is_voter(self.identity.id));
        if !stays {
            self.become_follower();
        }
    }
}
