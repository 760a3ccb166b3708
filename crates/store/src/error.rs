//! The error of this crate.

use std::io;

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The data folder cannot be used, or a write failed.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(Box<ErrorKind>);

/// Kind of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// Another process uses the folder.
    Locked,
    /// The folder has another layout.
    Layout,
    /// Data that was synced earlier is damaged or missing.
    Damaged,
    /// An operation of the operating system failed.
    Io,
    /// The entries of a write do not follow the last entry on disk. This happens
    /// after an earlier write failed.
    Gap,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum ErrorKind {
    #[error("the data folder is in use by another process")]
    Locked,
    #[error("the data folder has layout {found:?}, this program reads layout {expected:?}")]
    Layout {
        found: String,
        expected: &'static str,
    },
    #[error(
        "{file} is damaged at offset {offset}: {reason}. What follows was synced, so it is not \
         dropped. Stop this host; then either restore the data folder from a copy of this \
         same host that is no older than its last run, or empty the folder, start the host as a \
         new member, and remove the old one with `limpetctl control replace`"
    )]
    Damaged {
        file: String,
        offset: u64,
        reason: &'static str,
    },
    #[error("{operation} {file}: {source}")]
    Io {
        operation: &'static str,
        file: String,
        source: io::Error,
    },
    #[error("entries from {from} on do not follow the last one on disk, {last}")]
    Gap { from: u64, last: u64 },
}

impl Error {
    pub(crate) fn damaged(file: &str, offset: usize, reason: &'static str) -> Self {
        ErrorKind::Damaged {
            file: file.to_owned(),
            offset: offset as u64,
            reason,
        }
        .into()
    }

    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| {
            ErrorKind::Io {
                operation,
                file,
                source,
            }
            .into()
        }
    }

    /// Kind of the error.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Locked => Category::Locked,
            ErrorKind::Layout { .. } => Category::Layout,
            ErrorKind::Damaged { .. } => Category::Damaged,
            ErrorKind::Io { .. } => Category::Io,
            ErrorKind::Gap { .. } => Category::Gap,
        }
    }
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Error(Box::new(kind))
    }
}
