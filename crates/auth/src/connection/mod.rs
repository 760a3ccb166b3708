//! What lives as long as a connection.

mod identity;

pub use identity::CertificateIdentity;
