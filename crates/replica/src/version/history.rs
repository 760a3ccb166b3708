//! The current routing set and what the latest changes of it concerned, from which nodes
//! get deltas.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use types::{RoutingDelta, RoutingSet, RoutingSetNumber};

/// Maximum number of earlier sets from which a node gets a delta. One that is further
/// behind gets the full set.
const MAX_EARLIER_SETS: usize = 15;

/// The current routing set, and the addresses that changed since earlier ones. Earlier
/// sets themselves are not kept: a large one takes about 12 MB.
#[derive(Debug, Default)]
pub struct RouteHistory {
    current: Option<Arc<RoutingSet>>,
    /// For each earlier set, the addresses whose rules differ in the next one.
    changed_after: BTreeMap<RoutingSetNumber, Vec<SocketAddr>>,
}

impl RouteHistory {
    /// Adds a set if its number is above that of the current set. Returns whether
    /// it was added.
    pub fn push(&mut self, set: Arc<RoutingSet>) -> bool {
        if set.number <= self.number() {
            return false;
        }
        if let Some(previous) = self.current.take() {
            let delta = set.delta_from(Some(&previous));
            let changed = delta.changed.into_keys().chain(delta.removed).collect();
            self.changed_after.insert(previous.number, changed);
        }
        // Beyond as many addresses as the set has, the full set is smaller.
        while self.changed_after.len() > MAX_EARLIER_SETS
            || self.changed_after.values().map(Vec::len).sum::<usize>() > set.rules.len().max(1)
        {
            self.changed_after.pop_first();
        }
        self.current = Some(set);
        true
    }

    /// Number of the current set; 0 before the first one.
    #[must_use]
    pub fn number(&self) -> RoutingSetNumber {
        self.current
            .as_ref()
            .map_or_else(RoutingSetNumber::default, |set| set.number)
    }

    /// The delta from the set `have` to the current set, or the full set if the changes
    /// since `have` are no longer kept; `None` if `have` is current.
    #[must_use]
    pub fn delta(&self, have: RoutingSetNumber) -> Option<RoutingDelta> {
        let set = self.current.as_ref()?;
        if have >= set.number {
            return None;
        }
        if !self.changed_after.contains_key(&have) {
            return Some(set.delta_from(None));
        }
        let later = self.changed_after.range(have..);
        let addresses: BTreeSet<SocketAddr> =
            later.flat_map(|(_, changed)| changed).copied().collect();
        let (changed, removed) = addresses
            .into_iter()
            .partition::<Vec<_>, _>(|address| set.rules.contains_key(address));
        let rule = |address| Some((address, set.rules.get(&address)?.clone()));
        Some(RoutingDelta {
            base: Some(have),
            number: set.number,
            changed: changed.into_iter().filter_map(rule).collect(),
            removed,
            idle_timeout: set.idle_timeout,
        })
    }
}
