//! Where new flows may be placed, apart from the routing set.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Revision;
use crate::{DataCentre, RequestRate};

/// Limits of a service that its upstreams do not announce themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// New flows that an upstream bears while it is cold; `None` if operators state no
    /// limit.
    pub cold_rate: Option<RequestRate>,
}

/// What a node must know, beside the routing set, to place or to accept new flows. It
/// is small, so that each reply of a control host can carry it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlacementPolicy {
    /// Increases with each change of a field. A node ignores a policy with a lower one.
    pub revision: Revision,
    /// Data centres whose upstreams get no new flows.
    pub evacuated: BTreeSet<DataCentre>,
    /// Limits of the service of the agent that the policy is sent to; the default for
    /// other nodes.
    pub limits: ServiceLimits,
}
