//! What is kept under a key.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// An answer that is kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Status of the answer.
    pub status: u16,
    /// Header fields of the answer.
    pub fields: Vec<(Bytes, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

impl Kept {
    /// An answer with its whole body.
    #[must_use]
    pub fn new(status: u16, fields: Vec<(Bytes, Bytes)>, body: Bytes) -> Self {
        Kept {
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
pub enum Begin {
    /// No request with the key has run: run it and report its end.
    Run,
    /// A request with the key has run and this was its answer.
    Answered(Kept),
    /// A request with the key has run; its answer is not kept.
    Ran,
    /// A request with the key is running.
    InProgress,
    /// A request with the key may have run: its answer was lost.
    Lost,
    /// The home cannot know whether a request with the key has run.
    Unsettled,
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
pub enum End {
    /// The whole answer came.
    Answered(Kept),
    /// The whole answer came but is too large to be kept.
    Large,
    /// The request certainly did not start: the key may be used again.
    NotRun,
    /// The answer was lost.
    Lost,
}
