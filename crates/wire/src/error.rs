//! The error of this crate.

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Input could not be decoded, or a message could not be encoded.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(Box<ErrorKind>);

/// Reason for which input was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Category {
    /// The input ends early or is not in the expected format.
    Malformed,
    /// The input has another protocol version.
    Version,
    /// The input exceeds the size limit.
    Size,
    /// The connection id was not made with a valid key.
    UnknownId,
}

impl Category {
    /// Label of the category in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Category::Malformed => "malformed",
            Category::Version => "version",
            Category::Size => "size",
            Category::UnknownId => "unknown_id",
        }
    }
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum ErrorKind {
    #[error("invalid PROXY protocol prefix: {0}")]
    Prefix(#[from] ppp::v2::ParseError),
    #[error("PROXY protocol prefix without UDP addresses")]
    PrefixAddresses,
    #[error("prefix of a kind that does not belong on this socket")]
    UnexpectedPrefix,
    #[error("packet of {0} bytes ends within its header")]
    Truncated(usize),
    #[error("connection id of {0} bytes in a long header; at most 20 are allowed")]
    IdLength(usize),
    #[error("connection id was not made with a valid key")]
    UnknownId,
    #[error("message of protocol version {0}; this process speaks version {1}")]
    Version(u8, u8),
    #[error("message of {0} bytes; at most {1} are allowed")]
    Size(usize, usize),
    #[error("invalid message: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
}

impl Error {
    /// Error for a prefix of a kind that is not allowed on the receiving socket.
    #[must_use]
    pub fn unexpected_prefix() -> Self {
        ErrorKind::UnexpectedPrefix.into()
    }

    /// Reason for which the input was rejected.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorKind::Version(..) | ErrorKind::Prefix(ppp::v2::ParseError::Version(_)) => {
                Category::Version
            }
            ErrorKind::Size(..) => Category::Size,
            ErrorKind::UnknownId => Category::UnknownId,
            _ => Category::Malformed,
        }
    }
}

impl<K: Into<ErrorKind>> From<K> for Error {
    fn from(kind: K) -> Self {
        Error(Box::new(kind.into()))
    }
}
