//! Idempotency keys.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use types::{UnixMillis, UpstreamId};
use uuid::Uuid;

/// Bits of a version 7 UUID that are not its time stamp.
const RANDOM_BITS: u32 = 80;

/// The version and variant bits of a version 7 UUID.
const MARKS: u128 = 0x7000_8000_0000_0000_0000;

/// An idempotency key: a version 7 UUID that the caller draws for a request
/// and keeps for its resends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// The key with this date and these random bits.
    #[must_use]
    pub fn with_timestamp(at: UnixMillis, random: u64) -> Self {
        let low = u128::from(random & 0x3fff_ffff_ffff_ffff);
        IdempotencyKey(Uuid::from_u128(
            u128::from(at.0) << RANDOM_BITS | MARKS | low,
        ))
    }

    /// When the key was drawn, by the caller's clock.
    #[must_use]
    pub fn timestamp(self) -> UnixMillis {
        UnixMillis(u64::try_from(self.0.as_u128() >> RANDOM_BITS).unwrap_or_default())
    }

    /// The key's bytes.
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

/// Text that is not a version 7 UUID. Such a key has no date, so results
/// cannot be kept under it.
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

/// Who asks to run a request, and for which attempt. The same attempt may ask
/// again when the home's answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptId {
    /// Upstream whose agent asks.
    pub upstream: UpstreamId,
    /// Random number that the agent draws for the attempt.
    pub attempt: u64,
}

/// Hash of what a request asks, so that a key is not used for two requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a method and a request target. The body is not
    /// included: it is still on its way when the home is asked.
    #[must_use]
    pub fn of(method: &str, target: &str) -> Self {
        let mut text = Vec::with_capacity(method.len() + 1 + target.len());
        text.extend_from_slice(method.as_bytes());
        text.push(b' ');
        text.extend_from_slice(target.as_bytes());
        Fingerprint(twox_hash::XxHash64::oneshot(0, &text))
    }
}
