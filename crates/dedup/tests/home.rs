//! A request with a key runs at most once, also when its home changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use arbtest::arbtest;
use dedup::{
    AttemptId, BeginReply, Fingerprint, Home, IdempotencyKey, KeyedOutcome, Settings, StoredAnswer,
    home_of,
};
use types::{UnixMillis, UpstreamId};

/// Number of random cases of each property; the case number is the seed.
const CASES: u64 = 400;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 2048;

const FINGERPRINT: Fingerprint = Fingerprint(1);
const START_MILLIS: u64 = 10_000_000;

/// Returns a new attempt of the agent of an upstream.
fn new_attempt(upstream: u64) -> AttemptId {
    static ATTEMPTS: AtomicU64 = AtomicU64::new(0);
    AttemptId {
        upstream: UpstreamId(upstream),
        attempt: ATTEMPTS.fetch_add(1, Ordering::Relaxed),
    }
}

fn stored_answer(body: &str) -> StoredAnswer {
    StoredAnswer::new(200, Vec::new(), body.to_owned().into())
}

/// Returns a home of every key, and a time after its handover time.
fn settled_home(settings: Settings, now: Instant) -> (Home, UnixMillis) {
    let mut home = Home::new(settings, UpstreamId(1));
    home.confirm_members(now, UnixMillis(START_MILLIS), &[UpstreamId(1)].into());
    (home, UnixMillis(START_MILLIS + 60_000))
}

/// Guards against a retry that runs again or gets another answer.
#[test]
fn a_retry_gets_the_outcome_of_the_first_attempt() {
    let cases = [
        (
            KeyedOutcome::Answered(stored_answer("seat 7")),
            BeginReply::Answered(stored_answer("seat 7")),
        ),
        (KeyedOutcome::AnswerTooLarge, BeginReply::AnswerNotKept),
        (KeyedOutcome::AnswerLost, BeginReply::AnswerLost),
        (KeyedOutcome::NotRun, BeginReply::Run),
        (
            KeyedOutcome::Answered(stored_answer(&"x".repeat(70_000))),
            BeginReply::AnswerNotKept,
        ),
    ];
    for (end, expected) in cases {
        let now = Instant::now();
        let (mut home, date) = settled_home(Settings::default(), now);
        let key = IdempotencyKey::with_timestamp(date, 5);
        assert_eq!(
            home.begin(now, date, key, FINGERPRINT, new_attempt(1)),
            BeginReply::Run
        );
        assert_eq!(
            home.begin(now, date, key, FINGERPRINT, new_attempt(1)),
            BeginReply::InProgress
        );
        home.end(date, key, end.clone());
        assert_eq!(
            home.begin(now, date, key, FINGERPRINT, new_attempt(1)),
            expected,
            "{end:?}"
        );
    }
}

/// Guards against a key that runs although its record may be lost.
#[test]
fn a_key_that_may_have_lost_its_record_is_indeterminate() {
    let now = Instant::now();
    let settings = Settings {
        max_records: 2,
        ..Settings::default()
    };
    let (mut home, date) = settled_home(settings, now);
    let at = |offset: u64| IdempotencyKey::with_timestamp(UnixMillis(date.0 + offset), 1);
    let cases = [
        (
            "generated before the home started",
            IdempotencyKey::with_timestamp(UnixMillis(START_MILLIS), 1),
            BeginReply::Indeterminate,
        ),
        (
            "generated during the handover time",
            IdempotencyKey::with_timestamp(UnixMillis(START_MILLIS + 5_000), 1),
            BeginReply::Indeterminate,
        ),
        (
            "generated ahead of the clock",
            at(2_001),
            BeginReply::InFuture,
        ),
        ("first", at(0), BeginReply::Run),
        ("second", at(1), BeginReply::Run),
        ("third, which evicts the first", at(2), BeginReply::Run),
        ("first again", at(0), BeginReply::Indeterminate),
        ("second again", at(1), BeginReply::InProgress),
    ];
    for (what, key, expected) in cases {
        assert_eq!(
            home.begin(now, date, key, FINGERPRINT, new_attempt(1)),
            expected,
            "{what}"
        );
    }
}

/// Guards against a home that uses an outdated membership, and against a key
/// that is used for two requests.
#[test]
fn a_home_needs_a_lease_and_a_matching_request() {
    let now = Instant::now();
    let (mut home, date) = settled_home(Settings::default(), now);
    let key = IdempotencyKey::with_timestamp(date, 9);
    let late = now + Settings::default().lease;
    assert_eq!(
        home.begin(late, date, key, FINGERPRINT, new_attempt(1)),
        BeginReply::NotHome
    );
    assert_eq!(
        home.begin(now, date, key, FINGERPRINT, new_attempt(8)),
        BeginReply::NotHome
    );
    assert_eq!(
        home.begin(now, date, key, FINGERPRINT, new_attempt(1)),
        BeginReply::Run
    );
    let other = Fingerprint(2);
    assert_eq!(
        home.begin(now, date, key, other, new_attempt(1)),
        BeginReply::Mismatch
    );
}

/// Guards against a request that stays in progress after its agent has crashed.
#[test]
fn requests_at_a_removed_member_are_lost() {
    let now = Instant::now();
    let own = UpstreamId(1);
    let both: BTreeSet<_> = [own, UpstreamId(2)].into();
    let mut home = Home::new(Settings::default(), own);
    home.confirm_members(now, UnixMillis(START_MILLIS), &both);
    let date = UnixMillis(START_MILLIS + 60_000);
    let key = (0..1000)
        .map(|n| IdempotencyKey::with_timestamp(date, n))
        .find(|key| home_of(*key, &both) == Some(own));
    let key = key.unwrap();
    assert_eq!(
        home.begin(now, date, key, FINGERPRINT, new_attempt(2)),
        BeginReply::Run
    );
    home.confirm_members(now, date, &[own].into());
    assert_eq!(
        home.begin(now, date, key, FINGERPRINT, new_attempt(own.0)),
        BeginReply::AnswerLost
    );
}

/// Guards against keys that move when a member leaves that is not their home.
#[test]
fn a_member_that_leaves_moves_only_its_own_keys() {
    let members: BTreeSet<_> = (0..7).map(UpstreamId).collect();
    let mut fewer = members.clone();
    fewer.remove(&UpstreamId(3));
    let mut moved = 0;
    for n in 0..1000 {
        let key = IdempotencyKey::with_timestamp(UnixMillis(START_MILLIS + n), n);
        let home = home_of(key, &members).unwrap();
        if home == UpstreamId(3) {
            moved += 1;
        } else {
            assert_eq!(home_of(key, &fewer), Some(home));
        }
    }
    assert!(
        (80..220).contains(&moved),
        "{moved} of 1000 keys at one of 7"
    );
}

/// Homes of one service that receive membership versions at different times.
struct Cluster {
    now: Instant,
    date: u64,
    /// Members in the latest published version.
    published: BTreeSet<UpstreamId>,
    homes: BTreeMap<UpstreamId, Home>,
    next_id: u64,
    runs: BTreeMap<IdempotencyKey, u32>,
}

impl Cluster {
    fn new() -> Self {
        let mut cluster = Cluster {
            now: Instant::now(),
            date: START_MILLIS,
            published: BTreeSet::new(),
            homes: BTreeMap::new(),
            next_id: 0,
            runs: BTreeMap::new(),
        };
        for _ in 0..3 {
            cluster.join();
        }
        cluster.sync_all();
        cluster
    }

    fn date(&self) -> UnixMillis {
        UnixMillis(self.date)
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.date += millis;
    }

    fn join(&mut self) {
        self.next_id += 1;
        let id = UpstreamId(self.next_id);
        self.published.insert(id);
        let home = Home::new(Settings::default(), id);
        self.homes.insert(id, home);
    }

    /// Applies the published membership at a member.
    fn sync(&mut self, id: UpstreamId) {
        let (now, date) = (self.now, self.date());
        if let Some(home) = self.homes.get_mut(&id)
            && self.published.contains(&id)
        {
            home.confirm_members(now, date, &self.published);
        }
    }

    fn sync_all(&mut self) {
        let ids: Vec<_> = self.homes.keys().copied().collect();
        for id in ids {
            self.sync(id);
        }
    }

    /// Sends a request with a key to every home, as agents with different
    /// membership versions do.
    fn send(&mut self, key: IdempotencyKey) {
        let (now, date) = (self.now, self.date());
        for (&id, home) in &mut self.homes {
            if home.begin(now, date, key, FINGERPRINT, new_attempt(id.0)) == BeginReply::Run {
                *self.runs.entry(key).or_default() += 1;
            }
        }
    }
}

/// Guards against an attempt that cannot run because the first reply of the
/// home was lost.
#[test]
fn the_same_attempt_may_ask_again() {
    let now = Instant::now();
    let (mut home, date) = settled_home(Settings::default(), now);
    let key = IdempotencyKey::with_timestamp(date, 4);
    let first = new_attempt(1);
    for _ in 0..2 {
        assert_eq!(
            home.begin(now, date, key, FINGERPRINT, first),
            BeginReply::Run
        );
    }
    assert_eq!(
        home.begin(now, date, key, FINGERPRINT, new_attempt(1)),
        BeginReply::InProgress
    );
}

/// Guards against a home that takes over keys of a member that joined and left
/// while the home was disconnected.
#[test]
fn a_home_that_was_disconnected_starts_a_new_tenure() {
    let now = Instant::now();
    let (mut home, date) = settled_home(Settings::default(), now);
    let key = IdempotencyKey::with_timestamp(date, 3);
    let later = now + Duration::from_secs(4);
    let date = UnixMillis(date.0 + 4_000);
    home.confirm_members(later, date, &[UpstreamId(1)].into());
    assert_eq!(
        home.begin(later, date, key, FINGERPRINT, new_attempt(1)),
        BeginReply::Indeterminate
    );
}

/// Guards against a new member that permits keys that had another home before.
#[test]
fn a_home_that_joins_a_service_starts_a_new_tenure() {
    let start = Instant::now();
    let (own, other) = (UpstreamId(1), UpstreamId(2));
    let mut home = Home::new(Settings::default(), own);
    let at = |seconds: u64| {
        let date = UnixMillis(START_MILLIS + 1_000 * seconds);
        (start + Duration::from_secs(seconds), date)
    };
    for seconds in 0..20 {
        let (now, date) = at(seconds);
        home.confirm_members(now, date, &[other].into());
    }
    let (now, date) = at(20);
    let both = [own, other].into();
    home.confirm_members(now, date, &both);
    let key = (0..1000)
        .map(|n| IdempotencyKey::with_timestamp(date, n))
        .find(|key| home_of(*key, &both) == Some(own));
    let begin = home.begin(now, date, key.unwrap(), FINGERPRINT, new_attempt(other.0));
    assert_eq!(begin, BeginReply::Indeterminate);
}

/// Guards against two homes that both permit a key while members join, leave,
/// crash and miss versions, and callers retry with old keys.
#[test]
fn no_key_runs_twice_under_changes_of_membership() {
    for case in 0..CASES {
        arbtest(|u| {
            let mut cluster = Cluster::new();
            let mut keys = Vec::new();
            for _ in 0..u.int_in_range(5..=60)? {
                match u.int_in_range(0..=6)? {
                    0 => cluster.join(),
                    1 => {
                        // The member uses its old version until its lease
                        // expires.
                        let ids: Vec<_> = cluster.published.iter().copied().collect();
                        if ids.len() > 1 {
                            cluster.published.remove(u.choose(&ids)?);
                        }
                    }
                    2 => {
                        let ids: Vec<_> = cluster.homes.keys().copied().collect();
                        cluster.sync(*u.choose(&ids)?);
                    }
                    3 => cluster.advance(u.int_in_range(1..=4_000)?),
                    4 => {
                        cluster.sync_all();
                        cluster.advance(u.int_in_range(1..=10_000)?);
                        cluster.sync_all();
                    }
                    _ => {
                        let skew = u.int_in_range(0..=4_000)?;
                        let key = IdempotencyKey::with_timestamp(
                            UnixMillis(cluster.date + 2_000 - skew),
                            u.arbitrary()?,
                        );
                        keys.push(key);
                    }
                }
                for key in keys.iter().rev().take(4) {
                    cluster.send(*key);
                }
            }
            for (key, runs) in &cluster.runs {
                assert!(*runs <= 1, "key {key} ran {runs} times");
            }
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}
