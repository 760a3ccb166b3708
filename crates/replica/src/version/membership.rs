//! The policy by which the leader adds and removes members.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use consensus::{Group, GroupChange};
use types::MemberId;

/// Limits and timeouts of a [`MembershipPolicy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Minimum number of voters that remain when a silent one is removed: twice the
    /// number of tolerated losses plus one. With fewer, an accepted change could be
    /// on too few disks.
    pub min_voters: usize,
    /// Maximum number of voters. More voters slow down each change without adding
    /// safety.
    pub max_voters: usize,
    /// A member that was not heard for this long may be removed. Short, because a
    /// voter that returns is added again without data loss.
    pub removal_timeout: Duration,
    /// A host is added only if it was heard within this time.
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

/// The last contact with a control host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlHostContact {
    /// Its address for messages between members.
    pub address: SocketAddr,
    /// When it was last heard, directly or through another control host.
    pub last_heard: Instant,
    /// Whether it has announced that it is stopping.
    pub leaving: bool,
}

/// Decides which membership change the leader proposes next.
#[derive(Debug, Clone, Copy)]
pub struct MembershipPolicy {
    settings: MembershipSettings,
}

impl MembershipPolicy {
    /// Creates a policy with these limits.
    #[must_use]
    pub fn new(settings: MembershipSettings) -> Self {
        MembershipPolicy { settings }
    }

    /// The next membership change, if any. In order of precedence:
    ///
    /// 1. a learner that has caught up becomes a voter;
    /// 2. a member whose address is now used by another member is removed: its
    ///    disk is lost, so it can never return. A voter is removed only if majorities
    ///    stay as large as those of the minimum number of voters;
    /// 3. a host that is not in the group becomes a learner;
    /// 4. a silent member is removed, as long as enough voters remain.
    #[must_use]
    pub fn next_change(
        &self,
        local_id: MemberId,
        group: &Group,
        caught_up: &BTreeSet<MemberId>,
        contacts: &BTreeMap<MemberId, ControlHostContact>,
        now: Instant,
    ) -> Option<GroupChange> {
        self.caught_up_learner(group, caught_up)
            .or_else(|| self.replaced_member(local_id, group, contacts, now))
            .or_else(|| self.new_host(group, contacts, now))
            .or_else(|| self.silent_member(local_id, group, caught_up, contacts, now))
    }

    fn caught_up_learner(
        &self,
        group: &Group,
        caught_up: &BTreeSet<MemberId>,
    ) -> Option<GroupChange> {
        let is_caught_up = |id: &&MemberId| caught_up.contains(id);
        let learner = group.learners.keys().find(is_caught_up)?;
        let has_room = group.voters.len() < self.settings.max_voters;
        has_room.then_some(GroupChange::Promote(*learner))
    }

    fn is_present(&self, host: &ControlHostContact, now: Instant) -> bool {
        !host.leaving && now < host.last_heard + self.settings.admission_timeout
    }

    fn replaced_member(
        &self,
        local_id: MemberId,
        group: &Group,
        contacts: &BTreeMap<MemberId, ControlHostContact>,
        now: Instant,
    ) -> Option<GroupChange> {
        let is_replaced = |id: MemberId, address: SocketAddr| {
            contacts.iter().any(|(other, host)| {
                *other != id && host.address == address && self.is_present(host, now)
            })
        };
        let (id, _) = group
            .members()
            .find(|(id, address)| *id != local_id && is_replaced(*id, *address))?;
        // The remaining voters must have majorities of at least as many disks as the
        // minimum number of voters.
        let remaining = group.voters.len().saturating_sub(1);
        let has_enough = remaining > 0 && remaining / 2 >= self.settings.min_voters / 2;
        (!group.is_voter(id) || has_enough).then_some(GroupChange::Remove(id))
    }

    fn new_host(
        &self,
        group: &Group,
        contacts: &BTreeMap<MemberId, ControlHostContact>,
        now: Instant,
    ) -> Option<GroupChange> {
        let has_room = group.voters.len() + group.learners.len() < self.settings.max_voters;
        let (id, host) = contacts
            .iter()
            .find(|(id, host)| !group.contains(**id) && self.is_present(host, now))?;
        has_room.then_some(GroupChange::AddLearner(*id, host.address))
    }

    fn silent_member(
        &self,
        local_id: MemberId,
        group: &Group,
        caught_up: &BTreeSet<MemberId>,
        contacts: &BTreeMap<MemberId, ControlHostContact>,
        now: Instant,
    ) -> Option<GroupChange> {
        // A member that replies to the leader is alive, even if the directory has
        // no recent contact with it.
        let is_silent = |id: MemberId| {
            id != local_id
                && !caught_up.contains(&id)
                && contacts
                    .get(&id)
                    .is_none_or(|host| now >= host.last_heard + self.settings.removal_timeout)
        };
        if let Some(id) = group.learners.keys().find(|id| is_silent(**id)) {
            return Some(GroupChange::Remove(*id));
        }
        if group.voters.len() <= self.settings.min_voters {
            return None;
        }
        let id = group.voters.keys().find(|id| is_silent(**id))?;
        Some(GroupChange::Remove(*id))
    }
}
