//! Settings for mutual TLS.

use std::path::PathBuf;

use auth::{CertificateIdentity, CredentialFiles, Credentials};
use clap::Args;

use crate::error::{Error, Result};

/// Files for mutual TLS; without them the process serves plain HTTP without
/// authentication.
#[derive(Debug, Clone, Args)]
pub struct TlsArgs {
    /// Certificates of the CA of this system in PEM; needs the other two
    /// --tls flags
    #[arg(
        id = "tls_ca",
        long = "tls-ca",
        env = "LIMPET_TLS_CA",
        value_name = "FILE",
        requires_all = ["tls_certificate", "tls_key"]
    )]
    ca: Option<PathBuf>,

    /// Certificate chain of this process in PEM
    #[arg(
        id = "tls_certificate",
        long = "tls-certificate",
        env = "LIMPET_TLS_CERTIFICATE",
        value_name = "FILE",
        requires_all = ["tls_ca", "tls_key"]
    )]
    certificate: Option<PathBuf>,

    /// Private key of the certificate in PEM
    #[arg(
        id = "tls_key",
        long = "tls-key",
        env = "LIMPET_TLS_KEY",
        value_name = "FILE",
        requires_all = ["tls_ca", "tls_certificate"]
    )]
    key: Option<PathBuf>,
}

impl TlsArgs {
    /// Reads the credentials of a control host. `None` if no files are set.
    pub fn control_credentials(&self) -> Result<Option<Credentials>> {
        self.read_credentials(CertificateIdentity::CONTROL_DNS_NAME, |identity| {
            identity.is_control_host
        })
    }

    /// Reads the credentials of a balancer or an agent. `None` if no files are
    /// set.
    pub fn node_credentials(&self) -> Result<Option<Credentials>> {
        self.read_credentials(CertificateIdentity::NODE_DNS_NAME, |identity| {
            identity.is_node
        })
    }

    fn read_credentials(
        &self,
        required_name: &'static str,
        has_required_name: impl FnOnce(&CertificateIdentity) -> bool,
    ) -> Result<Option<Credentials>> {
        let (Some(ca), Some(certificate), Some(key)) = (&self.ca, &self.certificate, &self.key)
        else {
            return Ok(None);
        };
        let files = CredentialFiles {
            ca: ca.clone(),
            certificate: certificate.clone(),
            key: key.clone(),
        };
        let credentials = Credentials::read(&files)?;
        if has_required_name(credentials.identity()) {
            return Ok(Some(credentials));
        }
        Err(Error::CertificateName(files.certificate, required_name))
    }
}
