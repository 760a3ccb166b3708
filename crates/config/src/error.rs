//! The error of this crate.

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A snapshot of the configuration could not be written or read.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(Box<ErrorKind>);

/// What kind of failure it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The writer or the reader failed.
    Io,
    /// The bytes are no snapshot.
    Data,
    /// The snapshot has a format that this build does not know.
    Format,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum ErrorKind {
    #[error("cannot write the configuration snapshot: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("cannot read the configuration snapshot: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("configuration snapshot has format {found}; this build reads format {known}")]
    Format { found: u32, known: u32 },
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
