//! Who may ask for what.

use types::OperatorName;

use crate::CertificateIdentity;

/// A port of the system's own processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKind {
    /// The port of a control host.
    Control,
    /// The port on which an agent takes requests of its peers. Requests that
    /// are handed off have any path.
    Peer,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenyReason {
    /// The connection has no verified certificate.
    NoCertificate,
    /// The holder of the certificate may not ask for this path.
    Role,
    /// Nobody may ask for this path.
    Path,
    /// The change names another author than the certificate.
    Author,
}

impl DenyReason {
    /// The reason as metrics name it.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            DenyReason::NoCertificate => "no_certificate",
            DenyReason::Role => "role",
            DenyReason::Path => "path",
            DenyReason::Author => "author",
        }
    }
}

/// Decides whether the holder of a certificate may ask for `path`.
///
/// # Errors
///
/// It may not.
pub fn authorize_path(
    server: ServerKind,
    path: &str,
    identity: &CertificateIdentity,
) -> Result<(), DenyReason> {
    let operator = !identity.operators.is_empty();
    let allowed = match (server, path) {
        (ServerKind::Peer, _) | (ServerKind::Control, "/v1/sync") => identity.is_node,
        (ServerKind::Control, "/v1/consensus") => identity.is_control_host,
        // `limpetctl control add` asks a blank host for its id.
        (ServerKind::Control, "/v1/hello") => identity.is_control_host || operator,
        (ServerKind::Control, "/v1/change" | "/v1/query" | "/v1/group") => operator,
        (ServerKind::Control, _) => return Err(DenyReason::Path),
    };
    allowed.then_some(()).ok_or(DenyReason::Role)
}

/// Decides whether the holder of a certificate may make changes in the name
/// of `author`.
///
/// # Errors
///
/// It may not.
pub fn authorize_author(
    author: &OperatorName,
    identity: &CertificateIdentity,
) -> Result<(), DenyReason> {
    let own = identity.operators.contains(author);
    own.then_some(()).ok_or(DenyReason::Author)
}
