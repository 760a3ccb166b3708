//! First answers by change id.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize, Serializer};
use twox_hash::XxHash64;
use types::{Answer, ChangeId, ChangeRequest, Refusal, UnixMillis};

/// Time for which a first answer is kept, counted in log time from the later
/// of the change and the date of its id. As long as an id is young enough to
/// be run, its answer is therefore still known.
pub const ANSWER_RETENTION: Duration = Duration::from_hours(24);

/// How far ahead of log time an id may be dated.
///
/// An hour lets in a host whose clock is badly set and still bounds how long
/// an answer has to be kept.
pub const MAX_ID_CLOCK_SKEW: Duration = Duration::from_hours(1);

/// Digest of everything that a request says.
///
/// 64 bits without cryptographic strength are enough: a digest is compared
/// only with that of the one request that used the same id before, and an
/// operator who forges a collision only gets the answer to his own first
/// request.
pub(crate) fn digest(req: &ChangeRequest) -> u64 {
    XxHash64::oneshot(0, &rmp_serde::to_vec(req).unwrap_or_default())
}

/// First answer to a change id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    /// Digest of the request's contents.
    digest: u64,
    /// The answer is dropped once log time passes this.
    until: UnixMillis,
    answer: Answer,
}

/// The first answers that are kept.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(from = "BTreeMap<ChangeId, Kept>")]
pub(crate) struct Answers {
    by_id: BTreeMap<ChangeId, Kept>,
    /// One entry for each of `by_id`, in the order in which they are dropped.
    by_end: BTreeSet<(UnixMillis, ChangeId)>,
}

impl From<BTreeMap<ChangeId, Kept>> for Answers {
    fn from(by_id: BTreeMap<ChangeId, Kept>) -> Self {
        let by_end = by_id.iter().map(|(id, kept)| (kept.until, *id)).collect();
        Answers { by_id, by_end }
    }
}

impl Serialize for Answers {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        self.by_id.serialize(ser)
    }
}

impl Answers {
    /// The answer to a request whose id was used before.
    ///
    /// The flag says whether the request is a resend of the first one.
    pub(crate) fn first(&self, id: ChangeId, digest: u64) -> Option<(Answer, bool)> {
        let kept = self.by_id.get(&id)?;
        if kept.digest == digest {
            return Some((kept.answer.clone(), true));
        }
        Some((Answer::Refused(Refusal::IdReused(id)), false))
    }

    /// Keeps the first answer to `id`.
    pub(crate) fn keep(&mut self, id: ChangeId, digest: u64, now: UnixMillis, answer: Answer) {
        // The date of an id that is refused as too far ahead is capped, so
        // that a broken clock cannot make an answer stay for years.
        let dated = id
            .created_at()
            .clamp(now, now.saturating_add(ANSWER_RETENTION));
        let until = dated.saturating_add(ANSWER_RETENTION);
        self.by_end.insert((until, id));
        self.by_id.insert(
            id,
            Kept {
                digest,
                until,
                answer,
            },
        );
    }

    /// Drops the answers whose time has passed.
    pub(crate) fn expire(&mut self, now: UnixMillis) {
        while let Some((until, id)) = self.by_end.first().copied() {
            if until >= now {
                return;
            }
            self.by_end.pop_first();
            self.by_id.remove(&id);
        }
    }

    /// Number of answers that are kept.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }
}

/// Checks that an id that was not seen before is neither too old nor too new.
pub(crate) fn check_date(id: ChangeId, now: UnixMillis) -> Result<(), Refusal> {
    if id.created_at().saturating_add(ANSWER_RETENTION) < now {
        return Err(Refusal::IdExpired(id));
    }
    if id.created_at() > now.saturating_add(MAX_ID_CLOCK_SKEW) {
        return Err(Refusal::IdInFuture(id));
    }
    Ok(())
}
