//! Which member of a service is a key's home.

use std::collections::BTreeSet;

use types::UpstreamId;

use crate::IdempotencyKey;

/// Seed of the hash; the same in every process.
const SEED: u64 = 0x6b65_7973;

/// How strongly a member claims a key. The member with the highest claim is
/// the key's home, so that a member that comes or goes moves only its own
/// keys.
#[must_use]
pub(crate) fn claim(key: IdempotencyKey, member: UpstreamId) -> (u64, UpstreamId) {
    let mut bytes = [0; 24];
    bytes[..16].copy_from_slice(key.as_bytes());
    bytes[16..].copy_from_slice(&member.0.to_be_bytes());
    (twox_hash::XxHash64::oneshot(SEED, &bytes), member)
}

/// The home of a key among the members of its service.
#[must_use]
pub fn home_of(key: IdempotencyKey, members: &BTreeSet<UpstreamId>) -> Option<UpstreamId> {
    let claims = members.iter().map(|&member| claim(key, member));
    claims.max().map(|(_, member)| member)
}
