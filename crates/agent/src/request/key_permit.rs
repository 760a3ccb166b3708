//! The grant of a key's home to run a request.

use dedup::{IdempotencyKey, KeyedOutcome};
use types::UpstreamId;
use wire::request::EndRequest;

use crate::process::{IdempotencyCommand, IdempotencyHandle};

/// The grant of a key's home to run a request with this key.
///
/// On drop it reports the outcome that was set last to the home, so a request
/// that is dropped at any point is reported.
#[derive(Debug)]
pub struct KeyPermit {
    key: IdempotencyKey,
    home: UpstreamId,
    end: KeyedOutcome,
    idempotency: IdempotencyHandle,
}

impl KeyPermit {
    /// Creates a permit for a request that has not been sent yet.
    #[must_use]
    pub fn new(key: IdempotencyKey, home: UpstreamId, idempotency: IdempotencyHandle) -> Self {
        KeyPermit {
            key,
            home,
            end: KeyedOutcome::NotRun,
            idempotency,
        }
    }

    /// Sets the outcome to report on drop.
    pub fn set_end(&mut self, end: KeyedOutcome) {
        self.end = end;
    }
}

impl Drop for KeyPermit {
    fn drop(&mut self) {
        self.idempotency
            .send(IdempotencyCommand::ReportEnd(EndRequest {
                home: self.home,
                key: self.key,
                end: self.end.clone(),
            }));
    }
}
