//! Order by objective, priority, share and arrival.

use std::{cmp::Reverse, collections::BTreeMap};

use types::Priority;

use super::{Order, OvertakingDebt};
use crate::{Arrival, Place, Urgency};

/// Maximum number of shares with a record. A further one counts as not served, so it may
/// get one slot more than the others.
const MAX_SHARES: usize = 4096;

/// Which of several requests goes first that are otherwise equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ties {
    /// The one that arrived first.
    OldestFirst,
    /// The one that arrived last: the others are the more likely to be late.
    NewestFirst,
}

/// The first requests are those that can still meet their objective, of these the most
/// urgent, of these the ones whose share has got the fewest slots, of these by arrival.
///
/// Shares are kept by start-time fair queueing, in which each request costs one slot. The
/// order may leave out the shares, and then the bound on starvation too.
#[derive(Debug, Clone)]
pub struct FairOrder<K> {
    ties: Ties,
    shares: Option<Shares<K>>,
}

/// Slots that shares have got.
#[derive(Debug, Clone)]
struct Shares<K> {
    levels: BTreeMap<Priority, Level<K>>,
    debt: OvertakingDebt,
}

/// The shares of one priority. Priorities have a virtual time each: with a common one,
/// more urgent work would advance it past what the shares of another priority have got,
/// and these would count as equal.
#[derive(Debug, Clone)]
struct Level<K> {
    /// Start tag of the last request that got a slot.
    virtual_time: u64,
    /// Finish tags after `virtual_time` of the last request of each share.
    finish: BTreeMap<K, u64>,
}

impl<K> Default for Level<K> {
    fn default() -> Self {
        Level {
            virtual_time: 0,
            finish: BTreeMap::new(),
        }
    }
}

impl<K: Ord> Level<K> {
    /// Start tag of the next request of a share.
    fn start_tag(&self, share: &K) -> u64 {
        let finish = self.finish.get(share).copied().unwrap_or(0);
        finish.max(self.virtual_time)
    }
}

/// Place of a request in a [`FairOrder`]; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FairRank {
    is_not_owed: bool,
    is_late: bool,
    priority: Priority,
    start_tag: u64,
    arrival: TieRank,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TieRank {
    Oldest(Arrival),
    Newest(Reverse<Arrival>),
}

impl<K: Ord + Clone> FairOrder<K> {
    /// The order without shares and without a bound on starvation.
    #[must_use]
    pub fn without_shares(ties: Ties) -> Self {
        FairOrder { ties, shares: None }
    }

    /// The order with equal shares.
    #[must_use]
    pub fn with_shares(ties: Ties) -> Self {
        let shares = Shares {
            levels: BTreeMap::new(),
            debt: OvertakingDebt::new(1),
        };
        FairOrder {
            ties,
            shares: Some(shares),
        }
    }

    /// Sets which of several requests goes first that are otherwise equal.
    pub fn set_ties(&mut self, ties: Ties) {
        self.ties = ties;
    }
}

impl<K: Ord + Clone> Order<K> for FairOrder<K> {
    type Rank = FairRank;

    fn rank(&self, place: &Place<'_, K>) -> FairRank {
        let priority = place.urgency.priority;
        let shares = self.shares.as_ref();
        let is_first = place.ahead == 0 && !place.is_late;
        let level = shares.and_then(|shares| shares.levels.get(&priority));
        let start_tag = level.map_or(0, |level| level.start_tag(&place.urgency.share));
        FairRank {
            is_not_owed: !shares.is_some_and(|shares| is_first && shares.debt.is_owed(priority)),
            is_late: place.is_late,
            priority,
            start_tag: if shares.is_some() {
                start_tag + place.ahead
            } else {
                0
            },
            arrival: match self.ties {
                Ties::OldestFirst => TieRank::Oldest(place.arrival),
                Ties::NewestFirst => TieRank::Newest(Reverse(place.arrival)),
            },
        }
    }

    fn record_served(
        &mut self,
        served: &Urgency<K>,
        waiting_in_time: impl Iterator<Item = Priority>,
    ) {
        let Some(shares) = &mut self.shares else {
            return;
        };
        shares
            .debt
            .record_served(served.priority, 1, waiting_in_time);
        let recorded: usize = shares.levels.values().map(|level| level.finish.len()).sum();
        let level = shares.levels.entry(served.priority).or_default();
        let start_tag = level.start_tag(&served.share);
        if start_tag > level.virtual_time {
            level.virtual_time = start_tag;
            // The others are equal to a share that has got nothing.
            level.finish.retain(|_, finish| *finish > start_tag);
        }
        if recorded < MAX_SHARES {
            level.finish.insert(served.share.clone(), start_tag + 1);
        }
    }
}
