//! Nodes that wait for something newer.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use types::Version;

use crate::{request::Waiter, version::View};

/// Nodes that wait for something newer.
///
/// A node is looked at when it arrives, when the version changes and when its
/// hold ends, so that other messages cost nothing for each waiting node.
#[derive(Debug, Default)]
pub struct Waiters {
    waiting: BTreeMap<u64, Waiter>,
    /// One entry for each waiting node.
    holds: BTreeSet<(Instant, u64)>,
    /// Nodes that were not looked at yet.
    fresh: Vec<u64>,
    /// Version for which every other node was looked at.
    reviewed: Option<Version>,
    next: u64,
}

impl Waiters {
    /// Adds a node.
    pub fn push(&mut self, waiter: Waiter) {
        let number = self.next;
        self.next += 1;
        self.holds.insert((waiter.until, number));
        self.fresh.push(number);
        self.waiting.insert(number, waiter);
    }

    /// When the first hold ends.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.holds.first().map(|(until, _)| *until)
    }

    /// Takes the nodes that are to be answered now.
    pub fn take_due(&mut self, now: Instant, view: View<'_>) -> Vec<Waiter> {
        let version = view.version();
        let candidates: Vec<u64> = if version == self.reviewed {
            std::mem::take(&mut self.fresh)
        } else {
            self.reviewed = version;
            self.fresh.clear();
            self.waiting.keys().copied().collect()
        };
        let has_news = |number: &u64| {
            let waiter = self.waiting.get(number);
            waiter.is_some_and(|waiter| view.has_news(&waiter.req))
        };
        let mut due: BTreeSet<u64> = candidates.into_iter().filter(has_news).collect();
        let over = self.holds.iter().take_while(|(until, _)| *until <= now);
        due.extend(over.map(|(_, number)| number));
        due.into_iter().filter_map(|n| self.take(n)).collect()
    }

    /// Takes every node.
    pub fn take_all(&mut self) -> impl Iterator<Item = Waiter> {
        std::mem::take(self).waiting.into_values()
    }

    /// Takes one node; `None` if it has gone away meanwhile.
    fn take(&mut self, number: u64) -> Option<Waiter> {
        let waiter = self.waiting.remove(&number)?;
        self.holds.remove(&(waiter.until, number));
        (!waiter.tx.is_closed()).then_some(waiter)
    }
}
