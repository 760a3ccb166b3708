//! Idempotency keys.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use types::{UnixMillis, UpstreamId};
use uuid::Uuid;

/// Position of the timestamp in a version 7 UUID, in bits.
const TIMESTAMP_SHIFT: u32 = 80;

/// The version and variant bits of a version 7 UUID.
const VERSION_AND_VARIANT_BITS: u128 = 0x7000_8000_0000_0000_0000;

/// An idempotency key: a version 7 UUID that the caller generates for a request
/// and reuses for its retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Creates a key from a timestamp and the low 62 bits of `random`.
    #[must_use]
    pub fn with_timestamp(at: UnixMillis, random: u64) -> Self {
        let low = u128::from(random & 0x3fff_ffff_ffff_ffff);
        IdempotencyKey(Uuid::from_u128(
            u128::from(at.0) << TIMESTAMP_SHIFT | VERSION_AND_VARIANT_BITS | low,
        ))
    }

    /// Time at which the key was generated, by the caller's clock.
    #[must_use]
    pub fn timestamp(self) -> UnixMillis {
        UnixMillis(u64::try_from(self.0.as_u128() >> TIMESTAMP_SHIFT).unwrap_or_default())
    }

    /// Returns the 16 bytes of the key.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Error for text that is not a version 7 UUID. Such a key has no timestamp, so
/// no answer can be stored under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the idempotency key is not a version 7 UUID")]
pub struct InvalidKey;

impl FromStr for IdempotencyKey {
    type Err = InvalidKey;

    fn from_str(s: &str) -> Result<Self, InvalidKey> {
        let id = Uuid::parse_str(s).map_err(|_| InvalidKey)?;
        match id.get_version_num() {
            7 => Ok(IdempotencyKey(id)),
            _ => Err(InvalidKey),
        }
    }
}

/// Identifies an attempt to run a request. The same attempt may ask the home
/// again if its reply was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptId {
    /// Upstream whose agent makes the attempt.
    pub upstream: UpstreamId,
    /// Random number that the agent generates for the attempt.
    pub attempt: u64,
}

/// Hash of the method and target of a request, which detects the reuse of a key
/// for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a method and a request target. The body is
    /// not included, because it has not arrived when the home is asked.
    #[must_use]
    pub fn of(method: &str, target: &str) -> Self {
        let mut text = Vec::with_capacity(method.len() + 1 + target.len());
        text.extend_from_slice(method.as_bytes());
        text.push(b' ');
        text.extend_from_slice(target.as_bytes());
        Fingerprint(twox_hash::XxHash64::oneshot(0, &text))
    }
}
