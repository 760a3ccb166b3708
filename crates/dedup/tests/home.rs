//! A request under a key runs at most once, whatever happens to its home.

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

const PRINT: Fingerprint = Fingerprint(1);
const START: u64 = 10_000_000;

/// A new attempt of the agent of an upstream.
fn asker(upstream: u64) -> AttemptId {
    static ATTEMPTS: AtomicU64 = AtomicU64::new(0);
    AttemptId {
        upstream: UpstreamId(upstream),
        attempt: ATTEMPTS.fetch_add(1, Ordering::Relaxed),
    }
}

fn kept(body: &str) -> StoredAnswer {
    StoredAnswer::new(200, Vec::new(), body.to_owned().into())
}

/// A home of every key whose tenure has settled.
fn settled(settings: Settings, now: Instant) -> (Home, UnixMillis) {
    let mut home = Home::new(settings, UpstreamId(1));
    home.confirm_members(now, UnixMillis(START), &[UpstreamId(1)].into());
    (home, UnixMillis(START + 60_000))
}

/// Guards against a resend that runs again or gets another answer.
#[test]
fn a_resend_gets_what_became_of_the_first() {
    let cases = [
        (
            KeyedOutcome::Answered(kept("seat 7")),
            BeginReply::Answered(kept("seat 7")),
        ),
        (KeyedOutcome::AnswerTooLarge, BeginReply::AnswerNotKept),
        (KeyedOutcome::AnswerLost, BeginReply::AnswerLost),
        (KeyedOutcome::NotRun, BeginReply::Run),
        (
            KeyedOutcome::Answered(kept(&"x".repeat(70_000))),
            BeginReply::AnswerNotKept,
        ),
    ];
    for (end, expected) in cases {
        let now = Instant::now();
        let (mut home, date) = settled(Settings::default(), now);
        let key = IdempotencyKey::with_timestamp(date, 5);
        assert_eq!(home.begin(now, date, key, PRINT, asker(1)), BeginReply::Run);
        assert_eq!(
            home.begin(now, date, key, PRINT, asker(1)),
            BeginReply::InProgress
        );
        home.end(date, key, end.clone());
        assert_eq!(
            home.begin(now, date, key, PRINT, asker(1)),
            expected,
            "{end:?}"
        );
    }
}

/// Guards against a key that is run although its record may be gone.
#[test]
fn a_key_that_the_home_cannot_know_is_unsettled() {
    let now = Instant::now();
    let settings = Settings {
        max_records: 2,
        ..Settings::default()
    };
    let (mut home, date) = settled(settings, now);
    let at = |offset: u64| IdempotencyKey::with_timestamp(UnixMillis(date.0 + offset), 1);
    let cases = [
        (
            "drawn before the home started",
            IdempotencyKey::with_timestamp(UnixMillis(START), 1),
            BeginReply::Indeterminate,
        ),
        (
            "drawn during the handover",
            IdempotencyKey::with_timestamp(UnixMillis(START + 5_000), 1),
            BeginReply::Indeterminate,
        ),
        ("drawn ahead of the clock", at(2_001), BeginReply::InFuture),
        ("first", at(0), BeginReply::Run),
        ("second", at(1), BeginReply::Run),
        (
            "third, for which the first gives way",
            at(2),
            BeginReply::Run,
        ),
        ("first again", at(0), BeginReply::Indeterminate),
        ("second again", at(1), BeginReply::InProgress),
    ];
    for (what, key, expected) in cases {
        assert_eq!(
            home.begin(now, date, key, PRINT, asker(1)),
            expected,
            "{what}"
        );
    }
}

/// Guards against a home that goes on with an outdated membership, and against
/// a key that serves two requests.
#[test]
fn a_home_needs_a_lease_and_a_matching_request() {
    let now = Instant::now();
    let (mut home, date) = settled(Settings::default(), now);
    let key = IdempotencyKey::with_timestamp(date, 9);
    let late = now + Settings::default().lease;
    assert_eq!(
        home.begin(late, date, key, PRINT, asker(1)),
        BeginReply::NotHome
    );
    assert_eq!(
        home.begin(now, date, key, PRINT, asker(8)),
        BeginReply::NotHome
    );
    assert_eq!(home.begin(now, date, key, PRINT, asker(1)), BeginReply::Run);
    let other = Fingerprint(2);
    assert_eq!(
        home.begin(now, date, key, other, asker(1)),
        BeginReply::Mismatch
    );
}

/// Guards against a request that counts as running for ever after its agent
/// has died.
#[test]
fn requests_at_a_member_that_went_are_lost() {
    let now = Instant::now();
    let own = UpstreamId(1);
    let both: BTreeSet<_> = [own, UpstreamId(2)].into();
    let mut home = Home::new(Settings::default(), own);
    home.confirm_members(now, UnixMillis(START), &both);
    let date = UnixMillis(START + 60_000);
    let key = (0..1000)
        .map(|n| IdempotencyKey::with_timestamp(date, n))
        .find(|key| home_of(*key, &both) == Some(own));
    let key = key.unwrap();
    assert_eq!(home.begin(now, date, key, PRINT, asker(2)), BeginReply::Run);
    home.confirm_members(now, date, &[own].into());
    assert_eq!(
        home.begin(now, date, key, PRINT, asker(own.0)),
        BeginReply::AnswerLost
    );
}

/// Guards against keys that move when a member comes or goes that is not
/// their home.
#[test]
fn a_member_that_goes_moves_only_its_own_keys() {
    let members: BTreeSet<_> = (0..7).map(UpstreamId).collect();
    let mut fewer = members.clone();
    fewer.remove(&UpstreamId(3));
    let mut moved = 0;
    for n in 0..1000 {
        let key = IdempotencyKey::with_timestamp(UnixMillis(START + n), n);
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

/// One site of homes whose memberships reach them at different times.
struct Site {
    now: Instant,
    date: u64,
    /// The true members, and since when each version is published.
    published: BTreeSet<UpstreamId>,
    homes: BTreeMap<UpstreamId, Home>,
    next: u64,
    runs: BTreeMap<IdempotencyKey, u32>,
}

impl Site {
    fn new() -> Self {
        let mut site = Site {
            now: Instant::now(),
            date: START,
            published: BTreeSet::new(),
            homes: BTreeMap::new(),
            next: 0,
            runs: BTreeMap::new(),
        };
        for _ in 0..3 {
            site.join();
        }
        site.sync_all();
        site
    }

    fn date(&self) -> UnixMillis {
        UnixMillis(self.date)
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.date += millis;
    }

    fn join(&mut self) {
        self.next += 1;
        let id = UpstreamId(self.next);
        self.published.insert(id);
        let home = Home::new(Settings::default(), id);
        self.homes.insert(id, home);
    }

    /// A member learns the published membership.
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

    /// A caller sends a request with a key to every home that an agent might
    /// think of, as agents with other versions do.
    fn send(&mut self, key: IdempotencyKey) {
        let (now, date) = (self.now, self.date());
        for (&id, home) in &mut self.homes {
            if home.begin(now, date, key, PRINT, asker(id.0)) == BeginReply::Run {
                *self.runs.entry(key).or_default() += 1;
            }
        }
    }
}

/// Guards against an attempt that cannot run because the home's first answer
/// was lost.
#[test]
fn the_same_attempt_may_ask_again() {
    let now = Instant::now();
    let (mut home, date) = settled(Settings::default(), now);
    let key = IdempotencyKey::with_timestamp(date, 4);
    let first = asker(1);
    for _ in 0..2 {
        assert_eq!(home.begin(now, date, key, PRINT, first), BeginReply::Run);
    }
    assert_eq!(
        home.begin(now, date, key, PRINT, asker(1)),
        BeginReply::InProgress
    );
}

/// Guards against a home that takes over keys of a member that it has never
/// heard of, because it came and went while the home was cut off.
#[test]
fn a_home_that_was_cut_off_starts_anew() {
    let now = Instant::now();
    let (mut home, date) = settled(Settings::default(), now);
    let key = IdempotencyKey::with_timestamp(date, 3);
    let later = now + Duration::from_secs(4);
    let date = UnixMillis(date.0 + 4_000);
    home.confirm_members(later, date, &[UpstreamId(1)].into());
    assert_eq!(
        home.begin(later, date, key, PRINT, asker(1)),
        BeginReply::Indeterminate
    );
}

/// Guards against a new member that lets keys run that another one had before.
#[test]
fn a_home_that_joins_a_service_starts_anew() {
    let start = Instant::now();
    let (own, other) = (UpstreamId(1), UpstreamId(2));
    let mut home = Home::new(Settings::default(), own);
    let at = |seconds: u64| {
        let date = UnixMillis(START + 1_000 * seconds);
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
    let begin = home.begin(now, date, key.unwrap(), PRINT, asker(other.0));
    assert_eq!(begin, BeginReply::Indeterminate);
}

/// Guards against two homes that both let a key run: members join, leave, crash
/// and miss versions, and callers resend old keys.
#[test]
fn no_key_runs_twice_under_changes_of_membership() {
    for case in 0..CASES {
        arbtest(|u| {
            let mut site = Site::new();
            let mut keys = Vec::new();
            for _ in 0..u.int_in_range(5..=60)? {
                match u.int_in_range(0..=6)? {
                    0 => site.join(),
                    1 => {
                        // The member goes on with its old version until its
                        // lease ends.
                        let ids: Vec<_> = site.published.iter().copied().collect();
                        if ids.len() > 1 {
                            site.published.remove(u.choose(&ids)?);
                        }
                    }
                    2 => {
                        let ids: Vec<_> = site.homes.keys().copied().collect();
                        site.sync(*u.choose(&ids)?);
                    }
                    3 => site.pass(u.int_in_range(1..=4_000)?),
                    4 => {
                        site.sync_all();
                        site.pass(u.int_in_range(1..=10_000)?);
                        site.sync_all();
                    }
                    _ => {
                        let skew = u.int_in_range(0..=4_000)?;
                        let key = IdempotencyKey::with_timestamp(
                            UnixMillis(site.date + 2_000 - skew),
                            u.arbitrary()?,
                        );
                        keys.push(key);
                    }
                }
                for key in keys.iter().rev().take(4) {
                    site.send(*key);
                }
            }
            for (key, runs) in &site.runs {
                assert!(*runs <= 1, "key {key} ran {runs} times");
            }
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}
