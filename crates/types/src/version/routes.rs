//! Routing sets: which services take the flows to an address.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ServiceName;

decimal! {
    /// Number of a routing set, chosen by whoever wrote it. The highest one is
    /// in force.
    RoutingSetNumber(u64)
}

decimal! {
    /// Weight of a service among the services that share the new flows of one
    /// address.
    RouteWeight(u32)
}

/// The services that take the new flows of one address.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RoutingRule {
    /// Never empty in a set that was accepted; at least one weight is above 0.
    pub weights: BTreeMap<ServiceName, RouteWeight>,
}

impl RoutingRule {
    /// The service of a new flow whose key has this hash. The same hash gives
    /// the same service as long as the rule stays.
    ///
    /// ```
    /// use types::{RouteWeight, RoutingRule};
    ///
    /// let rule = RoutingRule { weights: [("vouchers".parse()?, RouteWeight(1))].into() };
    /// assert_eq!(rule.select_service(17).map(ToString::to_string), Some("vouchers".to_owned()));
    /// # Ok::<(), types::Error>(())
    /// ```
    #[must_use]
    pub fn select_service(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.weights.values().map(|part| u64::from(part.0)).sum();
        let mut point = hash.checked_rem(total)?;
        self.weights.iter().find_map(|(name, part)| {
            let part = u64::from(part.0);
            if point < part {
                return Some(name);
            }
            point -= part;
            None
        })
    }
}

/// A whole set of rules, given at once at a number of the writer's choosing.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingSet {
    /// Orders the sets.
    pub number: RoutingSetNumber,
    /// The rule of each address.
    pub rules: BTreeMap<SocketAddr, RoutingRule>,
    /// A flow that is idle for longer may be forgotten.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
    /// The text from which the set was read, given back to whoever reads the
    /// set. It does not go to nodes.
    pub document: Bytes,
}

impl Default for RoutingSet {
    fn default() -> Self {
        RoutingSet {
            number: RoutingSetNumber(0),
            rules: BTreeMap::new(),
            idle_timeout: Duration::from_mins(1),
            document: Bytes::new(),
        }
    }
}

/// What a node that has the set `base` lacks of the set `number`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDelta {
    /// The set that the node has; `None` if this holds the whole set.
    pub base: Option<RoutingSetNumber>,
    /// The set that the node has afterwards.
    pub number: RoutingSetNumber,
    /// Rules that are new or changed.
    pub changed: BTreeMap<SocketAddr, RoutingRule>,
    /// Addresses that have no rule any more.
    pub removed: Vec<SocketAddr>,
    /// See [`RoutingSet::idle_timeout`].
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
}

impl RoutingSet {
    /// What a node lacks that has `base`, or nothing if that is `None`.
    #[must_use]
    pub fn delta_from(&self, base: Option<&RoutingSet>) -> RoutingDelta {
        let held = |address: &SocketAddr| base.and_then(|base| base.rules.get(address));
        let removed = base.into_iter().flat_map(|base| base.rules.keys());
        RoutingDelta {
            base: base.map(|base| base.number),
            number: self.number,
            changed: self
                .rules
                .iter()
                .filter(|(address, rule)| held(address) != Some(rule))
                .map(|(address, rule)| (*address, rule.clone()))
                .collect(),
            removed: removed
                .filter(|address| !self.rules.contains_key(address))
                .copied()
                .collect(),
            idle_timeout: self.idle_timeout,
        }
    }

    /// Moves on by `delta`. Returns whether it fitted: one that starts from
    /// another set or goes back changes nothing.
    pub fn apply(&mut self, delta: RoutingDelta) -> bool {
        let fits = delta.base.is_none_or(|base| base == self.number);
        if !fits || delta.number <= self.number {
            return false;
        }
        if delta.base.is_none() {
            self.rules.clear();
        }
        for address in &delta.removed {
            self.rules.remove(address);
        }
        self.rules.extend(delta.changed);
        self.number = delta.number;
        self.idle_timeout = delta.idle_timeout;
        true
    }
}
