//! Idempotency keys, and the outcomes stored under them.

mod key;
mod result;

pub use key::{AttemptId, Fingerprint, IdempotencyKey, InvalidKey};
pub use result::{BeginReply, KeyedOutcome, StoredAnswer};
