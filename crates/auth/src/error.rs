//! Errors of reading credentials.

use std::path::PathBuf;

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A certificate or key file is missing or invalid.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read or is not PEM.
    #[error("{flag} {}: {cause}; expected a readable file in PEM", file.display())]
    Pem {
        /// The command-line flag that names the file.
        flag: &'static str,
        /// Path of the file.
        file: PathBuf,
        /// The cause.
        cause: rustls::pki_types::pem::Error,
    },
    /// The file contains no certificate.
    #[error("{flag} {}: expected at least one certificate in PEM", file.display())]
    NoCertificate {
        /// The command-line flag that names the file.
        flag: &'static str,
        /// Path of the file.
        file: PathBuf,
    },
    /// A certificate is invalid, or the key does not match it.
    #[error("{flag} {}: {cause}", file.display())]
    InvalidCertificate {
        /// The command-line flag that names the file.
        flag: &'static str,
        /// Path of the file.
        file: PathBuf,
        /// The cause.
        cause: rustls::Error,
    },
    /// A client verifier cannot be built from the CA certificates.
    #[error("{flag} {}: {cause}", file.display())]
    InvalidCa {
        /// The command-line flag that names the file.
        flag: &'static str,
        /// Path of the file.
        file: PathBuf,
        /// The cause.
        cause: rustls::server::VerifierBuilderError,
    },
}
