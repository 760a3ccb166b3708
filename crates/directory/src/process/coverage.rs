//! Whether a control host's directory is complete.

use std::{
    collections::BTreeMap,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

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

/// Tracks whether a control host's directory is complete. Each process sends
/// its hello to one control host, which relays it to the others. The directory
/// is complete once all members of the group and the leader have been heard
/// without a gap for `SETTLE_TIME`.
#[derive(Debug)]
pub struct Coverage {
    /// When each control host last sent a message to this one directly.
    last_contact: BTreeMap<Ipv4Addr, Instant>,
    /// Since when all control hosts have been heard; `None` while one is not.
    all_heard_since: Option<Instant>,
    updated_at: Instant,
}

impl Coverage {
    /// No control host has been heard yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Coverage {
            last_contact: BTreeMap::new(),
            all_heard_since: None,
            updated_at: now,
        }
    }

    /// Records a message that a control host sent to this one directly.
    pub fn record_contact(&mut self, host: Ipv4Addr, now: Instant) {
        self.last_contact.insert(host, now);
    }

    /// Checks whether the `others` of the group are heard; `hears_leader` tells
    /// whether the leader is.
    pub fn update(&mut self, others: &[Ipv4Addr], hears_leader: bool, now: Instant) {
        let was_suspended = now >= self.updated_at + MAX_UPDATE_INTERVAL;
        self.updated_at = now;
        let is_heard = |host| {
            self.last_contact
                .get(host)
                .is_some_and(|at| now < *at + CONTACT_TIMEOUT)
        };
        if was_suspended || !hears_leader || !others.iter().all(is_heard) {
            self.all_heard_since = None;
        } else {
            self.all_heard_since.get_or_insert(now);
        }
        self.last_contact
            .retain(|_, at| now < *at + CONTACT_TIMEOUT);
    }

    /// Whether the directory lists all processes.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        let is_settled = self
            .all_heard_since
            .is_some_and(|since| now >= since + SETTLE_TIME);
        is_settled && now < self.updated_at + MAX_UPDATE_INTERVAL
    }
}
