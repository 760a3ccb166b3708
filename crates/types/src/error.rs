//! The error of this crate.

use std::fmt;

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Text that could not be parsed as one of this crate's types.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(Box<ErrorKind>);

/// What kind of value was expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// A name made of labels.
    Name,
    /// A decimal or hexadecimal number.
    Number,
    /// A change id.
    ChangeId,
    /// A path prefix.
    Path,
    /// One of a fixed set of words.
    Keyword,
}

#[derive(Debug)]
struct ErrorKind {
    category: Category,
    input: String,
    expected: &'static str,
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid value {:?}: expected {}",
            self.input, self.expected
        )
    }
}

impl Error {
    pub(crate) fn new(category: Category, input: &str, expected: &'static str) -> Self {
        Error(Box::new(ErrorKind {
            category,
            input: input.to_owned(),
            expected,
        }))
    }

    /// The kind of value that was expected.
    #[must_use]
    pub fn category(&self) -> Category {
        self.0.category
    }
}
