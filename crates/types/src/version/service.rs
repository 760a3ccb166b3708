//! Services and their targets.

use std::{collections::BTreeMap, fmt, net::SocketAddr, str::FromStr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    Category, ClassName, Connections, Error, HedgeBudget, OperatorName, Result, Revision,
    ServiceName, Slots,
};

decimal! {
    /// Number of a service, never reused after the service is deleted.
    ServiceId(u32)
}

decimal! {
    /// Weight of an upstream in the placement of new flows.
    Share(u32)
}

impl Share {
    /// Share of an upstream that is fully warmed up and carries one
    /// connection target; the warm-up ramp and load reports lower it.
    pub const FULL: Share = Share(1024);
}

/// A service that callers reach at one address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Number that datagrams and connection ids refer to.
    pub id: ServiceId,
    /// Name that operators and upstreams use.
    pub name: ServiceName,
    /// Address that callers send to; no two services share one.
    pub address: SocketAddr,
    /// Revision of the last change of this service.
    pub revision: Revision,
    /// Operator who made the last change.
    pub author: OperatorName,
    /// Target of each class of work.
    pub targets: BTreeMap<ClassName, Target>,
}

impl Service {
    /// The class of work of a request path: the one with the longest matching
    /// prefix.
    #[must_use]
    pub fn class_of(&self, path: &[u8]) -> Option<(&ClassName, &Target)> {
        self.targets
            .iter()
            .filter(|(_, target)| target.path_prefix.matches(path))
            .max_by_key(|(_, target)| target.path_prefix.len())
    }
}

/// Target of a class of work.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Target number of concurrent requests at each upstream.
    pub carry: Slots,
    /// Target number of connections at each upstream.
    pub connections: Connections,
    /// Time after which an upstream that starts to leave gets no new work.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub leave_within: Duration,
    /// Path prefix of the requests that belong to the class.
    pub path_prefix: PathPrefix,
    /// Extra requests for hedging; `None` turns it off. It is the last field and
    /// left out if `None`, so that targets from before it existed can be read and
    /// targets without it are encoded as before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge_budget: Option<HedgeBudget>,
}

impl Default for Target {
    fn default() -> Self {
        Target {
            carry: Slots(1),
            connections: Connections(2000),
            leave_within: Duration::from_secs(3),
            path_prefix: PathPrefix::default(),
            hedge_budget: None,
        }
    }
}

/// Prefix of a request path; always starts with `/`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PathPrefix(Bytes);

impl PathPrefix {
    /// Whether `path` starts with this prefix.
    #[must_use]
    pub fn matches(&self, path: &[u8]) -> bool {
        path.starts_with(&self.0)
    }

    /// Length in bytes; never 0.
    #[must_use]
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

impl Default for PathPrefix {
    fn default() -> Self {
        PathPrefix(Bytes::from_static(b"/"))
    }
}

impl fmt::Display for PathPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&String::from_utf8_lossy(&self.0))
    }
}

impl FromStr for PathPrefix {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        if s.starts_with('/') && s.bytes().all(|b| b.is_ascii_graphic()) {
            return Ok(PathPrefix(Bytes::copy_from_slice(s.as_bytes())));
        }
        Err(Error::new(
            Category::Path,
            s,
            "printable ASCII that starts with '/'",
        ))
    }
}
