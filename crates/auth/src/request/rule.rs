//! The rules that decide which identity may send which request.

use types::OperatorName;

use crate::CertificateIdentity;

/// The HTTP servers of the system's own processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKind {
    /// The server of a control host.
    Control,
    /// The server on which an agent accepts requests from its peers. Handed-off
    /// requests may have any path.
    Peer,
}

/// Why a request is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenyReason {
    /// The connection has no verified client certificate.
    NoCertificate,
    /// The identity is not allowed to use this path.
    Role,
    /// No identity is allowed to use this path.
    Path,
    /// The author of the change is not an operator in the certificate.
    Author,
}

impl DenyReason {
    /// Value of the `reason` metric label and log field.
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

/// Checks whether `identity` may send requests to `path`.
///
/// # Errors
///
/// [`DenyReason::Role`] or [`DenyReason::Path`] if it may not.
pub fn authorize_path(
    server: ServerKind,
    path: &str,
    identity: &CertificateIdentity,
) -> Result<(), DenyReason> {
    let is_operator = !identity.operators.is_empty();
    let allowed = match (server, path) {
        (ServerKind::Peer, _) | (ServerKind::Control, "/v1/sync") => identity.is_node,
        (ServerKind::Control, "/v1/consensus") => identity.is_control_host,
        // `limpetctl control add` asks a blank host for its id.
        (ServerKind::Control, "/v1/hello") => identity.is_control_host || is_operator,
        (ServerKind::Control, "/v1/change" | "/v1/query" | "/v1/group") => is_operator,
        (ServerKind::Control, _) => return Err(DenyReason::Path),
    };
    allowed.then_some(()).ok_or(DenyReason::Role)
}

/// Checks whether `identity` may make changes as `author`.
///
/// # Errors
///
/// [`DenyReason::Author`] if it may not.
pub fn authorize_author(
    author: &OperatorName,
    identity: &CertificateIdentity,
) -> Result<(), DenyReason> {
    let allowed = identity.operators.contains(author);
    allowed.then_some(()).ok_or(DenyReason::Author)
}
