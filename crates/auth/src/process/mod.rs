//! What lives as long as the process.

mod credentials;

pub use credentials::{CredentialFiles, Credentials};
