//! What is kept under a key.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// An answer that is kept for resends.
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
    /// An answer with its whole body.
    #[must_use]
    pub fn new(status: u16, fields: Vec<(Bytes, Bytes)>, body: Bytes) -> Self {
        StoredAnswer {
            status,
            fields,
            body,
        }
    }

    /// Bytes that the answer takes in memory, roughly.
    #[must_use]
    pub fn size(&self) -> usize {
        let fields = self.fields.iter();
        let fields: usize = fields.map(|(name, value)| name.len() + value.len()).sum();
        fields + self.body.len()
    }
}

/// Answer of the home to an agent that wants to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginReply {
    /// No request with the key has run: run it and report its end.
    Run,
    /// A request with the key has run and this was its answer.
    Answered(StoredAnswer),
    /// A request with the key has run; its answer is not kept.
    #[serde(rename = "Ran")]
    AnswerNotKept,
    /// A request with the key is running.
    InProgress,
    /// A request with the key may have run: its answer was lost.
    #[serde(rename = "Lost")]
    AnswerLost,
    /// The home cannot know whether a request with the key has run.
    #[serde(rename = "Unsettled")]
    Indeterminate,
    /// The key was used for another request.
    Mismatch,
    /// The key's date is ahead of the home's clock.
    InFuture,
    /// This agent is not the key's home, or not for certain. Nothing was
    /// noted.
    NotHome,
}

/// How a request that ran under a key ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyedOutcome {
    /// The whole answer came.
    Answered(StoredAnswer),
    /// The whole answer came but is too large to be kept.
    #[serde(rename = "Large")]
    AnswerTooLarge,
    /// The request certainly did not start: the key may be used again.
    NotRun,
    /// The answer was lost.
    #[serde(rename = "Lost")]
    AnswerLost,
}
