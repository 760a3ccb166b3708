//! Messages between the agents of one service about idempotency keys.

use dedup::{AttemptId, Fingerprint, IdempotencyKey, KeyedOutcome};
use serde::{Deserialize, Serialize};
use types::{ServiceId, UpstreamId};

/// Asks a key's home whether a request may run; the reply is a
/// [`dedup::BeginReply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginRequest {
    /// Service of the request.
    pub service: ServiceId,
    /// Upstream that is meant; another incarnation is not the home.
    pub home: UpstreamId,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// What the request asks.
    pub fingerprint: Fingerprint,
    /// Who asks.
    pub from: AttemptId,
}

/// Tells a key's home how a request has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRequest {
    /// Upstream that is meant; another incarnation has no record of it.
    pub home: UpstreamId,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// How the request has ended.
    pub end: KeyedOutcome,
}
