//! The changes by which the leader keeps its group complete.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use consensus::{Group, GroupChange};
use types::MemberId;

/// Rules of a [`Steward`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Voters that must remain when one that is silent is removed. Twice the
    /// losses to be borne and one more: with fewer, an accepted change could be
    /// on too few disks.
    pub min_voters: usize,
    /// Voters at most. More make each change slower and nothing safer.
    pub max_voters: usize,
    /// A voter that was not heard for this long may be removed. Short, because
    /// a voter that comes back is taken in again without loss.
    pub removal_timeout: Duration,
    /// A host that is to be added was heard within this time.
    pub admission_timeout: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            min_voters: 3,
            max_voters: 9,
            removal_timeout: Duration::from_millis(1500),
            admission_timeout: Duration::from_secs(1),
        }
    }
}

/// A control host that was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlHostContact {
    /// Where members reach it.
    pub address: SocketAddr,
    /// When it was last heard, by whatever way.
    pub last_heard: Instant,
    /// It has said that it ends.
    pub leaving: bool,
}

/// Decides how the leader changes its group.
#[derive(Debug, Clone, Copy)]
pub struct MembershipPolicy {
    settings: MembershipSettings,
}

impl MembershipPolicy {
    /// A steward with these rules.
    #[must_use]
    pub fn new(settings: MembershipSettings) -> Self {
        MembershipPolicy { settings }
    }

    /// The next change of the group, one at a time:
    ///
    /// 1. a learner that has caught up becomes a voter;
    /// 2. a member whose address another member has taken is removed: its disk
    ///    is lost, so it can never come back;
    /// 3. a host that is not in the group becomes a learner;
    /// 4. a silent member is removed, as long as enough voters remain.
    #[must_use]
    pub fn next_change(
        &self,
        me: MemberId,
        group: &Group,
        caught_up: &BTreeSet<MemberId>,
        heard: &BTreeMap<MemberId, ControlHostContact>,
        now: Instant,
    ) -> Option<GroupChange> {
        self.promotion(group, caught_up)
            .or_else(|| self.replaced(me, group, heard, now))
            .or_else(|| self.addition(group, heard, now))
            .or_else(|| self.removal(me, group, caught_up, heard, now))
    }

    fn promotion(&self, group: &Group, caught_up: &BTreeSet<MemberId>) -> Option<GroupChange> {
        let ready = |id: &&MemberId| caught_up.contains(id);
        let learner = group.learners.keys().find(ready)?;
        let room = group.voters.len() < self.settings.max_voters;
        room.then_some(GroupChange::Promote(*learner))
    }

    fn is_present(&self, host: &ControlHostContact, now: Instant) -> bool {
        !host.leaving && now < host.last_heard + self.settings.admission_timeout
    }

    fn replaced(
        &self,
        me: MemberId,
        group: &Group,
        heard: &BTreeMap<MemberId, ControlHostContact>,
        now: Instant,
    ) -> Option<GroupChange> {
        let successor = |id: MemberId, address: SocketAddr| {
            heard.iter().any(|(other, host)| {
                *other != id && host.address == address && self.is_present(host, now)
            })
        };
        let (id, _) = group
            .members()
            .find(|(id, address)| *id != me && successor(*id, *address))?;
        let last_voter = group.is_voter(id) && group.voters.len() == 1;
        (!last_voter).then_some(GroupChange::Remove(id))
    }

    fn addition(
        &self,
        group: &Group,
        heard: &BTreeMap<MemberId, ControlHostContact>,
        now: Instant,
    ) -> Option<GroupChange> {
        let room = group.voters.len() + group.learners.len() < self.settings.max_voters;
        let (id, host) = heard
            .iter()
            .find(|(id, host)| !group.contains(**id) && self.is_present(host, now))?;
        room.then_some(GroupChange::AddLearner(*id, host.address))
    }

    fn removal(
        &self,
        me: MemberId,
        group: &Group,
        caught_up: &BTreeSet<MemberId>,
        heard: &BTreeMap<MemberId, ControlHostContact>,
        now: Instant,
    ) -> Option<GroupChange> {
        // A member that answers the leader is there, whatever else was heard.
        let silent = |id: MemberId| {
            id != me
                && !caught_up.contains(&id)
                && heard
                    .get(&id)
                    .is_none_or(|host| now >= host.last_heard + self.settings.removal_timeout)
        };
        if let Some(id) = group.learners.keys().find(|id| silent(**id)) {
            return Some(GroupChange::Remove(*id));
        }
        if group.voters.len() <= self.settings.min_voters {
            return None;
        }
        let id = group.voters.keys().find(|id| silent(**id))?;
        Some(GroupChange::Remove(*id))
    }
}
