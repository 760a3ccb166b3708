//! Nodes that wait for something newer.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use types::Version;

use crate::{request::WaitingSync, version::LeaderView};

/// Shortest time between two reviews of all nodes. A change after a quiet time
/// goes out at once; more changes go together in the next review. At 5 changes
/// a second, one update for each cost a node 4 KB/s, twice its budget.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Nodes that wait for something newer.
///
/// A node is looked at when it arrives, in a review after the version changed
/// and when its hold ends, so that other messages cost nothing for each
/// waiting node.
#[derive(Debug, Default)]
pub struct WaitingSyncs {
    waiting: BTreeMap<u64, WaitingSync>,
    /// One entry for each waiting node.
    holds: BTreeSet<(Instant, u64)>,
    /// Nodes that were not looked at yet.
    fresh: Vec<u64>,
    /// Version for which every other node was looked at.
    reviewed: Option<Version>,
    /// The version has changed since; the next review comes at
    /// `next_review`.
    outdated: bool,
    /// No review before this instant.
    next_review: Option<Instant>,
    next: u64,
}

impl WaitingSyncs {
    /// Adds a node.
    pub fn push(&mut self, waiter: WaitingSync) {
        let number = self.next;
        self.next += 1;
        self.holds.insert((waiter.until, number));
        self.fresh.push(number);
        self.waiting.insert(number, waiter);
    }

    /// When the first hold ends or a review is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let hold = self.holds.first().map(|(until, _)| *until);
        let review = self.next_review.filter(|_| self.outdated);
        hold.into_iter().chain(review).min()
    }

    /// Takes the nodes that are to be answered now.
    pub fn take_due(&mut self, now: Instant, view: LeaderView<'_>) -> Vec<WaitingSync> {
        let candidates = self.candidates(now, view.version());
        let has_update = |number: &u64| {
            let waiter = self.waiting.get(number);
            waiter.is_some_and(|waiter| view.has_update(&waiter.req))
        };
        let mut due: BTreeSet<u64> = candidates.into_iter().filter(has_update).collect();
        let over = self.holds.iter().take_while(|(until, _)| *until <= now);
        due.extend(over.map(|(_, number)| number));
        due.into_iter().filter_map(|n| self.take(n)).collect()
    }

    /// The nodes to look at.
    fn candidates(&mut self, now: Instant, version: Option<Version>) -> Vec<u64> {
        self.outdated = version != self.reviewed;
        let fresh = std::mem::take(&mut self.fresh);
        if !self.outdated {
            return fresh;
        }
        if self.next_review.is_some_and(|at| now < at) {
            // One that missed the last review need not wait for the next.
            let missed = |number: &u64| {
                let waiter = self.waiting.get(number);
                waiter.is_some_and(|waiter| self.missed_review(waiter.req.have))
            };
            return fresh.into_iter().filter(missed).collect();
        }
        self.outdated = false;
        self.reviewed = version;
        self.next_review = Some(now + REVIEW_INTERVAL);
        self.waiting.keys().copied().collect()
    }

    fn missed_review(&self, have: Option<Version>) -> bool {
        match (have, self.reviewed) {
            (Some(have), Some(reviewed)) => have.is_behind(&reviewed),
            _ => true,
        }
    }

    /// Takes every node.
    pub fn take_all(&mut self) -> impl Iterator<Item = WaitingSync> {
        std::mem::take(self).waiting.into_values()
    }

    /// Takes one node; `None` if it has gone away meanwhile.
    fn take(&mut self, number: u64) -> Option<WaitingSync> {
        let waiter = self.waiting.remove(&number)?;
        self.holds.remove(&(waiter.until, number));
        (!waiter.tx.is_closed()).then_some(waiter)
    }
}
