//! The weights of the services of one routing rule.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::RouteWeight;
use crate::ServiceName;

/// The weight of each service of a rule, in the order of their names. Most rules have one
/// service, for which a [`BTreeMap`] takes 416 bytes and this a tenth of that.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ServiceWeights(
    /// Sorted by name, each name once.
    Box<[(ServiceName, RouteWeight)]>,
);

impl ServiceWeights {
    /// The services and their weights.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &RouteWeight)> {
        self.0.iter().map(|(name, weight)| (name, weight))
    }

    /// The services.
    pub fn keys(&self) -> impl Iterator<Item = &ServiceName> {
        self.0.iter().map(|(name, _)| name)
    }

    /// The weights.
    pub fn values(&self) -> impl Iterator<Item = &RouteWeight> {
        self.0.iter().map(|(_, weight)| weight)
    }

    /// Number of services.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no service.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<BTreeMap<ServiceName, RouteWeight>> for ServiceWeights {
    fn from(weights: BTreeMap<ServiceName, RouteWeight>) -> Self {
        ServiceWeights(weights.into_iter().collect())
    }
}

impl<const N: usize> From<[(ServiceName, RouteWeight); N]> for ServiceWeights {
    fn from(weights: [(ServiceName, RouteWeight); N]) -> Self {
        BTreeMap::from(weights).into()
    }
}

impl Serialize for ServiceWeights {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_map(self.iter())
    }
}

impl<'de> Deserialize<'de> for ServiceWeights {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        BTreeMap::deserialize(de).map(Self::from)
    }
}
