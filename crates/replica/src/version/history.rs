//! The latest routing sets, to tell nodes only what changed.

use std::{collections::BTreeMap, sync::Arc};

use types::{RoutingDelta, RoutingSet, SetNumber};

/// Sets that are kept. A node that is further behind gets the whole set.
const KEPT: usize = 16;

/// The latest routing sets.
#[derive(Debug, Default)]
pub struct RouteHistory {
    /// The last one is in force.
    sets: BTreeMap<SetNumber, Arc<RoutingSet>>,
}

impl RouteHistory {
    /// Adds a set if its number is above that of the set in force. Returns
    /// whether it is in force now.
    pub fn push(&mut self, set: Arc<RoutingSet>) -> bool {
        if set.number <= self.number() {
            return false;
        }
        self.sets.insert(set.number, set);
        while self.sets.len() > KEPT {
            self.sets.pop_first();
        }
        true
    }

    /// Number of the set in force; 0 before the first one.
    #[must_use]
    pub fn number(&self) -> SetNumber {
        self.sets.keys().next_back().copied().unwrap_or_default()
    }

    /// What a node lacks that has the set `have`; `None` if it lacks nothing.
    #[must_use]
    pub fn delta(&self, have: SetNumber) -> Option<RoutingDelta> {
        let (number, set) = self.sets.last_key_value()?;
        if have >= *number {
            return None;
        }
        Some(set.delta_from(self.sets.get(&have).map(AsRef::as_ref)))
    }
}
