//! Replies of a home, and outcomes of requests with a key.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// An answer that is stored for retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Status of the answer.
    pub status: u16,
    /// Header fields of the answer.
    pub fields: Vec<(Bytes, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Creates an answer with its whole body.
    #[must_use]
    pub fn new(status: u16, fields: Vec<(Bytes, Bytes)>, body: Bytes) -> Self {
        StoredAnswer {
            status,
            fields,
            body,
        }
    }

    /// Approximate size of the answer in memory, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let fields = self.fields.iter();
        let fields: usize = fields.map(|(name, value)| name.len() + value.len()).sum();
        fields + self.body.len()
    }
}

/// Reply of a key's home to an agent that asks to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginReply {
    /// No request with the key has run: run it and report its outcome.
    Run,
    /// A request with the key has run; carries its answer.
    Answered(StoredAnswer),
    /// A request with the key has run; its answer is not stored.
    #[serde(rename = "Ran")]
    AnswerNotKept,
    /// A request with the key is running.
    InProgress,
    /// A request with the key may have run: its answer was lost.
    #[serde(rename = "Lost")]
    AnswerLost,
    /// The home cannot determine whether a request with the key has run.
    #[serde(rename = "Unsettled")]
    Indeterminate,
    /// The key was used for another request.
    Mismatch,
    /// The timestamp of the key is ahead of the home's clock by more than
    /// `max_clock_skew`.
    InFuture,
    /// This agent is not the key's home, or its membership may be outdated. No
    /// record was made.
    NotHome,
}

/// Outcome of a request that was permitted under a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyedOutcome {
    /// The whole answer was received.
    Answered(StoredAnswer),
    /// The whole answer was received but is too large to be stored.
    #[serde(rename = "Large")]
    AnswerTooLarge,
    /// The request did not start: the key may be used again.
    NotRun,
    /// The answer was lost.
    #[serde(rename = "Lost")]
    AnswerLost,
}
