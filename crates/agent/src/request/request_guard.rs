//! Releases the slot of a request when the request ends.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use admit::RequestOutcome;
use types::RequestId;

use crate::process::{AdmissionCommand, AdmissionHandle};

/// Generates request ids that are unique within the process.
#[derive(Debug, Clone, Default)]
pub struct RequestIdGenerator {
    next: Arc<AtomicU64>,
}

impl RequestIdGenerator {
    /// Returns the next id.
    #[must_use]
    pub fn next(&self) -> RequestId {
        RequestId(self.next.fetch_add(1, Ordering::Relaxed))
    }
}

/// Releases whatever admission granted to a request when it is dropped.
///
/// It is created before the request is submitted to admission, so a request
/// that is dropped at any point leaks no slot.
#[derive(Debug)]
pub struct RequestGuard {
    id: RequestId,
    /// How the request ended; `None` while it is queued or if it was cancelled.
    outcome: Option<RequestOutcome>,
    admission: AdmissionHandle,
}

impl RequestGuard {
    /// Creates the guard of the request `id`.
    #[must_use]
    pub fn new(id: RequestId, admission: AdmissionHandle) -> Self {
        RequestGuard {
            id,
            outcome: None,
            admission,
        }
    }

    /// Sets the outcome to report on drop.
    pub fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.admission.send(match self.outcome {
            Some(outcome) => AdmissionCommand::Finish(self.id, outcome),
            None => AdmissionCommand::Cancel(self.id),
        });
    }
}
