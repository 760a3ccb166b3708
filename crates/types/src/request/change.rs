//! Changes of the configuration and their answers.

use std::{fmt, net::SocketAddr, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    Category, CidKey, ClassName, DataCentre, Error, GroupRefusal, GroupRequest, HostName,
    OperatorName, Result, Revision, RoutingSet, RoutingSetNumber, ServiceName, Target, UnixMillis,
};

/// Id of a change, a version 7 UUID.
///
/// The timestamp in the id bounds how long its answer has to be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(Uuid);

impl ChangeId {
    /// Generates an id from the system clock and random bits.
    #[must_use]
    pub fn generate() -> Self {
        ChangeId(Uuid::now_v7())
    }

    /// Timestamp of the id, by the clock of the host that generated it.
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

/// Change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates a service.
    CreateService {
        /// Name of the new service.
        name: ServiceName,
        /// Address that callers send to.
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
    /// Starts or cancels the drain of the upstream of a host.
    SetDrain {
        /// Host of the upstream's agent.
        host: HostName,
        /// Whether the upstream is to be drained.
        drain: bool,
    },
    /// Starts or ends the evacuation of a data centre. While it lasts, the upstreams
    /// there get no new work.
    SetEvacuation {
        /// The data centre.
        data_centre: DataCentre,
        /// Whether it is to be evacuated.
        evacuated: bool,
    },
    /// Adds a key that nodes accept but do not yet use for new connection ids.
    AddKey {
        /// The new key.
        key: CidKey,
    },
    /// Makes the other key the current one.
    ActivateKey,
    /// Replaces the routing set. If the present set has the same or a higher
    /// number, the change is accepted and has no effect.
    ReplaceRoutes(Arc<RoutingSet>),
    /// Records in the audit trail that a change of the control group was made
    /// or refused. Only the leader proposes it; it has no other effect.
    NoteGroup {
        /// Change that the operator requested.
        change: GroupRequest,
        /// Reason for a refusal; `None` if the change was made.
        refused: Option<GroupRefusal>,
    },
}

/// A change as an operator sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Id of the change; the same for every resend.
    pub id: ChangeId,
    /// Operator who sends the change.
    pub author: OperatorName,
    /// Revision of the object on which the operator bases the change; 0 if the
    /// object did not exist.
    pub base: Revision,
    /// The requested change.
    pub change: Change,
}

/// Final answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The change is part of the configuration from this revision on.
    Accepted(Revision),
    /// The object was changed after the revision that the request is based on.
    Conflict(Conflict),
    /// The change was not made and never will be.
    Refused(Refusal),
}

/// The earlier change that a request conflicts with.
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
    /// The target has no slots or no connections.
    #[error("a target must allow at least one slot and one connection")]
    EmptyTarget,
    /// The id was used before with other contents.
    #[error("change id {0} was used before with other contents")]
    IdReused(ChangeId),
    /// The id is older than the time for which answers are kept. This request
    /// was not applied; if the id was sent before, the audit trail has the
    /// answer.
    #[error("change id {0} is older than the time for which answers are kept")]
    IdExpired(ChangeId),
    /// The control group was not changed.
    #[error("the control group was not changed: {0}")]
    Group(GroupRefusal),
    /// The present state of the key rotation does not allow the change.
    #[error("the key cannot be added or activated in the present state of the rotation")]
    KeyRotation,
    /// A rule of the routing set has no service with a weight above 0.
    #[error("routing set {0} has a rule for {1} without a part above 0")]
    EmptyRule(RoutingSetNumber, SocketAddr),
    /// The id is dated too far ahead of the control group's clock.
    #[error("change id {0} is dated in the future; check the clock of the host that drew it")]
    IdInFuture(ChangeId),
    /// No more data centres can be evacuated.
    #[error("{0} data centres are evacuated already, the most that are supported")]
    TooManyEvacuations(usize),
    /// The base revision is not a known revision of the object.
    #[error("revision {0} is not known for what the change concerns")]
    UnknownBase(Revision),
    /// A rule of the routing set has a timeout of 0.
    #[error("routing set {0} has a rule for {1} with a time-out of 0")]
    ZeroTimeout(RoutingSetNumber, SocketAddr),
    /// The routing set has more rules than a host has memory for.
    #[error("routing set {0} has {1} rules; at most {2} are allowed")]
    TooManyRules(RoutingSetNumber, usize, usize),
    /// The change is too large for a message between control hosts.
    #[error("the change has {bytes} bytes; at most {limit} are allowed")]
    TooLarge {
        /// Size of the encoded change.
        bytes: usize,
        /// The largest allowed size.
        limit: usize,
    },
}

impl Refusal {
    /// Whether the change exceeds a limit on its size.
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        matches!(self, Refusal::TooManyRules(..) | Refusal::TooLarge { .. })
    }
}
