//! Deduplication of changes: the first answer to each change id.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize, Serializer};
use twox_hash::XxHash64;
use types::{Answer, ChangeId, ChangeRequest, Refusal, UnixMillis};

/// Time for which a first answer is retained, in log time from the later of
/// the change and the timestamp of its id. An id is refused as expired at the
/// same age, so a change cannot run again after its answer was dropped.
pub const ANSWER_RETENTION: Duration = Duration::from_hours(24);

/// Longest time by which the timestamp of an id may be ahead of log time.
///
/// One hour tolerates a host with a badly set clock and still bounds how long
/// an answer is retained.
pub const MAX_ID_CLOCK_SKEW: Duration = Duration::from_hours(1);

/// Digest of all fields of a request.
///
/// A 64-bit hash that is not cryptographic is sufficient: a digest is compared
/// only with that of the one request that used the same id before, and an
/// operator who forges a collision only gets the answer to their own first
/// request.
pub(crate) fn request_digest(req: &ChangeRequest) -> u64 {
    XxHash64::oneshot(0, &rmp_serde::to_vec(req).unwrap_or_default())
}

/// The first answer to a change id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct FirstAnswer {
    /// Digest of the request, see [`request_digest`].
    digest: u64,
    /// The answer is removed once log time is later than this.
    expires_at: UnixMillis,
    answer: Answer,
}

/// The retained first answers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(from = "BTreeMap<ChangeId, FirstAnswer>")]
pub(crate) struct FirstAnswers {
    by_id: BTreeMap<ChangeId, FirstAnswer>,
    /// One entry for each of `by_id`, ordered by expiry.
    by_expiry: BTreeSet<(UnixMillis, ChangeId)>,
}

impl From<BTreeMap<ChangeId, FirstAnswer>> for FirstAnswers {
    fn from(by_id: BTreeMap<ChangeId, FirstAnswer>) -> Self {
        let by_expiry = by_id
            .iter()
            .map(|(id, first)| (first.expires_at, *id))
            .collect();
        FirstAnswers { by_id, by_expiry }
    }
}

impl Serialize for FirstAnswers {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        self.by_id.serialize(ser)
    }
}

impl FirstAnswers {
    /// Returns the answer to a request whose id was used before.
    ///
    /// The flag is true if the request is a retry of the first one, and false
    /// if it reuses the id for another request.
    pub(crate) fn get(&self, id: ChangeId, digest: u64) -> Option<(Answer, bool)> {
        let first = self.by_id.get(&id)?;
        if first.digest == digest {
            return Some((first.answer.clone(), true));
        }
        Some((Answer::Refused(Refusal::IdReused(id)), false))
    }

    /// Stores the first answer to `id`.
    pub(crate) fn insert(&mut self, id: ChangeId, digest: u64, now: UnixMillis, answer: Answer) {
        // An id that is refused as too far ahead is stored as well. Its
        // timestamp is capped, so that a wrong clock cannot make the answer
        // stay for years.
        let capped_time = id
            .created_at()
            .clamp(now, now.saturating_add(ANSWER_RETENTION));
        let expires_at = capped_time.saturating_add(ANSWER_RETENTION);
        self.by_expiry.insert((expires_at, id));
        self.by_id.insert(
            id,
            FirstAnswer {
                digest,
                expires_at,
                answer,
            },
        );
    }

    /// Removes the answers whose expiry has passed.
    pub(crate) fn remove_expired(&mut self, now: UnixMillis) {
        while let Some((expires_at, id)) = self.by_expiry.first().copied() {
            if expires_at >= now {
                return;
            }
            self.by_expiry.pop_first();
            self.by_id.remove(&id);
        }
    }

    /// Number of retained answers.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }
}

/// Checks the timestamp of a new id: at most [`ANSWER_RETENTION`] behind log
/// time and at most [`MAX_ID_CLOCK_SKEW`] ahead of it.
pub(crate) fn check_id_time(id: ChangeId, now: UnixMillis) -> Result<(), Refusal> {
    if id.created_at().saturating_add(ANSWER_RETENTION) < now {
        return Err(Refusal::IdExpired(id));
    }
    if id.created_at() > now.saturating_add(MAX_ID_CLOCK_SKEW) {
        return Err(Refusal::IdInFuture(id));
    }
    Ok(())
}
