//! The error of this crate.

use std::io;

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The lines of a source cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("cannot read {source_name}: {source}")]
pub struct Error {
    /// Name of the source.
    pub source_name: String,
    /// What went wrong.
    pub source: io::Error,
}
