//! Encoding of the state as a snapshot.

use std::io::{Read, Write};

use super::ConfigState;
use crate::error::{ErrorKind, Result};

/// Format version of the snapshots that this build writes and reads.
pub const SNAPSHOT_FORMAT: u32 = 2;

impl ConfigState {
    /// Writes the state as a snapshot. Equal states give equal bytes.
    ///
    /// # Errors
    ///
    /// The writer failed.
    ///
    /// ```
    /// let state = config::ConfigState::default();
    /// let mut bytes = Vec::new();
    /// state.encode(&mut bytes)?;
    /// assert_eq!(config::ConfigState::decode(&bytes[..])?, state);
    /// # Ok::<(), config::Error>(())
    /// ```
    pub fn encode<W: Write>(&self, mut w: W) -> Result<()> {
        rmp_serde::encode::write(&mut w, &SNAPSHOT_FORMAT)?;
        rmp_serde::encode::write(&mut w, self)?;
        Ok(())
    }

    /// Reads a snapshot written by [`encode`](ConfigState::encode).
    ///
    /// # Errors
    ///
    /// The reader failed, the data cannot be decoded, or its format version is
    /// not [`SNAPSHOT_FORMAT`].
    pub fn decode<R: Read>(mut r: R) -> Result<Self> {
        let found: u32 = rmp_serde::decode::from_read(&mut r)?;
        if found != SNAPSHOT_FORMAT {
            let supported = SNAPSHOT_FORMAT;
            return Err(ErrorKind::Format { found, supported }.into());
        }
        Ok(rmp_serde::decode::from_read(&mut r)?)
    }
}
