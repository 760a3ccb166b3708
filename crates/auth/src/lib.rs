//! Authentication and authorization of processes and operators.
//!
//! HTTP between the system's own processes and from operators is authenticated by
//! mutual TLS. The DNS names in a certificate identify its holder:
//!
//! | Name | Holder |
//! |---|---|
//! | `control.limpetplank.internal` | a control host |
//! | `node.limpetplank.internal` | a balancer or an agent |
//! | `NAME.operator.limpetplank.internal` | the operator `NAME` |
//!
//! - [`process`]: [`Credentials`], read once at startup;
//! - [`connection`]: [`CertificateIdentity`], what the certificate of a peer says;
//! - [`request`]: [`authorize_path`], the decision, and [`Authorizer`], which enforces it in a
//!   server.
//!
//! ```
//! use auth::{CertificateIdentity, ServerKind, DenyReason, authorize_path};
//!
//! let node = CertificateIdentity::from_dns_names(["node.limpetplank.internal"]);
//! assert_eq!(authorize_path(ServerKind::Control, "/v1/sync", &node), Ok(()));
//! assert_eq!(authorize_path(ServerKind::Control, "/v1/change", &node), Err(DenyReason::Role));
//! ```

pub mod connection;
pub mod error;
pub mod process;
pub mod request;

pub use connection::CertificateIdentity;
pub use error::{Error, Result};
pub use process::{CredentialFiles, Credentials};
pub use request::{
    Authorizer, DenyReason, ServerKind, authorize_author, authorize_path, authorize_request,
    deny_unless_author,
};
