//! The audit trail.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};
use types::{
    Answer, Change, ChangeId, ChangeRequest, ClassName, GroupRequest, HostName, KeyGeneration,
    OperatorName, Revision, RoutingSetNumber, ServiceName, Target, UnixMillis,
};

/// Number of audit records that are kept.
pub const MAX_AUDIT_RECORDS: usize = 10_000;

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Index of the log entry that carried the change.
    pub index: Revision,
    /// Time of the log when the change was run.
    pub at: UnixMillis,
    /// Who asked.
    pub author: OperatorName,
    /// Identity of the change.
    pub id: ChangeId,
    /// Revision that the operator saw.
    pub base: Revision,
    /// What was asked.
    pub change: ChangeSummary,
    /// What the operator was answered.
    pub answer: Answer,
    /// Whether the answer is that of an earlier record with the same id.
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

/// A change without the secrets that it carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeSummary {
    /// A service was to be created.
    CreateService(ServiceName, SocketAddr),
    /// A service was to be deleted.
    DeleteService(ServiceName),
    /// A target was to be set.
    SetTarget(ServiceName, ClassName, Target),
    /// A target was to be removed.
    DeleteTarget(ServiceName, ClassName),
    /// An upstream's host was to be marked as leaving (or not any more).
    SetDrain(HostName, bool),
    /// A key of this generation was to be added.
    AddKey(KeyGeneration),
    /// The other key was to become the current one.
    ActivateKey,
    /// The routing set was to be replaced by one with this number and this
    /// many rules.
    ReplaceRoutes(RoutingSetNumber, u64),
    /// The control group was to be changed.
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
            ),
            ChangeSummary::DeleteTarget(service, class) => {
                write!(f, "delete target of {service} {class}")
            }
            ChangeSummary::SetDrain(host, true) => write!(f, "drain upstream of {host}"),
            ChangeSummary::SetDrain(host, false) => write!(f, "stop draining upstream of {host}"),
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
            Change::AddKey { key } => ChangeSummary::AddKey(key.generation),
            Change::ActivateKey => ChangeSummary::ActivateKey,
            Change::ReplaceRoutes(set) => {
                ChangeSummary::ReplaceRoutes(set.number, set.rules.len() as u64)
            }
            Change::NoteGroup { change, .. } => ChangeSummary::Group(change),
        }
    }
}
