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
pub struct Record {
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
    pub change: Summary,
    /// What the operator was answered.
    pub answer: Answer,
    /// Whether the answer is that of an earlier record with the same id.
    pub resend: bool,
}

impl Record {
    pub(crate) fn new(
        index: Revision,
        at: UnixMillis,
        req: &ChangeRequest,
        answer: Answer,
        resend: bool,
    ) -> Self {
        Record {
            index,
            at,
            author: req.author.clone(),
            id: req.id,
            base: req.base,
            change: Summary::from(&req.change),
            answer,
            resend,
        }
    }
}

/// A change without the secrets that it carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Summary {
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

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Summary::CreateService(name, address) => {
                write!(f, "create service {name} at {address}")
            }
            Summary::DeleteService(name) => write!(f, "delete service {name}"),
            Summary::SetTarget(service, class, target) => write!(
                f,
                "set target of {service} {class}: carry {}, connections {}, leave within {:?}, \
                 path prefix {}",
                target.carry, target.connections, target.leave_within, target.path_prefix
            ),
            Summary::DeleteTarget(service, class) => {
                write!(f, "delete target of {service} {class}")
            }
            Summary::SetDrain(host, true) => write!(f, "drain upstream of {host}"),
            Summary::SetDrain(host, false) => write!(f, "stop draining upstream of {host}"),
            Summary::AddKey(generation) => write!(f, "add key of generation {generation}"),
            Summary::ActivateKey => f.write_str("activate the other key"),
            Summary::ReplaceRoutes(number, rules) => {
                write!(f, "replace the routes by set {number} of {rules} rules")
            }
            Summary::Group(change) => write!(f, "change the control group: {change}"),
        }
    }
}

impl From<&Change> for Summary {
    fn from(change: &Change) -> Self {
        match change.clone() {
            Change::CreateService { name, address } => Summary::CreateService(name, address),
            Change::DeleteService { name } => Summary::DeleteService(name),
            Change::SetTarget {
                service,
                class,
                target,
            } => Summary::SetTarget(service, class, target),
            Change::DeleteTarget { service, class } => Summary::DeleteTarget(service, class),
            Change::SetDrain { host, drain } => Summary::SetDrain(host, drain),
            Change::AddKey { key } => Summary::AddKey(key.generation),
            Change::ActivateKey => Summary::ActivateKey,
            Change::ReplaceRoutes(set) => {
                Summary::ReplaceRoutes(set.number, set.rules.len() as u64)
            }
            Change::NoteGroup { change, .. } => Summary::Group(change),
        }
    }
}
