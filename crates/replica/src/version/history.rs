//! The latest routing sets, from which nodes get deltas.

use std::{collections::BTreeMap, sync::Arc};

use types::{RoutingDelta, RoutingSet, RoutingSetNumber};

/// Maximum number of sets kept. A node that is further behind gets the full set.
const MAX_KEPT_SETS: usize = 16;

/// The latest routing sets.
#[derive(Debug, Default)]
pub struct RouteHistory {
    /// The last one is the current set.
    sets: BTreeMap<RoutingSetNumber, Arc<RoutingSet>>,
}

impl RouteHistory {
    /// Adds a set if its number is above that of the current set. Returns whether
    /// it was added.
    pub fn push(&mut self, set: Arc<RoutingSet>) -> bool {
        if set.number <= self.number() {
            return false;
        }
        self.sets.insert(set.number, set);
        while self.sets.len() > MAX_KEPT_SETS {
            self.sets.pop_first();
        }
        true
    }

    /// Number of the current set; 0 before the first one.
    #[must_use]
    pub fn number(&self) -> RoutingSetNumber {
        self.sets.keys().next_back().copied().unwrap_or_default()
    }

    /// The delta from the set `have` to the current set, or the full set if `have`
    /// is no longer kept; `None` if `have` is current.
    #[must_use]
    pub fn delta(&self, have: RoutingSetNumber) -> Option<RoutingDelta> {
        let (number, set) = self.sets.last_key_value()?;
        if have >= *number {
            return None;
        }
        Some(set.delta_from(self.sets.get(&have).map(AsRef::as_ref)))
    }
}
