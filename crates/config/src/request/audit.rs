//! Records of the audit trail.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};
use types::{
    Answer, Change, ChangeId, ChangeRequest, ClassName, DataCentre, GroupRequest, HostName,
    KeyGeneration, OperatorName, Revision, RoutingSetNumber, ServiceName, Target, UnixMillis,
};

/// Number of audit records that are retained.
pub const MAX_AUDIT_RECORDS: usize = 10_000;

/// One record of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Index of the log entry that carried the change.
    pub index: Revision,
    /// Log time at which the change was applied.
    pub at: UnixMillis,
    /// Operator who requested the change.
    pub author: OperatorName,
    /// Change id, which is the idempotency key of the change.
    pub id: ChangeId,
    /// Revision of the object on which the operator based the change.
    pub base: Revision,
    /// The requested change.
    pub change: ChangeSummary,
    /// Answer to the operator.
    pub answer: Answer,
    /// Whether this is a retry, answered as the earlier record with the same id.
    pub resend: bool,
}

impl AuditRecord {
    pub(crate) fn new(
        index: Revision,
        at: UnixMillis,
        req: &ChangeRequest,
        answer: Answer,
        resend: bool,
    ) -> Self {
        AuditRecord {
            index,
            at,
            author: req.author.clone(),
            id: req.id,
            base: req.base,
            change: ChangeSummary::from(&req.change),
            answer,
            resend,
        }
    }
}

/// Description of a change without key secrets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeSummary {
    /// Create a service at an address.
    CreateService(ServiceName, SocketAddr),
    /// Delete a service.
    DeleteService(ServiceName),
    /// Set the target of a class.
    SetTarget(ServiceName, ClassName, Target),
    /// Delete the target of a class.
    DeleteTarget(ServiceName, ClassName),
    /// Set (true) or clear (false) the drain mark of a host.
    SetDrain(HostName, bool),
    /// Start (true) or end (false) the evacuation of a data centre.
    SetEvacuation(DataCentre, bool),
    /// Add a key of this generation.
    AddKey(KeyGeneration),
    /// Make the pending key the current one.
    ActivateKey,
    /// Replace the routing set; number and rule count of the new set.
    ReplaceRoutes(RoutingSetNumber, u64),
    /// Change the membership of the control group.
    Group(GroupRequest),
}

impl fmt::Display for ChangeSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeSummary::CreateService(name, address) => {
                write!(f, "create service {name} at {address}")
            }
            ChangeSummary::DeleteService(name) => write!(f, "delete service {name}"),
            ChangeSummary::SetTarget(service, class, target) => write!(
                f,
                "set target of {service} {class}: carry {}, connections {}, leave within {:?}, \
                 path prefix {}",
                target.carry, target.connections, target.leave_within, target.path_prefix
            )
            .and_then(|()| match target.hedge_budget {
                Some(budget) => write!(f, ", hedge budget {budget}%"),
                None => Ok(()),
            }),
            ChangeSummary::DeleteTarget(service, class) => {
                write!(f, "delete target of {service} {class}")
            }
            ChangeSummary::SetDrain(host, true) => write!(f, "drain upstream of {host}"),
            ChangeSummary::SetDrain(host, false) => write!(f, "stop draining upstream of {host}"),
            ChangeSummary::SetEvacuation(data_centre, true) => {
                write!(f, "evacuate data centre {data_centre}")
            }
            ChangeSummary::SetEvacuation(data_centre, false) => {
                write!(f, "end evacuation of data centre {data_centre}")
            }
            ChangeSummary::AddKey(generation) => write!(f, "add key of generation {generation}"),
            ChangeSummary::ActivateKey => f.write_str("activate the other key"),
            ChangeSummary::ReplaceRoutes(number, rules) => {
                write!(f, "replace the routes by set {number} of {rules} rules")
            }
            ChangeSummary::Group(change) => write!(f, "change the control group: {change}"),
        }
    }
}

impl From<&Change> for ChangeSummary {
    fn from(change: &Change) -> Self {
        match change.clone() {
            Change::CreateService { name, address } => ChangeSummary::CreateService(name, address),
            Change::DeleteService { name } => ChangeSummary::DeleteService(name),
            Change::SetTarget {
                service,
                class,
                target,
            } => ChangeSummary::SetTarget(service, class, target),
            Change::DeleteTarget { service, class } => ChangeSummary::DeleteTarget(service, class),
            Change::SetDrain { host, drain } => ChangeSummary::SetDrain(host, drain),
            Change::SetEvacuation {
                data_centre,
                evacuated,
            } => ChangeSummary::SetEvacuation(data_centre, evacuated),
            Change::AddKey { key } => ChangeSummary::AddKey(key.generation),
            Change::ActivateKey => ChangeSummary::ActivateKey,
            Change::ReplaceRoutes(set) => {
                ChangeSummary::ReplaceRoutes(set.number, set.rules.len() as u64)
            }
            Change::NoteGroup { change, .. } => ChangeSummary::Group(change),
        }
    }
}
