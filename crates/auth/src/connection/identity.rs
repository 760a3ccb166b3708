//! What a certificate says of its holder.

use std::collections::BTreeSet;

use rustls::pki_types::CertificateDer;
use types::OperatorName;
use webpki::EndEntityCert;

/// What follows the name of an operator.
const OPERATOR: &str = ".operator.limpetplank.internal";

/// What a certificate says of its holder. A holder may be several things.
///
/// The names end in `internal`, which is reserved for private use, so no
/// public CA issues them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CertificateIdentity {
    /// A control host.
    pub is_control_host: bool,
    /// A balancer or an agent.
    pub is_node: bool,
    /// The operators for whom the holder may ask.
    pub operators: BTreeSet<OperatorName>,
}

impl CertificateIdentity {
    /// DNS name of a control host.
    pub const CONTROL_DNS_NAME: &str = "control.limpetplank.internal";

    /// DNS name of a balancer or an agent.
    pub const NODE_DNS_NAME: &str = "node.limpetplank.internal";

    /// Reads the DNS names of a certificate. Names of other kinds, wildcards
    /// included, say nothing.
    pub fn from_dns_names<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut identity = CertificateIdentity::default();
        for name in names {
            match name {
                Self::CONTROL_DNS_NAME => identity.is_control_host = true,
                Self::NODE_DNS_NAME => identity.is_node = true,
                // A wildcard is not a valid name of an operator.
                _ => {
                    let operator = name.strip_suffix(OPERATOR);
                    identity
                        .operators
                        .extend(operator.and_then(|o| o.parse().ok()));
                }
            }
        }
        identity
    }

    /// Reads a certificate that the TLS library has verified. One that cannot
    /// be read says nothing.
    #[must_use]
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Self {
        match EndEntityCert::try_from(certificate) {
            Ok(certificate) => CertificateIdentity::from_dns_names(certificate.valid_dns_names()),
            Err(_) => CertificateIdentity::default(),
        }
    }
}
