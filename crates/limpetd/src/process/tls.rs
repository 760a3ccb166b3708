//! The settings of mutual TLS.

use std::path::PathBuf;

use auth::{Credentials, Files, Names};
use clap::Args;

use crate::error::{Error, Result};

/// Files that prove who this process is; without them its HTTP is plain and
/// not authenticated.
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
    /// Reads the files of a control host, if they are set.
    pub fn control(&self) -> Result<Option<Credentials>> {
        self.read(Names::CONTROL, |names| names.control)
    }

    /// Reads the files of a balancer or an agent, if they are set.
    pub fn node(&self) -> Result<Option<Credentials>> {
        self.read(Names::NODE, |names| names.node)
    }

    fn read(
        &self,
        expected: &'static str,
        has: impl FnOnce(&Names) -> bool,
    ) -> Result<Option<Credentials>> {
        let (Some(ca), Some(certificate), Some(key)) = (&self.ca, &self.certificate, &self.key)
        else {
            return Ok(None);
        };
        let files = Files {
            ca: ca.clone(),
            certificate: certificate.clone(),
            key: key.clone(),
        };
        let credentials = Credentials::read(&files)?;
        if has(credentials.names()) {
            return Ok(Some(credentials));
        }
        Err(Error::Role(files.certificate, expected))
    }
}
