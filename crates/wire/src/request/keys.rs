//! Messages between the agents of one service about idempotency keys.

use dedup::{Asker, End, Fingerprint, Key};
use serde::{Deserialize, Serialize};
use types::{ServiceId, UpstreamId};

/// Asks a key's home whether a request may run; the reply is a
/// [`dedup::Begin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginRequest {
    /// Service of the request.
    pub service: ServiceId,
    /// Upstream that is meant; another incarnation is not the home.
    pub home: UpstreamId,
    /// The idempotency key.
    pub key: Key,
    /// What the request asks.
    pub fingerprint: Fingerprint,
    /// Who asks.
    pub from: Asker,
}

/// Tells a key's home how a request has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRequest {
    /// Upstream that is meant; another incarnation has no record of it.
    pub home: UpstreamId,
    /// The idempotency key.
    pub key: Key,
    /// How the request has ended.
    pub end: End,
}
