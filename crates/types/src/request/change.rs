//! Changes of the configuration and their answers.

use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    Category, CidKey, ClassName, Error, GroupRefusal, GroupRequest, HostName, OperatorName, Result,
    Revision, RoutingSet, RoutingSetNumber, ServiceName, Target, UnixMillis,
};

/// Identity of a change, a version 7 UUID.
///
/// The time stamp inside bounds how long the answer has to be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(Uuid);

impl ChangeId {
    /// Draws a new id from the system clock and random bits.
    #[must_use]
    pub fn generate() -> Self {
        ChangeId(Uuid::now_v7())
    }

    /// When the id was drawn, by the clock of whoever drew it.
    #[must_use]
    pub fn created_at(&self) -> UnixMillis {
        UnixMillis(u64::try_from(self.0.as_u128() >> 80).unwrap_or_default())
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ChangeId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let invalid = || Error::new(Category::ChangeId, s, "a version 7 UUID");
        let id = Uuid::parse_str(s).map_err(|_| invalid())?;
        if id.get_version_num() != 7 {
            return Err(invalid());
        }
        Ok(ChangeId(id))
    }
}

/// What an operator asks to change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates a service.
    CreateService {
        /// Name of the new service.
        name: ServiceName,
        /// Address that callers will send to.
        address: SocketAddr,
    },
    /// Deletes a service and its targets.
    DeleteService {
        /// Name of the service.
        name: ServiceName,
    },
    /// Sets the target of a class of work.
    SetTarget {
        /// Name of the service.
        service: ServiceName,
        /// Name of the class of work.
        class: ClassName,
        /// The new target.
        target: Target,
    },
    /// Removes a class of work.
    DeleteTarget {
        /// Name of the service.
        service: ServiceName,
        /// Name of the class of work.
        class: ClassName,
    },
    /// Marks the upstream of a host as leaving, or takes the mark back.
    SetDrain {
        /// Host of the upstream's agent.
        host: HostName,
        /// Whether the upstream is to leave.
        drain: bool,
    },
    /// Adds a key that nodes accept but do not yet use.
    AddKey {
        /// The new key.
        key: CidKey,
    },
    /// Makes the other key the current one.
    ActivateKey,
    /// Replaces the routing set, unless the present one has this number or a
    /// higher one: then it is accepted and changes nothing.
    ReplaceRoutes(Box<RoutingSet>),
    /// Notes a change of the control group that was made or refused. Only the
    /// leader proposes it; it changes nothing but the audit trail.
    NoteGroup {
        /// What an operator asked.
        change: GroupRequest,
        /// Why it was not made; none if it was.
        refused: Option<GroupRefusal>,
    },
}

/// A change as an operator sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Identity of the change; the same for every resend.
    pub id: ChangeId,
    /// Who asks.
    pub author: OperatorName,
    /// Revision of the changed object that the operator saw; 0 if none.
    pub base: Revision,
    /// What is asked.
    pub change: Change,
}

/// Final answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The change is part of the configuration from this revision on.
    Accepted(Revision),
    /// Another change of the same object came first.
    Conflict(Conflict),
    /// The change was not made and never will be.
    Refused(Refusal),
}

/// The change that won against a conflicting one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Present revision of the object.
    pub winner: Revision,
    /// Operator who made it.
    pub author: OperatorName,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The service does not exist.
    #[error("service {0} does not exist")]
    UnknownService(ServiceName),
    /// The class of work does not exist.
    #[error("service {0} has no class {1}")]
    UnknownClass(ServiceName, ClassName),
    /// Another service has the address.
    #[error("address {0} belongs to service {1}")]
    AddressInUse(SocketAddr, ServiceName),
    /// Another class has the same path prefix.
    #[error("class {0} already has this path prefix")]
    PrefixInUse(ClassName),
    /// A target of no slots or no connections.
    #[error("a target must allow at least one slot and one connection")]
    EmptyTarget,
    /// The id was used before with other contents.
    #[error("change id {0} was used before with other contents")]
    IdReused(ChangeId),
    /// The id is older than answers are kept. Nothing was run for this
    /// request; if the id was sent before, the audit trail has its answer.
    #[error("change id {0} is older than the time for which answers are kept")]
    IdExpired(ChangeId),
    /// The control group was not changed.
    #[error("the control group was not changed: {0}")]
    Group(GroupRefusal),
    /// A key rotation is out of step.
    #[error("the key cannot be added or activated in the present state of the rotation")]
    KeyRotation,
    /// A rule of the routing set sends flows nowhere.
    #[error("routing set {0} has a rule for {1} without a part above 0")]
    EmptyRule(RoutingSetNumber, SocketAddr),
    /// The id is dated too far ahead of the control group's clock.
    #[error("change id {0} is dated in the future; check the clock of the host that drew it")]
    IdInFuture(ChangeId),
    /// The change names a revision that its object is not known to have had.
    #[error("revision {0} is not known for what the change concerns")]
    UnknownBase(Revision),
}
