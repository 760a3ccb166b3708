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
pub struct Names {
    /// A control host.
    pub control: bool,
    /// A balancer or an agent.
    pub node: bool,
    /// The operators for whom the holder may ask.
    pub operators: BTreeSet<OperatorName>,
}

impl Names {
    /// DNS name of a control host.
    pub const CONTROL: &str = "control.limpetplank.internal";

    /// DNS name of a balancer or an agent.
    pub const NODE: &str = "node.limpetplank.internal";

    /// Reads the DNS names of a certificate. Names of other kinds, wildcards
    /// included, say nothing.
    pub fn read<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut read = Names::default();
        for name in names {
            match name {
                Self::CONTROL => read.control = true,
                Self::NODE => read.node = true,
                // A wildcard is not a valid name of an operator.
                _ => {
                    let operator = name.strip_suffix(OPERATOR);
                    read.operators.extend(operator.and_then(|o| o.parse().ok()));
                }
            }
        }
        read
    }

    /// Reads a certificate that the TLS library has verified. One that cannot
    /// be read says nothing.
    #[must_use]
    pub fn of(certificate: &CertificateDer<'_>) -> Self {
        match EndEntityCert::try_from(certificate) {
            Ok(certificate) => Names::read(certificate.valid_dns_names()),
            Err(_) => Names::default(),
        }
    }
}
