//! The identity in a certificate.

use std::collections::BTreeSet;

use rustls::pki_types::CertificateDer;
use types::OperatorName;
use webpki::EndEntityCert;

/// Suffix of the DNS name of an operator.
const OPERATOR_SUFFIX: &str = ".operator.limpetplank.internal";

/// The roles that the DNS names in a certificate give its holder. A holder may have
/// several.
///
/// The names end in `internal`, which is reserved for private use, so no
/// public CA issues them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CertificateIdentity {
    /// Whether the holder is a control host.
    pub is_control_host: bool,
    /// Whether the holder is a balancer or an agent.
    pub is_node: bool,
    /// The operators on whose behalf the holder may send requests.
    pub operators: BTreeSet<OperatorName>,
}

impl CertificateIdentity {
    /// DNS name of a control host.
    pub const CONTROL_DNS_NAME: &str = "control.limpetplank.internal";

    /// DNS name of a balancer or an agent.
    pub const NODE_DNS_NAME: &str = "node.limpetplank.internal";

    /// Derives the identity from the DNS names of a certificate. All other names,
    /// including wildcards, are ignored.
    pub fn from_dns_names<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut identity = CertificateIdentity::default();
        for name in names {
            match name {
                Self::CONTROL_DNS_NAME => identity.is_control_host = true,
                Self::NODE_DNS_NAME => identity.is_node = true,
                // A wildcard does not parse as an operator name.
                _ => {
                    let operator = name.strip_suffix(OPERATOR_SUFFIX);
                    identity
                        .operators
                        .extend(operator.and_then(|o| o.parse().ok()));
                }
            }
        }
        identity
    }

    /// Reads the identity from a certificate that the TLS library has verified. A
    /// certificate that cannot be parsed gives an empty identity.
    #[must_use]
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Self {
        match EndEntityCert::try_from(certificate) {
            Ok(certificate) => CertificateIdentity::from_dns_names(certificate.valid_dns_names()),
            Err(_) => CertificateIdentity::default(),
        }
    }
}
