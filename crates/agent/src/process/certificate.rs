//! The TLS certificate that the agent presents to callers.

use std::sync::Arc;

use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::{Error, Result};

/// ALPN protocol id of HTTP/3.
const ALPN: &[u8] = b"h3";

/// Certificate chain and private key of a service.
#[derive(Debug)]
pub struct ServiceCertificate {
    /// Certificate chain, the end-entity certificate first.
    pub chain: Vec<CertificateDer<'static>>,
    /// Private key of the first certificate.
    pub key: PrivateKeyDer<'static>,
}

impl ServiceCertificate {
    /// Generates a self-signed certificate for the given names.
    ///
    /// # Errors
    ///
    /// Fails if a name is not valid in a certificate.
    pub fn self_signed(names: Vec<String>) -> Result<Self> {
        let made = rcgen::generate_simple_self_signed(names)?;
        let key = PrivateKeyDer::try_from(made.signing_key.serialize_der()).map_err(Error::Key)?;
        Ok(ServiceCertificate {
            chain: vec![made.cert.der().clone()],
            key,
        })
    }

    /// Creates the TLS configuration of the QUIC server.
    ///
    /// # Errors
    ///
    /// Fails if the key does not match the certificate.
    pub(super) fn into_crypto(self) -> Result<quinn::crypto::rustls::QuicServerConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_no_client_auth()
            .with_single_cert(self.chain, self.key)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(tls.try_into()?)
    }
}
