//! The records that a home stores for its keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use types::{UnixMillis, UpstreamId};

use super::Settings;
use crate::{
    AttemptId, BeginReply, Fingerprint, IdempotencyKey, KeyedOutcome, StoredAnswer, home_of,
    version::rendezvous_score,
};

/// State of the request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
enum KeyState {
    /// This attempt may run.
    Running(AttemptId),
    Answered(StoredAnswer),
    AnswerNotKept,
    AnswerLost,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Record {
    fingerprint: Fingerprint,
    state: KeyState,
}

impl Record {
    fn size(&self) -> usize {
        match &self.state {
            KeyState::Answered(answer) => answer.size(),
            _ => 0,
        }
    }
}

/// Stores the records of the keys whose home is this agent.
#[derive(Debug, Clone)]
pub struct Home {
    settings: Settings,
    own: UpstreamId,
    members: BTreeSet<UpstreamId>,
    /// Former members, each with the time until which it may have been a home.
    /// Entries older than `retention` are dropped.
    departed: BTreeMap<UpstreamId, UnixMillis>,
    /// Keys up to this timestamp may have had another home or an evicted record.
    /// Never decreases.
    indeterminate_until: UnixMillis,
    /// Instant after which the membership may be outdated; `None` before the
    /// first confirmation.
    confirmed_until: Option<Instant>,
    /// Records in order of timestamp, because keys begin with it.
    records: BTreeMap<IdempotencyKey, Record>,
    /// Total size of the stored answers, in bytes.
    answer_bytes: usize,
}

impl Home {
    /// Creates a home without records, for the start of an agent.
    #[must_use]
    pub fn new(settings: Settings, own: UpstreamId) -> Self {
        Home {
            indeterminate_until: UnixMillis::default(),
            settings,
            own,
            members: BTreeSet::new(),
            departed: BTreeMap::new(),
            confirmed_until: None,
            records: BTreeMap::new(),
            answer_bytes: 0,
        }
    }

    /// Applies the members of the service that an exchange with the control
    /// group, begun at `began`, has confirmed. Requests that were running at a
    /// member that is gone become `AnswerLost`.
    pub fn confirm_members(
        &mut self,
        began: Instant,
        unix_now: UnixMillis,
        members: &BTreeSet<UpstreamId>,
    ) {
        if self.may_have_missed_former_home(began, members) {
            self.indeterminate_until = self
                .indeterminate_until
                .max(unix_now.saturating_add(self.settings.handover_time()));
        }
        let until = began + self.settings.lease;
        self.confirmed_until = self.confirmed_until.max(Some(until));
        if self.members != *members {
            self.replace_members(unix_now, members);
        }
    }

    /// Returns true if keys of this home may have had another home that was
    /// never in a membership applied here. Within one lease that is impossible,
    /// because a new home permits no request before the handover time, which is
    /// longer, has passed.
    fn may_have_missed_former_home(&self, began: Instant, members: &BTreeSet<UpstreamId>) -> bool {
        let lapsed = self.confirmed_until.is_none_or(|until| until < began);
        let joined = members.contains(&self.own) && !self.members.contains(&self.own);
        lapsed || joined
    }

    fn replace_members(&mut self, unix_now: UnixMillis, members: &BTreeSet<UpstreamId>) {
        let until = unix_now.saturating_add(self.settings.handover_time());
        for &gone in self.members.difference(members) {
            self.departed.insert(gone, until);
        }
        for member in members {
            self.departed.remove(member);
        }
        let oldest = subtract(unix_now, self.settings.retention);
        self.departed.retain(|_, until| *until > oldest);
        for record in self.records.values_mut() {
            if matches!(record.state, KeyState::Running(at) if !members.contains(&at.upstream)) {
                record.state = KeyState::AnswerLost;
            }
        }
        self.members.clone_from(members);
    }

    /// Decides whether an attempt may run.
    pub fn begin(
        &mut self,
        now: Instant,
        unix_now: UnixMillis,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        from: AttemptId,
    ) -> BeginReply {
        if !self.is_home(now, key) || !self.members.contains(&from.upstream) {
            return BeginReply::NotHome;
        }
        self.evict_expired(unix_now);
        if let Some(record) = self.records.get(&key) {
            return reply_for_record(record, fingerprint, from);
        }
        if key.timestamp() > unix_now.saturating_add(self.settings.max_clock_skew) {
            return BeginReply::InFuture;
        }
        if key.timestamp() <= self.key_indeterminate_until(unix_now, key) {
            return BeginReply::Indeterminate;
        }
        let record = Record {
            fingerprint,
            state: KeyState::Running(from),
        };
        self.records.insert(key, record);
        self.evict_over_limits();
        BeginReply::Run
    }

    /// Records the outcome of a request that was permitted to run.
    pub fn end(&mut self, unix_now: UnixMillis, key: IdempotencyKey, end: KeyedOutcome) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if !matches!(record.state, KeyState::Running(_) | KeyState::AnswerLost) {
            return;
        }
        record.state = match end {
            KeyedOutcome::Answered(answer) if answer.size() <= self.settings.max_answer_bytes => {
                KeyState::Answered(answer)
            }
            KeyedOutcome::Answered(_) | KeyedOutcome::AnswerTooLarge => KeyState::AnswerNotKept,
            KeyedOutcome::AnswerLost => KeyState::AnswerLost,
            KeyedOutcome::NotRun => {
                self.records.remove(&key);
                return;
            }
        };
        self.answer_bytes += record.size();
        self.evict_expired(unix_now);
        self.evict_over_limits();
    }

    /// Returns the number of records and the bytes of stored answers.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        (self.records.len(), self.answer_bytes)
    }

    /// Returns true if this agent is the key's home in a membership whose lease
    /// has not expired.
    fn is_home(&self, now: Instant, key: IdempotencyKey) -> bool {
        let confirmed = self.confirmed_until.is_some_and(|until| now < until);
        confirmed && home_of(key, &self.members) == Some(self.own)
    }

    /// Timestamp up to which `key` may have had another home or an evicted
    /// record.
    fn key_indeterminate_until(&self, unix_now: UnixMillis, key: IdempotencyKey) -> UnixMillis {
        let own = rendezvous_score(key, self.own);
        let former = self.departed.iter();
        let former = former.filter(|(member, _)| rendezvous_score(key, **member) > own);
        let oldest = subtract(unix_now, self.settings.retention);
        former
            .map(|(_, until)| *until)
            .chain([self.indeterminate_until, oldest])
            .max()
            .unwrap_or_default()
    }

    /// Evicts records older than `retention`.
    fn evict_expired(&mut self, unix_now: UnixMillis) {
        let oldest = subtract(unix_now, self.settings.retention);
        while let Some((&key, _)) = self.records.first_key_value()
            && key.timestamp() <= oldest
        {
            self.evict(key);
        }
    }

    /// Evicts the oldest records until the limits are met.
    fn evict_over_limits(&mut self) {
        while self.records.len() > self.settings.max_records
            || self.answer_bytes > self.settings.max_stored_bytes
        {
            let Some((&key, _)) = self.records.first_key_value() else {
                return;
            };
            self.evict(key);
        }
    }

    /// Evicts a record. Its key and all older ones are indeterminate from then
    /// on.
    fn evict(&mut self, key: IdempotencyKey) {
        if let Some(record) = self.records.remove(&key) {
            self.answer_bytes -= record.size();
        }
        self.indeterminate_until = self.indeterminate_until.max(key.timestamp());
    }
}

fn reply_for_record(record: &Record, fingerprint: Fingerprint, from: AttemptId) -> BeginReply {
    if record.fingerprint != fingerprint {
        return BeginReply::Mismatch;
    }
    match &record.state {
        KeyState::Running(at) if *at == from => BeginReply::Run,
        KeyState::Running(_) => BeginReply::InProgress,
        KeyState::Answered(answer) => BeginReply::Answered(answer.clone()),
        KeyState::AnswerNotKept => BeginReply::AnswerNotKept,
        KeyState::AnswerLost => BeginReply::AnswerLost,
    }
}

/// Subtracts `time` from `at`, saturating at zero.
fn subtract(at: UnixMillis, time: Duration) -> UnixMillis {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    UnixMillis(at.0.saturating_sub(millis))
}
