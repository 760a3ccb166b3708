//! Routing sets, which assign the flows to an address to services.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{ServiceLimits, ServiceWeights};
use crate::{Refusal, ServiceName};

decimal! {
    /// Number of a routing set, chosen by its author. The set with the highest
    /// number is in force.
    RoutingSetNumber(u64)
}

decimal! {
    /// Weight of a service among the services that share the new flows of one
    /// address.
    RouteWeight(u32)
}

decimal! {
    /// Priority of a request; 0 is the most urgent.
    Priority(u8)
}

/// What the callers of a route can use, as the operators state it. It decides
/// which flow waits and which is refused while the upstreams are full.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestTargets {
    /// Latency objective. A later answer is worth less to its caller.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub objective: Duration,
    /// Time after which the caller no longer waits for an answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// Order among requests that wait.
    pub priority: Priority,
}

impl Default for RequestTargets {
    /// Targets of a route for which the operators state none: any answer within
    /// a minute is as good as another, and other routes go first.
    fn default() -> Self {
        RequestTargets {
            objective: Duration::from_mins(1),
            timeout: Duration::from_mins(1),
            priority: Priority(u8::MAX),
        }
    }
}

/// The services that receive the new flows to one address.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(from = "EncodedRule", into = "EncodedRule")]
pub struct RoutingRule {
    /// Weight of each service. In an accepted set, at least one is above 0.
    pub weights: ServiceWeights,
    /// Targets of the requests on these flows.
    pub targets: RequestTargets,
}

/// Encodings of a [`RoutingRule`]. A rule without targets is encoded as its
/// weights alone, the form of logs and snapshots from before rules had targets.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum EncodedRule {
    Weights(ServiceWeights),
    WithTargets(ServiceWeights, RequestTargets),
}

impl From<EncodedRule> for RoutingRule {
    fn from(encoded: EncodedRule) -> Self {
        let (weights, targets) = match encoded {
            EncodedRule::Weights(weights) => (weights, RequestTargets::default()),
            EncodedRule::WithTargets(weights, targets) => (weights, targets),
        };
        RoutingRule { weights, targets }
    }
}

impl From<RoutingRule> for EncodedRule {
    fn from(rule: RoutingRule) -> Self {
        if rule.targets == RequestTargets::default() {
            EncodedRule::Weights(rule.weights)
        } else {
            EncodedRule::WithTargets(rule.weights, rule.targets)
        }
    }
}

impl RoutingRule {
    /// Selects the service of a new flow by the hash of its key. The same hash
    /// selects the same service until the rule changes.
    ///
    /// ```
    /// use types::{RouteWeight, RoutingRule};
    ///
    /// let rule = RoutingRule {
    ///     weights: [("vouchers".parse()?, RouteWeight(1))].into(),
    ///     ..RoutingRule::default()
    /// };
    /// assert_eq!(rule.select_service(17).map(ToString::to_string), Some("vouchers".to_owned()));
    /// # Ok::<(), types::Error>(())
    /// ```
    #[must_use]
    pub fn select_service(&self, hash: u64) -> Option<&ServiceName> {
        let total_weight: u64 = self
            .weights
            .values()
            .map(|weight| u64::from(weight.0))
            .sum();
        let mut offset = hash.checked_rem(total_weight)?;
        self.weights.iter().find_map(|(name, weight)| {
            let weight = u64::from(weight.0);
            if offset < weight {
                return Some(name);
            }
            offset -= weight;
            None
        })
    }
}

/// The routing rules of all addresses, replaced as a whole.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoutingSet {
    /// Number by which sets are ordered.
    pub number: RoutingSetNumber,
    /// The rule of each address.
    pub rules: BTreeMap<SocketAddr, RoutingRule>,
    /// Time without a packet after which the state of a flow may be dropped.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
    /// Source text of the set, returned to those who query it. It is not sent
    /// to nodes.
    pub document: Bytes,
    /// Limits of the services for which the operators state any. An agent gets those
    /// of its own service in its [`PlacementPolicy`](super::PlacementPolicy).
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceLimits>,
}

impl Default for RoutingSet {
    fn default() -> Self {
        RoutingSet {
            number: RoutingSetNumber(0),
            rules: BTreeMap::new(),
            idle_timeout: Duration::from_mins(1),
            document: Bytes::new(),
            services: BTreeMap::new(),
        }
    }
}

/// Difference between the routing sets `base` and `number`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDelta {
    /// The set that the delta applies to; `None` if the delta is a whole set.
    pub base: Option<RoutingSetNumber>,
    /// The set that results from the delta.
    pub number: RoutingSetNumber,
    /// Rules that are new or changed.
    pub changed: BTreeMap<SocketAddr, RoutingRule>,
    /// Addresses whose rule was removed.
    pub removed: Vec<SocketAddr>,
    /// See [`RoutingSet::idle_timeout`].
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
}

impl RoutingSet {
    /// Largest number of rules. A rule takes about 250 bytes of memory, and a host that
    /// replaces a set holds several at a time.
    pub const MAX_RULES: usize = 20_000;

    /// Checks that the set is valid. The replicated log, the operators' interfaces and
    /// `limpetctl` all use this decision; the log records a refusal in the audit trail.
    ///
    /// # Errors
    ///
    /// The first of the [refusals](Self::refusals).
    pub fn check(&self) -> Result<(), Refusal> {
        self.refusals().next().map_or(Ok(()), Err)
    }

    /// Every reason to refuse the set: too many rules, and each rule without a weight
    /// above 0 or with a timeout of 0.
    pub fn refusals(&self) -> impl Iterator<Item = Refusal> {
        let (rules, limit) = (self.rules.len(), Self::MAX_RULES);
        let too_many = Refusal::TooManyRules(self.number, rules, limit);
        let of_rules = self.rules.iter().flat_map(|(address, rule)| {
            let is_empty = rule.weights.values().all(|weight| weight.0 == 0);
            let has_no_time = rule.targets.timeout.is_zero();
            let empty = is_empty.then_some(Refusal::EmptyRule(self.number, *address));
            let no_time = has_no_time.then_some(Refusal::ZeroTimeout(self.number, *address));
            empty.into_iter().chain(no_time)
        });
        let too_many = (rules > limit).then_some(too_many);
        too_many.into_iter().chain(of_rules)
    }

    /// Difference between `base` and this set, or the whole set if `base` is
    /// `None`.
    #[must_use]
    pub fn delta_from(&self, base: Option<&RoutingSet>) -> RoutingDelta {
        let base_rule = |address: &SocketAddr| base.and_then(|base| base.rules.get(address));
        let removed = base.into_iter().flat_map(|base| base.rules.keys());
        RoutingDelta {
            base: base.map(|base| base.number),
            number: self.number,
            changed: self
                .rules
                .iter()
                .filter(|(address, rule)| base_rule(address) != Some(rule))
                .map(|(address, rule)| (*address, rule.clone()))
                .collect(),
            removed: removed
                .filter(|address| !self.rules.contains_key(address))
                .copied()
                .collect(),
            idle_timeout: self.idle_timeout,
        }
    }

    /// Applies `delta`, and returns whether it was applied. A delta with another
    /// base, or whose number is not higher, is ignored.
    pub fn apply(&mut self, delta: RoutingDelta) -> bool {
        let base_matches = delta.base.is_none_or(|base| base == self.number);
        if !base_matches || delta.number <= self.number {
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
