//! The policy by which the leader adds and removes members.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use consensus::{Group, GroupChange};
use types::{DataCentre, MemberId};

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
    /// Maximum number of voters and learners: three more than voters, so that as many
    /// successors may join before the hosts that they replace are removed.
    pub max_members: usize,
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
            max_members: 12,
            removal_timeout: Duration::from_millis(1500),
            admission_timeout: Duration::from_secs(1),
        }
    }
}

/// The last contact with a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlHostContact {
    /// Its address for messages between members.
    pub address: SocketAddr,
    /// When it was last heard, directly or through another control host.
    pub last_heard: Instant,
    /// Its data centre.
    pub data_centre: DataCentre,
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
    /// 1. a learner that has caught up becomes a voter. If the group has no room, it takes
    ///    the place of a voter of its data centre;
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
        self.caught_up_learner(local_id, group, caught_up, contacts)
            .or_else(|| self.replaced_member(local_id, group, contacts, now))
            .or_else(|| self.new_host(group, contacts, now))
            .or_else(|| self.silent_member(local_id, group, caught_up, contacts, now))
    }

    fn caught_up_learner(
        &self,
        local_id: MemberId,
        group: &Group,
        caught_up: &BTreeSet<MemberId>,
        contacts: &BTreeMap<MemberId, ControlHostContact>,
    ) -> Option<GroupChange> {
        let is_standby = |id: &MemberId| group.standbys.contains(id);
        let ready = group.learners.keys().filter(|id| caught_up.contains(id));
        let (standbys, successors): (Vec<_>, Vec<_>) = ready.copied().partition(is_standby);
        let has_room = group.voters.len() < self.voter_limit(group);
        if let Some(learner) = successors.first().filter(|_| has_room) {
            return Some(GroupChange::Promote(*learner));
        }
        // A standby is expected to be removed, so it votes only if too few others do. It
        // does not get its vote back from its successor: they would take turns.
        if let Some(learner) = standbys.first()
            && group.voters.len() < self.settings.min_voters
        {
            return Some(GroupChange::Promote(*learner));
        }
        successors.into_iter().find_map(|joins| {
            let leaves = predecessor(joins, local_id, group, caught_up, contacts)?;
            Some(GroupChange::Exchange { joins, leaves })
        })
    }

    /// Maximum number of voters while successors join. Of n voters, any g that have got a
    /// successor may be removed at once, and f disks lost beside them. Half of the voters
    /// must remain: n - g - f >= n / 2. With n = initial + g, g is at most initial - 2 f.
    fn voter_limit(&self, group: &Group) -> usize {
        let losses = self.settings.min_voters / 2;
        let limit = match group.initial_voters {
            0 => self.settings.max_voters,
            initial => (2 * initial).saturating_sub(2 * losses),
        };
        limit
            .max(self.settings.min_voters + 1)
            .min(self.settings.max_voters)
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
        let has_room = group.voters.len() + group.learners.len() < self.settings.max_members;
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

/// The voter whose place a learner takes: one of its data centre, first one that has not
/// caught up, last the leader, since its group has to elect another one.
fn predecessor(
    learner: MemberId,
    leader: MemberId,
    group: &Group,
    caught_up: &BTreeSet<MemberId>,
    contacts: &BTreeMap<MemberId, ControlHostContact>,
) -> Option<MemberId> {
    let data_centre = |id| contacts.get(&id).map(|host| &host.data_centre);
    let own = data_centre(learner)?;
    let voters = group.voters.keys().copied();
    voters
        .filter(|id| data_centre(*id) == Some(own))
        .min_by_key(|id| (*id == leader, caught_up.contains(id)))
}
