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
pub struct RequestIds {
    next: Arc<AtomicU64>,
}

impl RequestIds {
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
pub struct Slot {
    id: RequestId,
    /// How the request ended; none while it waits, or if it was cancelled.
    outcome: Option<RequestOutcome>,
    admission: AdmissionHandle,
}

impl Slot {
    /// Creates the guard of a request.
    #[must_use]
    pub fn new(id: RequestId, admission: AdmissionHandle) -> Self {
        Slot {
            id,
            outcome: None,
            admission,
        }
    }

    /// Sets how the request ended.
    pub fn set(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.send(match self.outcome {
            Some(outcome) => AdmissionCommand::Finish(self.id, outcome),
            None => AdmissionCommand::Cancel(self.id),
        });
    }
}
