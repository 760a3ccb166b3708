//! Sync requests that are held until there is an update.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use types::Version;

use crate::{request::WaitingSync, version::LeaderView};

/// Shortest interval between two reviews of all waiting nodes. The first change
/// after an idle period is sent at once; further changes are batched into the next
/// review. Without batching, 5 changes per second cost each node 4 KB/s, twice its
/// budget.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Sync requests that are held until there is an update or their hold ends.
///
/// A request is checked for an update when it arrives and in a review after the
/// version has changed, and is answered when its hold ends. Other messages to the
/// group task therefore cost no work per waiting node.
#[derive(Debug, Default)]
pub struct WaitingSyncs {
    syncs: BTreeMap<u64, WaitingSync>,
    /// The hold deadline of each waiting request.
    hold_deadlines: BTreeSet<(Instant, u64)>,
    /// Requests that have not been checked yet.
    unchecked: Vec<u64>,
    /// Version of the last review, which checked all requests outside `unchecked`.
    reviewed_version: Option<Version>,
    /// Whether the version has changed since the last review; the next review
    /// is at `next_review`.
    review_pending: bool,
    /// Earliest time of the next review.
    next_review: Option<Instant>,
    next_number: u64,
}

impl WaitingSyncs {
    /// Adds a request.
    pub fn push(&mut self, sync: WaitingSync) {
        let number = self.next_number;
        self.next_number += 1;
        self.hold_deadlines.insert((sync.hold_deadline, number));
        self.unchecked.push(number);
        self.syncs.insert(number, sync);
    }

    /// When the first hold ends or a review is due, whichever is earlier.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let hold = self.hold_deadlines.first().map(|(deadline, _)| *deadline);
        let review = self.next_review.filter(|_| self.review_pending);
        hold.into_iter().chain(review).min()
    }

    /// Removes and returns the requests that have an update or whose hold has
    /// ended. Requests of disconnected nodes are dropped.
    pub fn take_due(&mut self, now: Instant, view: LeaderView<'_>) -> Vec<WaitingSync> {
        let candidates = self.candidates(now, view.version());
        let has_update = |number: &u64| {
            let sync = self.syncs.get(number);
            sync.is_some_and(|sync| view.has_update(&sync.req))
        };
        let mut due: BTreeSet<u64> = candidates.into_iter().filter(has_update).collect();
        let expired = self
            .hold_deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= now);
        due.extend(expired.map(|(_, number)| number));
        due.into_iter().filter_map(|n| self.take(n)).collect()
    }

    /// Numbers of the requests to check for an update now.
    fn candidates(&mut self, now: Instant, version: Option<Version>) -> Vec<u64> {
        self.review_pending = version != self.reviewed_version;
        let unchecked = std::mem::take(&mut self.unchecked);
        if !self.review_pending {
            return unchecked;
        }
        if self.next_review.is_some_and(|at| now < at) {
            // A node with a version older than the last review gets its update
            // at once.
            let missed = |number: &u64| {
                let sync = self.syncs.get(number);
                sync.is_some_and(|sync| self.missed_review(sync.req.applied_version))
            };
            return unchecked.into_iter().filter(missed).collect();
        }
        self.review_pending = false;
        self.reviewed_version = version;
        self.next_review = Some(now + REVIEW_INTERVAL);
        self.syncs.keys().copied().collect()
    }

    /// Whether a node with version `have` lacks what the last review sent.
    fn missed_review(&self, have: Option<Version>) -> bool {
        match (have, self.reviewed_version) {
            (Some(have), Some(reviewed)) => have.is_behind(&reviewed),
            _ => true,
        }
    }

    /// Removes and returns every request.
    pub fn take_all(&mut self) -> impl Iterator<Item = WaitingSync> {
        std::mem::take(self).syncs.into_values()
    }

    /// Removes one request; `None` if its node has disconnected.
    fn take(&mut self, number: u64) -> Option<WaitingSync> {
        let sync = self.syncs.remove(&number)?;
        self.hold_deadlines.remove(&(sync.hold_deadline, number));
        (!sync.tx.is_closed()).then_some(sync)
    }
}
