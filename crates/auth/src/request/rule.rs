//! Who may ask for what.

use types::OperatorName;

use crate::Names;

/// A port of the system's own processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// The port of a control host.
    Control,
    /// The port on which an agent takes requests of its peers. Requests that
    /// are handed off have any path.
    Peer,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The connection has no verified certificate.
    NoCertificate,
    /// The holder of the certificate may not ask for this path.
    Role,
    /// Nobody may ask for this path.
    Path,
    /// The change names another author than the certificate.
    Author,
}

impl Refusal {
    /// The reason as metrics name it.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Refusal::NoCertificate => "no_certificate",
            Refusal::Role => "role",
            Refusal::Path => "path",
            Refusal::Author => "author",
        }
    }
}

/// Decides whether the holder of a certificate may ask for `path`.
///
/// # Errors
///
/// It may not.
pub fn allow(port: Port, path: &str, names: &Names) -> Result<(), Refusal> {
    let operator = !names.operators.is_empty();
    let allowed = match (port, path) {
        (Port::Peer, _) | (Port::Control, "/v1/sync") => names.node,
        (Port::Control, "/v1/consensus") => names.control,
        // `limpetctl control add` asks a blank host for its id.
        (Port::Control, "/v1/hello") => names.control || operator,
        (Port::Control, "/v1/change" | "/v1/query" | "/v1/group") => operator,
        (Port::Control, _) => return Err(Refusal::Path),
    };
    allowed.then_some(()).ok_or(Refusal::Role)
}

/// Decides whether the holder of a certificate may make changes in the name
/// of `author`.
///
/// # Errors
///
/// It may not.
pub fn may_author(author: &OperatorName, names: &Names) -> Result<(), Refusal> {
    let own = names.operators.contains(author);
    own.then_some(()).ok_or(Refusal::Author)
}
