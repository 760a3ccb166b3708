//! Forming and changing the group.

use super::{Consensus, Part};
use crate::request::{GroupChange, Rejection, RequestToken};
use crate::version::{EntryPayload, Group, LogPosition, Snapshot};
use bytes::Bytes;

impl Consensus {
    /// Forms the first group. Ignored by a member that knows a group already.
    pub(super) fn form(&mut self, group: Group) {
        if self.log.snapshot().is_none() && group.is_voter(self.me.id) {
            self.log.install(Snapshot {
                position: LogPosition::default(),
                group,
                state: Bytes::new(),
            });
        }
    }

    /// Keeps the change until a majority has answered a round that began after
    /// it was asked for. Otherwise a leader that is cut off could append a
    /// removal, elect itself in the smaller group and go on alone.
    pub(super) fn change_group(&mut self, token: RequestToken, change: GroupChange) {
        if let Err(reason) = self.changed_group(change) {
            return self.reject(token, reason);
        }
        let Part::Leader(leader) = &mut self.part else {
            return;
        };
        if leader.change.is_some() {
            return self.reject(token, Rejection::ChangePending);
        }
        leader.change = Some((token, change, leader.round + 1));
    }

    /// Appends a change whose round was answered, if it still fits.
    pub(super) fn append_change(&mut self, token: RequestToken, change: GroupChange) {
        match self.changed_group(change) {
            Ok(group) => self.append_proposal(token, EntryPayload::Group(group)),
            Err(reason) => self.reject(token, reason),
        }
    }

    /// The group after the change, if the change may be appended now.
    fn changed_group(&self, change: GroupChange) -> Result<Group, Rejection> {
        self.may_append()?;
        let Part::Leader(leader) = &self.part else {
            return Err(Rejection::NotLeader { leader: None });
        };
        // Before that, an uncommitted change of an earlier leader could be in
        // force elsewhere, and two changes at once can have disjoint majorities.
        if self.commit < leader.first {
            return Err(Rejection::LeaderNotReady);
        }
        if self.log.group_index() > self.commit {
            return Err(Rejection::ChangePending);
        }
        let group = self.log.group().ok_or(Rejection::LeaderNotReady)?;
        let group = change.apply(group)?;
        match change {
            GroupChange::Promote(id) if !self.caught_up(leader).contains(&id) => {
                Err(Rejection::NotCaughtUp)
            }
            _ => Ok(group),
        }
    }

    /// Lets go of removed members. A leader that removed itself has done its
    /// work once that is committed.
    pub(super) fn group_committed(&mut self) {
        self.refresh_peers();
        let stays = self
            .log
            .group()
            .is_some_and(|group| group.is_voter(self.me.id));
        if !stays {
            self.become_follower();
        }
    }
}
