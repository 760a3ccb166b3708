//! Error type of this crate.

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to write or read a snapshot of the configuration.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(Box<ErrorKind>);

/// Kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// I/O error of the writer or the reader, including a truncated snapshot.
    Io,
    /// The data cannot be decoded as a snapshot.
    Data,
    /// This build does not support the format version of the snapshot.
    Format,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum ErrorKind {
    #[error("failed to write the configuration snapshot: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("failed to read the configuration snapshot: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error(
        "unsupported format {found} of the configuration snapshot; this build reads format {supported}"
    )]
    Format { found: u32, supported: u32 },
}

impl<E: Into<ErrorKind>> From<E> for Error {
    fn from(e: E) -> Self {
        Error(Box::new(e.into()))
    }
}

impl Error {
    /// The kind of failure.
    #[must_use]
    pub fn category(&self) -> Category {
        use rmp_serde::{decode, encode};
        match &*self.0 {
            ErrorKind::Format { .. } => Category::Format,
            ErrorKind::Encode(encode::Error::InvalidValueWrite(_))
            | ErrorKind::Decode(
                decode::Error::InvalidMarkerRead(_) | decode::Error::InvalidDataRead(_),
            ) => Category::Io,
            ErrorKind::Encode(_) | ErrorKind::Decode(_) => Category::Data,
        }
    }
}
