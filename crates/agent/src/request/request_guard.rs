//! The slot that a request holds.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use admit::RequestOutcome;
use types::RequestId;

use crate::process::{AdmissionCommand, AdmissionHandle};

/// Gives each request of the process a number.
#[derive(Debug, Clone, Default)]
pub struct RequestIdGenerator {
    next: Arc<AtomicU64>,
}

impl RequestIdGenerator {
    /// The next number.
    #[must_use]
    pub fn next(&self) -> RequestId {
        RequestId(self.next.fetch_add(1, Ordering::Relaxed))
    }
}

/// Gives back whatever the admission granted to a request when it is dropped.
///
/// It exists before the admission is asked, so a request that is dropped at
/// any moment leaves no slot behind.
#[derive(Debug)]
pub struct RequestGuard {
    id: RequestId,
    /// How the request ended; none while it waits, or if it was cancelled.
    outcome: Option<RequestOutcome>,
    admission: AdmissionHandle,
}

impl RequestGuard {
    /// Creates the guard of a request.
    #[must_use]
    pub fn new(id: RequestId, admission: AdmissionHandle) -> Self {
        RequestGuard {
            id,
            outcome: None,
            admission,
        }
    }

    /// Sets how the request ended.
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
