//! Messages about idempotency keys, between the agents of one service.

use dedup::{AttemptId, Fingerprint, IdempotencyKey, KeyedOutcome};
use serde::{Deserialize, Serialize};
use types::{ServiceId, UpstreamId};

/// Asks the home of an idempotency key whether a request may run; the reply is
/// a [`dedup::BeginReply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginRequest {
    /// Service of the request.
    pub service: ServiceId,
    /// Upstream that the request is for; another incarnation is not the home.
    pub home: UpstreamId,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// Fingerprint of the content of the request.
    pub fingerprint: Fingerprint,
    /// The attempt that asks.
    pub from: AttemptId,
}

/// Reports the outcome of a request to the home of its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRequest {
    /// Upstream that the report is for; another incarnation has no record of the
    /// request.
    pub home: UpstreamId,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// Outcome of the request.
    pub end: KeyedOutcome,
}
