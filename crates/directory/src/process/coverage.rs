//! Whether a control host's directory is complete.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use super::NODE_LEASE;
use crate::Roster;

/// Control hosts send to one another four times a second. One that was not
/// heard for this long may have heard from processes that are missing here.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time until every process has sent a hello to a control host that all others
/// hear: a process notices the failure of its control host after 1.2 s and
/// sends its hello to others within 0.1 s.
const SETTLE_TIME: Duration = Duration::from_millis(1600);

/// A control host that did not call [`Coverage::update`] for this long was
/// suspended, and its directory is out of date.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(600);

/// The control group, as a member knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupView<'a> {
    /// The other members.
    pub others: &'a [Ipv4Addr],
    /// Whether the leader is heard.
    pub hears_leader: bool,
}

/// Tracks whether a control host's directory is complete. Each process sends
/// its hello to one control host, which relays it to the others. There are two
/// ways to know that no process is missing, both only while all members of the
/// group are heard:
///
/// - by rosters: every agent that any member has ever listed has been heard, or is
///   known to be gone. This holds as soon as the last of them has spoken after a
///   loss of power, before there is a leader.
/// - by time: all members and the leader have been heard without a gap for
///   `SETTLE_TIME`. It also covers agents that never return.
#[derive(Debug)]
pub struct Coverage {
    local: Ipv4Addr,
    started_at: Instant,
    /// When each control host last sent a message to this one directly.
    last_contact: BTreeMap<Ipv4Addr, Instant>,
    /// Since when all control hosts have been heard; `None` while one is not.
    all_heard_since: Option<Instant>,
    updated_at: Instant,
    /// Whether this host knows all agents that it listed before its start.
    has_own_roster: bool,
    /// The members of the group by the roster of each member that sent one and has
    /// been heard without a gap since. A member may know of a change of the group
    /// that this one does not.
    rosters: BTreeMap<Ipv4Addr, Vec<Ipv4Addr>>,
    /// Agents on a roster that have not been heard since this process started, and
    /// when each of them is known to be gone.
    unheard: BTreeMap<SocketAddrV4, Instant>,
    /// Whether all members were heard and had sent a roster at the last update.
    has_all_rosters: bool,
}

impl Coverage {
    /// No control host has been heard yet. `own_roster` holds the agents that the
    /// host `local` listed before its start, if it still knows them.
    #[must_use]
    pub fn new(local: Ipv4Addr, own_roster: Option<&Roster>, now: Instant) -> Self {
        Coverage {
            local,
            started_at: now,
            last_contact: BTreeMap::new(),
            all_heard_since: None,
            updated_at: now,
            has_own_roster: own_roster.is_some(),
            rosters: BTreeMap::new(),
            unheard: own_roster
                .into_iter()
                .flat_map(Roster::agents)
                .map(|agent| (agent, now + NODE_LEASE))
                .collect(),
            has_all_rosters: false,
        }
    }

    /// Records a message that a control host sent to this one directly.
    pub fn record_contact(&mut self, host: Ipv4Addr, now: Instant) {
        self.last_contact.insert(host, now);
    }

    /// Records that an agent was heard, by this control host or another one.
    pub fn record_agent(&mut self, agent: SocketAddrV4) {
        self.unheard.remove(&agent);
    }

    /// Records the roster of a member, with its view of the members of the group.
    /// `is_listed` tells whether the directory of this host lists an agent.
    pub fn record_roster(
        &mut self,
        host: Ipv4Addr,
        members: Vec<Ipv4Addr>,
        roster: &Roster,
        is_listed: impl Fn(SocketAddrV4) -> bool,
        now: Instant,
    ) {
        self.rosters.insert(host, members);
        for agent in roster.agents().filter(|agent| !is_listed(*agent)) {
            self.unheard.entry(agent).or_insert(now + NODE_LEASE);
        }
    }

    /// Members that are heard and whose roster is needed.
    #[must_use]
    pub fn missing_rosters(&self, others: &[Ipv4Addr], now: Instant) -> Vec<Ipv4Addr> {
        self.members(others)
            .into_iter()
            .filter(|host| self.is_heard(*host, now) && !self.rosters.contains_key(host))
            .collect()
    }

    /// The other members of the group, by the view of each member.
    fn members(&self, others: &[Ipv4Addr]) -> BTreeSet<Ipv4Addr> {
        let known_to_others = self.rosters.values().flatten();
        let members = others.iter().chain(known_to_others).copied();
        members.filter(|host| *host != self.local).collect()
    }

    fn is_heard(&self, host: Ipv4Addr, now: Instant) -> bool {
        let contact = self.last_contact.get(&host);
        contact.is_some_and(|at| now < *at + CONTACT_TIMEOUT)
    }

    /// Whether this host knows all agents that it listed since its data folder was
    /// created, so that others can rely on its roster.
    #[must_use]
    pub fn vouches_for_roster(&self, now: Instant) -> bool {
        // Whoever is alive has said hello to a control host within a lease.
        self.has_own_roster || now >= self.started_at + NODE_LEASE
    }

    /// Checks which members of `group` are heard; `None` while the host is in no
    /// group.
    pub fn update(&mut self, group: Option<GroupView<'_>>, now: Instant) {
        let was_suspended = now >= self.updated_at + MAX_UPDATE_INTERVAL;
        self.updated_at = now;
        let GroupView {
            others,
            hears_leader,
        } = group.unwrap_or(GroupView {
            others: &[],
            hears_leader: false,
        });
        if was_suspended {
            self.rosters.clear();
        }
        let silent = self.rosters.keys().copied();
        let silent: Vec<Ipv4Addr> = silent.filter(|host| !self.is_heard(*host, now)).collect();
        for host in silent {
            // It may hear of agents that this host misses.
            self.rosters.remove(&host);
        }
        let all_heard = others.iter().all(|host| self.is_heard(*host, now));
        if was_suspended || !hears_leader || !all_heard {
            self.all_heard_since = None;
        } else {
            self.all_heard_since.get_or_insert(now);
        }
        let members = self.members(others);
        self.has_all_rosters = group.is_some()
            && self.vouches_for_roster(now)
            && members
                .iter()
                .all(|host| self.rosters.contains_key(host) && self.is_heard(*host, now));
        self.unheard.retain(|_, gone_at| now < *gone_at);
        self.last_contact
            .retain(|_, at| now < *at + CONTACT_TIMEOUT);
    }

    /// Whether the directory lists all processes.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        let is_settled = self
            .all_heard_since
            .is_some_and(|since| now >= since + SETTLE_TIME);
        let is_exact = self.has_all_rosters && self.unheard.is_empty();
        (is_settled || is_exact) && now < self.updated_at + MAX_UPDATE_INTERVAL
    }
}
