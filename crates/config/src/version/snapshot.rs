//! The state as bytes.

use std::io::{Read, Write};

use super::ConfigState;
use crate::error::{ErrorKind, Result};

/// Format of the snapshots that this build writes and reads.
pub const SNAPSHOT_FORMAT: u32 = 2;

impl ConfigState {
    /// Writes the whole state. Equal states give equal bytes.
    ///
    /// # Errors
    ///
    /// Fails when the writer does.
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

    /// Reads a state that [`encode`](ConfigState::encode) wrote.
    ///
    /// # Errors
    ///
    /// Fails when the reader does, when the bytes are no snapshot and when
    /// their format is not [`SNAPSHOT_FORMAT`].
    pub fn decode<R: Read>(mut r: R) -> Result<Self> {
        let found: u32 = rmp_serde::decode::from_read(&mut r)?;
        if found != SNAPSHOT_FORMAT {
            let known = SNAPSHOT_FORMAT;
            return Err(ErrorKind::Format { found, known }.into());
        }
        Ok(rmp_serde::decode::from_read(&mut r)?)
    }
}
