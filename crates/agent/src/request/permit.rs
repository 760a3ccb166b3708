//! The permission of a key's home to run a request.

use dedup::{IdempotencyKey, KeyedOutcome};
use types::UpstreamId;
use wire::request::EndRequest;

use crate::process::{KeysCommand, KeysHandle};

/// The permission of a key's home to run a request.
///
/// The home hears the end that was noted last when the permit is dropped, so a
/// request that is dropped at any moment is reported.
#[derive(Debug)]
pub struct Permit {
    key: IdempotencyKey,
    home: UpstreamId,
    end: KeyedOutcome,
    keys: KeysHandle,
}

impl Permit {
    /// A permit of a request that was not sent anywhere yet.
    #[must_use]
    pub fn new(key: IdempotencyKey, home: UpstreamId, keys: KeysHandle) -> Self {
        Permit {
            key,
            home,
            end: KeyedOutcome::NotRun,
            keys,
        }
    }

    /// Notes how far the request has come.
    pub fn note(&mut self, end: KeyedOutcome) {
        self.end = end;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.keys.send(KeysCommand::Report(EndRequest {
            home: self.home,
            key: self.key,
            end: self.end.clone(),
        }));
    }
}
