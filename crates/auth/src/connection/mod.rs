//! The identity of a peer, with the lifetime of its connection.

mod identity;

pub use identity::CertificateIdentity;
