//! The error of this crate.

use std::path::PathBuf;

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A certificate or key file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read or is not PEM.
    #[error("{flag} {}: {cause}; expected a readable file in PEM", file.display())]
    Pem {
        /// The setting that names the file.
        flag: &'static str,
        /// The file.
        file: PathBuf,
        /// What is wrong.
        cause: rustls::pki_types::pem::Error,
    },
    /// The file holds no certificate.
    #[error("{flag} {}: expected at least one certificate in PEM", file.display())]
    Empty {
        /// The setting that names the file.
        flag: &'static str,
        /// The file.
        file: PathBuf,
    },
    /// A certificate cannot be used, or the key does not belong to it.
    #[error("{flag} {}: {cause}", file.display())]
    Unusable {
        /// The setting that names the file.
        flag: &'static str,
        /// The file.
        file: PathBuf,
        /// What is wrong.
        cause: rustls::Error,
    },
    /// The certificates of the CA cannot be used.
    #[error("{flag} {}: {cause}", file.display())]
    Ca {
        /// The setting that names the file.
        flag: &'static str,
        /// The file.
        file: PathBuf,
        /// What is wrong.
        cause: rustls::server::VerifierBuilderError,
    },
}
