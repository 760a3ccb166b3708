//! Choice of a key's home among the members of a service.

use std::collections::BTreeSet;

use types::UpstreamId;

use crate::IdempotencyKey;

/// Seed of the score hash; it must be the same in every process.
const SCORE_SEED: u64 = 0x6b65_7973;

/// Score of a member for a key in rendezvous hashing. The member with the
/// highest score is the key's home, so that a member that joins or leaves moves
/// only its own keys.
#[must_use]
pub(crate) fn rendezvous_score(key: IdempotencyKey, member: UpstreamId) -> (u64, UpstreamId) {
    let mut bytes = [0; 24];
    bytes[..16].copy_from_slice(key.as_bytes());
    bytes[16..].copy_from_slice(&member.0.to_be_bytes());
    (twox_hash::XxHash64::oneshot(SCORE_SEED, &bytes), member)
}

/// Returns the home of a key among the members of its service.
#[must_use]
pub fn home_of(key: IdempotencyKey, members: &BTreeSet<UpstreamId>) -> Option<UpstreamId> {
    let scores = members.iter().map(|&member| rendezvous_score(key, member));
    scores.max().map(|(_, member)| member)
}
