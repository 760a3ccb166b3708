//! Stores the answers of non-idempotent requests under their idempotency keys.
//!
//! A caller that lost an answer sends the request again with the same key. One
//! agent of the service, the key's home, stores the record of the key; all
//! agents compute the home with [`home_of`]. The home permits a request only if
//! no other request with the key can have run. A home that lost its records, or
//! took a key over from another home, answers [`BeginReply::Indeterminate`] for
//! keys that are older than its tenure.
//!
//! Keys are version 7 UUIDs, whose timestamp gives their age. This makes the
//! loss of records safe: an earlier home cannot have seen a key that was
//! generated during the tenure of the present home.
//!
//! - [`process`]: [`Home`] with its settings;
//! - [`version`]: the choice of a key's home among the members of the service;
//! - [`request`]: keys, and the records stored under them.
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
//! // A key that was generated after the handover time of the home.
//! let now = UnixMillis(1_000_000 + 60_000);
//! let key = IdempotencyKey::with_timestamp(now, 7);
//! let fingerprint = Fingerprint(42);
//! let first = AttemptId { upstream: UpstreamId(1), attempt: 1 };
//! assert_eq!(home.begin(start, now, key, fingerprint, first), BeginReply::Run);
//! let answer = StoredAnswer::new(200, Vec::new(), "ok".into());
//! home.end(now, key, KeyedOutcome::Answered(answer.clone()));
//! let retry = AttemptId { upstream: UpstreamId(1), attempt: 2 };
//! assert_eq!(home.begin(start, now, key, fingerprint, retry), BeginReply::Answered(answer));
//! ```

pub mod process;
pub mod request;
pub mod version;

pub use process::{Home, Settings};
pub use request::{
    AttemptId, BeginReply, Fingerprint, IdempotencyKey, InvalidKey, KeyedOutcome, StoredAnswer,
};
pub use version::home_of;
