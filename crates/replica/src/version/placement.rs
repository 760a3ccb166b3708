//! Where new flows may be placed, by the configuration of a control host.

use std::collections::{BTreeMap, BTreeSet};

use config::ConfigState;
use directory::{Node, NodeRole};
use types::{DataCentre, PlacementPolicy, Revision, ServiceLimits, ServiceName};

/// What the placement policies of all nodes are derived from.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Placement {
    /// The policy of nodes that serve no service.
    policy: PlacementPolicy,
    /// Limits of the services that have any.
    services: BTreeMap<ServiceName, ServiceLimits>,
    /// Revision of the last evacuation request for each data centre.
    requested_at: BTreeMap<DataCentre, Revision>,
}

impl Placement {
    /// The placement after the entries that were applied to `state`.
    #[must_use]
    pub fn from_state(state: &ConfigState) -> Self {
        let services = state.routes().map(|set| set.services.clone());
        let marks = state.evacuations().iter();
        Placement {
            policy: PlacementPolicy {
                revision: state.placement_revision(),
                evacuated: state.evacuated_data_centres().cloned().collect(),
                limits: ServiceLimits::default(),
            },
            services: services.unwrap_or_default(),
            requested_at: marks
                .map(|(data_centre, mark)| (data_centre.clone(), mark.revision))
                .collect(),
        }
    }

    /// The policy of a node, with the limits of the service if it serves one.
    #[must_use]
    pub fn policy_for(&self, service: Option<&ServiceName>) -> PlacementPolicy {
        let limits = service.and_then(|service| self.services.get(service));
        PlacementPolicy {
            limits: limits.copied().unwrap_or_default(),
            ..self.policy.clone()
        }
    }

    /// Revision by which nodes order their policies.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.policy.revision
    }

    /// The data centres whose upstreams get no new flows.
    #[must_use]
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.policy.evacuated
    }

    /// Revision of the last evacuation request for a data centre; 0 if there was none.
    #[must_use]
    pub fn requested_at(&self, data_centre: &DataCentre) -> Revision {
        let revision = self.requested_at.get(data_centre);
        revision.copied().unwrap_or_default()
    }
}

/// The services that have agents, all of them in evacuated data centres. Agents that
/// are leaving accept no new flows and do not count.
pub fn services_without_upstreams<'a>(
    nodes: impl Iterator<Item = &'a Node>,
    evacuated: &BTreeSet<DataCentre>,
) -> BTreeSet<ServiceName> {
    let mut is_served: BTreeMap<&ServiceName, bool> = BTreeMap::new();
    for node in nodes.filter(|node| !node.leaving) {
        if let NodeRole::Agent(service) = &node.role {
            *is_served.entry(service).or_default() |= !evacuated.contains(&node.data_centre);
        }
    }
    let unserved = is_served.into_iter().filter(|(_, served)| !served);
    unserved.map(|(service, _)| service.clone()).collect()
}
