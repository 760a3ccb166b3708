//! Credentials, with the lifetime of the process.

mod credentials;

pub use credentials::{CredentialFiles, Credentials};
