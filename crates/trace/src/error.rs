//! Errors of this crate.

use std::io;

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A log source cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("cannot read {source_name}: {source}")]
pub struct Error {
    /// Name of the log source.
    pub source_name: String,
    /// Cause of the failure.
    pub source: io::Error,
}
