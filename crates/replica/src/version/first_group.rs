//! The group that a seed proposes as the first one.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

use directory::FirstGroup;
use types::MemberId;

use super::MembershipSettings;

/// Ids of placeholders for hosts without a known address: above the ids of
/// [`first_member_id`].
const FIRST_PLACEHOLDER_ID: u64 = 1 << 32;

/// The member id of a host that takes part in the deployment's first start. It is
/// derived from the host's address, so that a group can include a seed that nobody has
/// heard yet. A host with an address starts only once with `bootstrap`, so the id is
/// never used with a second disk: later data folders get random ids.
#[must_use]
pub fn first_member_id(ip: Ipv4Addr) -> MemberId {
    MemberId(u64::from(u32::from(ip)))
}

/// The control hosts that a seed has heard.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeardHosts {
    /// The hosts with a disk.
    pub controls: BTreeMap<Ipv4Addr, MemberId>,
    /// The hosts without a disk.
    pub observers: BTreeSet<Ipv4Addr>,
}

/// Decides which group a seed proposes.
#[derive(Debug, Clone, Copy)]
pub struct FirstGroupPolicy {
    min_voters: usize,
    max_voters: usize,
}

impl FirstGroupPolicy {
    /// Creates the policy for groups with these limits.
    #[must_use]
    pub fn new(settings: &MembershipSettings) -> Self {
        FirstGroupPolicy {
            min_voters: settings.min_voters,
            max_voters: settings.max_voters,
        }
    }

    /// Minimum number of control hosts with a disk in a first group: a majority of the
    /// minimum number of voters.
    #[must_use]
    pub fn min_hosts(&self) -> usize {
        self.min_voters / 2 + 1
    }

    /// The group to propose; `None` if too few hosts were heard. It has at least the
    /// minimum number of voters:
    ///
    /// 1. the hosts with a disk that were heard, seeds first;
    /// 2. seeds that were not heard, under the ids of their first start: one that was
    ///    only unreachable is a voter once it is heard;
    /// 3. placeholders that no host can ever be, if `with_placeholders`. Each of them
    ///    counts as a loss until other hosts have joined the group.
    ///
    /// Voters of the last two kinds do not vote, so a majority is always on the disks
    /// of hosts that exist.
    #[must_use]
    pub fn group(
        &self,
        heard: &HeardHosts,
        seeds: &BTreeSet<Ipv4Addr>,
        with_placeholders: bool,
    ) -> Option<FirstGroup> {
        let HeardHosts {
            controls,
            observers,
        } = heard;
        if controls.len() < self.min_hosts() {
            return None;
        }
        let (mut voters, others): (Vec<_>, Vec<_>) = controls
            .iter()
            .map(|(ip, id)| (*id, *ip))
            .partition(|(_, ip)| seeds.contains(ip));
        voters.extend(others);
        voters.truncate(self.max_voters);
        let is_unheard = |ip: &&Ipv4Addr| !controls.contains_key(*ip) && !observers.contains(*ip);
        let unheard = seeds.iter().filter(is_unheard);
        let unheard = unheard.map(|ip| (first_member_id(*ip), *ip));
        let missing = self.min_voters.saturating_sub(voters.len());
        voters.extend(unheard.take(missing));
        let missing = self.min_voters.saturating_sub(voters.len());
        if missing > 0 && !with_placeholders {
            return None;
        }
        let placeholders = (FIRST_PLACEHOLDER_ID..).map(|id| (MemberId(id), Ipv4Addr::UNSPECIFIED));
        voters.extend(placeholders.take(missing));
        Some(FirstGroup::new(voters))
    }
}
