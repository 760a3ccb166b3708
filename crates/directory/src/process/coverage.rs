//! Whether a control host hears of all processes.

use std::{
    collections::BTreeMap,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

/// A control host tells the others of itself four times in a second. One that
/// was not heard for this long may know processes that this one does not.
const HEARD: Duration = Duration::from_millis(800);

/// Time until every process has said hello to a control host that all others
/// hear: one whose control host has gone notices after 1.2 s and says hello to
/// others within 0.1 s.
const SETTLED: Duration = Duration::from_millis(1600);

/// A control host that did not look for this long stood still, and what it
/// knows is as old.
const STOOD_STILL: Duration = Duration::from_millis(600);

/// Whether a control host hears of all processes: each says hello to one
/// control host, which tells the others. A list is complete once all members
/// of the group have been heard, and the leader, for some time without a break.
#[derive(Debug)]
pub struct Coverage {
    /// When each control host last spoke to this one, not by way of others.
    heard: BTreeMap<Ipv4Addr, Instant>,
    /// Since when all have been heard; `None` while one is not.
    since: Option<Instant>,
    reviewed: Instant,
}

impl Coverage {
    /// Nobody has been heard.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Coverage {
            heard: BTreeMap::new(),
            since: None,
            reviewed: now,
        }
    }

    /// Notes that a control host spoke to this one.
    pub fn record_contact(&mut self, host: Ipv4Addr, now: Instant) {
        self.heard.insert(host, now);
    }

    /// Looks whether the `others` of the group are heard; `current` tells
    /// whether the leader is.
    pub fn update(&mut self, others: &[Ipv4Addr], current: bool, now: Instant) {
        let stood_still = now >= self.reviewed + STOOD_STILL;
        self.reviewed = now;
        let heard = |host| self.heard.get(host).is_some_and(|at| now < *at + HEARD);
        if stood_still || !current || !others.iter().all(heard) {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
        self.heard.retain(|_, at| now < *at + HEARD);
    }

    /// Whether the list of processes is complete.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        let settled = self.since.is_some_and(|since| now >= since + SETTLED);
        settled && now < self.reviewed + STOOD_STILL
    }
}
