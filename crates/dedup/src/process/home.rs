//! The home of keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use types::{UnixMillis, UpstreamId};

use super::Settings;
use crate::{
    AttemptId, BeginReply, Fingerprint, IdempotencyKey, KeyedOutcome, StoredAnswer, home_of,
    version::claim,
};

/// What became of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// This attempt runs.
    Running(AttemptId),
    Answered(StoredAnswer),
    Ran,
    Lost,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Record {
    fingerprint: Fingerprint,
    state: State,
}

impl Record {
    fn size(&self) -> usize {
        match &self.state {
            State::Answered(kept) => kept.size(),
            _ => 0,
        }
    }
}

/// Keeps what became of the keys whose home this agent is.
#[derive(Debug, Clone)]
pub struct Home {
    settings: Settings,
    own: UpstreamId,
    members: BTreeSet<UpstreamId>,
    /// Members that went, each with the date up to which it may have been a
    /// home. Older ones than `retention` are forgotten.
    departed: BTreeMap<UpstreamId, UnixMillis>,
    /// Keys up to this date may have had another home, or a record that gave
    /// way. Only rises.
    floor: UnixMillis,
    /// Whether the membership may be outdated after this instant.
    confirmed_until: Option<Instant>,
    /// Ordered by date, because keys begin with it.
    records: BTreeMap<IdempotencyKey, Record>,
    /// Sum of the records' sizes.
    bytes: usize,
}

impl Home {
    /// A home without records at the start of an agent.
    #[must_use]
    pub fn new(settings: Settings, own: UpstreamId) -> Self {
        Home {
            floor: UnixMillis::default(),
            settings,
            own,
            members: BTreeSet::new(),
            departed: BTreeMap::new(),
            confirmed_until: None,
            records: BTreeMap::new(),
            bytes: 0,
        }
    }

    /// Takes the members of the service that an exchange with the control group
    /// has confirmed; it began at `began`. Requests that ran at a member that
    /// went are lost.
    pub fn confirm_members(
        &mut self,
        began: Instant,
        date: UnixMillis,
        members: &BTreeSet<UpstreamId>,
    ) {
        if self.may_have_missed_a_home(began, members) {
            self.floor = self.floor.max(date.plus(self.settings.handover()));
        }
        let until = began + self.settings.lease;
        self.confirmed_until = self.confirmed_until.max(Some(until));
        if self.members != *members {
            self.take_members(date, members);
        }
    }

    /// Whether keys of this home may have had another one that this agent has
    /// never heard of. Within one lease that is impossible, because a new home
    /// lets nothing run before the longer handover has passed.
    fn may_have_missed_a_home(&self, began: Instant, members: &BTreeSet<UpstreamId>) -> bool {
        let lapsed = self.confirmed_until.is_none_or(|until| until < began);
        let joined = members.contains(&self.own) && !self.members.contains(&self.own);
        lapsed || joined
    }

    fn take_members(&mut self, date: UnixMillis, members: &BTreeSet<UpstreamId>) {
        let until = date.plus(self.settings.handover());
        for &gone in self.members.difference(members) {
            self.departed.insert(gone, until);
        }
        for member in members {
            self.departed.remove(member);
        }
        let oldest = minus(date, self.settings.retention);
        self.departed.retain(|_, until| *until > oldest);
        for record in self.records.values_mut() {
            if matches!(record.state, State::Running(at) if !members.contains(&at.upstream)) {
                record.state = State::Lost;
            }
        }
        self.members.clone_from(members);
    }

    /// Decides whether an attempt may run.
    pub fn begin(
        &mut self,
        now: Instant,
        date: UnixMillis,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        from: AttemptId,
    ) -> BeginReply {
        if !self.is_home(now, key) || !self.members.contains(&from.upstream) {
            return BeginReply::NotHome;
        }
        self.expire(date);
        if let Some(record) = self.records.get(&key) {
            return known(record, fingerprint, from);
        }
        if key.timestamp() > date.plus(self.settings.max_clock_skew) {
            return BeginReply::InFuture;
        }
        if key.timestamp() <= self.unsettled_until(date, key) {
            return BeginReply::Indeterminate;
        }
        let record = Record {
            fingerprint,
            state: State::Running(from),
        };
        self.records.insert(key, record);
        self.make_room();
        BeginReply::Run
    }

    /// Notes how a request that was let run has ended.
    pub fn end(&mut self, date: UnixMillis, key: IdempotencyKey, end: KeyedOutcome) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if !matches!(record.state, State::Running(_) | State::Lost) {
            return;
        }
        record.state = match end {
            KeyedOutcome::Answered(kept) if kept.size() <= self.settings.max_answer_bytes => {
                State::Answered(kept)
            }
            KeyedOutcome::Answered(_) | KeyedOutcome::AnswerTooLarge => State::Ran,
            KeyedOutcome::AnswerLost => State::Lost,
            KeyedOutcome::NotRun => {
                self.records.remove(&key);
                return;
            }
        };
        self.bytes += record.size();
        self.expire(date);
        self.make_room();
    }

    /// Number of records and bytes of kept answers.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        (self.records.len(), self.bytes)
    }

    /// Whether this agent is the home of a key by a membership that cannot be
    /// outdated.
    fn is_home(&self, now: Instant, key: IdempotencyKey) -> bool {
        let confirmed = self.confirmed_until.is_some_and(|until| now < until);
        confirmed && home_of(key, &self.members) == Some(self.own)
    }

    /// Keys up to this date may have had another home.
    fn unsettled_until(&self, date: UnixMillis, key: IdempotencyKey) -> UnixMillis {
        let own = claim(key, self.own);
        let former = self.departed.iter();
        let former = former.filter(|(member, _)| claim(key, **member) > own);
        let oldest = minus(date, self.settings.retention);
        former
            .map(|(_, until)| *until)
            .chain([self.floor, oldest])
            .max()
            .unwrap_or_default()
    }

    /// Forgets records that are older than they are kept.
    fn expire(&mut self, date: UnixMillis) {
        let oldest = minus(date, self.settings.retention);
        while let Some((&key, _)) = self.records.first_key_value()
            && key.timestamp() <= oldest
        {
            self.forget(key);
        }
    }

    /// Lets the oldest records give way.
    fn make_room(&mut self) {
        while self.records.len() > self.settings.max_records
            || self.bytes > self.settings.max_stored_bytes
        {
            let Some((&key, _)) = self.records.first_key_value() else {
                return;
            };
            self.forget(key);
        }
    }

    /// Forgets a record. Its key and all older ones are unsettled from then on.
    fn forget(&mut self, key: IdempotencyKey) {
        if let Some(record) = self.records.remove(&key) {
            self.bytes -= record.size();
        }
        self.floor = self.floor.max(key.timestamp());
    }
}

fn known(record: &Record, fingerprint: Fingerprint, from: AttemptId) -> BeginReply {
    if record.fingerprint != fingerprint {
        return BeginReply::Mismatch;
    }
    match &record.state {
        State::Running(at) if *at == from => BeginReply::Run,
        State::Running(_) => BeginReply::InProgress,
        State::Answered(kept) => BeginReply::Answered(kept.clone()),
        State::Ran => BeginReply::AnswerNotKept,
        State::Lost => BeginReply::AnswerLost,
    }
}

/// The instant `time` before `at`.
fn minus(at: UnixMillis, time: Duration) -> UnixMillis {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    UnixMillis(at.0.saturating_sub(millis))
}
