//! Keeps the result of a non-idempotent request under its idempotency key.
//!
//! A caller that lost an answer sends the request again with the same key. One
//! agent of the service, the key's home, keeps what became of the key; all
//! agents find it by [`home_of`]. The home lets a request run only if it can
//! exclude that another one with the key has run, and never guesses: a home
//! that lost its records, or took a key over from another, answers
//! [`BeginReply::Indeterminate`] for keys that are too old for it to know.
//!
//! Keys are version 7 UUIDs, whose time stamp tells their age. That is what
//! makes a lost record safe: a key that is younger than the home's tenure
//! cannot have been seen by an earlier home.
//!
//! - [`process`]: [`Home`] with its settings;
//! - [`version`]: which member of the service is a key's home;
//! - [`request`]: keys, and what is kept under them.
//!
//! ```
//! use dedup::{AttemptId, BeginReply, KeyedOutcome, Fingerprint, Home, StoredAnswer, IdempotencyKey, Settings};
//! use std::time::Instant;
//! use types::{UnixMillis, UpstreamId};
//!
//! let start = Instant::now();
//! let mut home = Home::new(Settings::default(), UpstreamId(1));
//! home.confirm_members(start, UnixMillis(1_000_000), &[UpstreamId(1)].into());
//!
//! // A key that was drawn after the home's tenure had settled.
//! let now = UnixMillis(1_000_000 + 60_000);
//! let key = IdempotencyKey::with_timestamp(now, 7);
//! let print = Fingerprint(42);
//! let first = AttemptId { upstream: UpstreamId(1), attempt: 1 };
//! assert_eq!(home.begin(start, now, key, print, first), BeginReply::Run);
//! let answer = StoredAnswer::new(200, Vec::new(), "ok".into());
//! home.end(now, key, KeyedOutcome::Answered(answer.clone()));
//! let resend = AttemptId { upstream: UpstreamId(1), attempt: 2 };
//! assert_eq!(home.begin(start, now, key, print, resend), BeginReply::Answered(answer));
//! ```

pub mod process;
pub mod request;
pub mod version;

pub use process::{Home, Settings};
pub use request::{
    AttemptId, BeginReply, Fingerprint, IdempotencyKey, InvalidKey, KeyedOutcome, StoredAnswer,
};
pub use version::home_of;
