//! The permission of a key's home to run a request.

use dedup::{IdempotencyKey, KeyedOutcome};
use types::UpstreamId;
use wire::request::EndRequest;

use crate::process::{IdempotencyCommand, IdempotencyHandle};

/// The permission of a key's home to run a request.
///
/// The home hears the end that was noted last when the permit is dropped, so a
/// request that is dropped at any moment is reported.
#[derive(Debug)]
pub struct KeyPermit {
    key: IdempotencyKey,
    home: UpstreamId,
    end: KeyedOutcome,
    keys: IdempotencyHandle,
}

impl KeyPermit {
    /// A permit of a request that was not sent anywhere yet.
    #[must_use]
    pub fn new(key: IdempotencyKey, home: UpstreamId, keys: IdempotencyHandle) -> Self {
        KeyPermit {
            key,
            home,
            end: KeyedOutcome::NotRun,
            keys,
        }
    }

    /// Notes how far the request has come.
    pub fn set_end(&mut self, end: KeyedOutcome) {
        self.end = end;
    }
}

impl Drop for KeyPermit {
    fn drop(&mut self) {
        self.keys.send(IdempotencyCommand::ReportEnd(EndRequest {
            home: self.home,
            key: self.key,
            end: self.end.clone(),
        }));
    }
}
