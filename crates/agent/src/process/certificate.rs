//! The certificate that callers see.

use std::sync::Arc;

use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::{Error, Result};

/// Application protocol of HTTP/3 in TLS.
const ALPN: &[u8] = b"h3";

/// Certificate chain and private key of a service.
#[derive(Debug)]
pub struct ServiceCertificate {
    /// The chain, the end entity's certificate first.
    pub chain: Vec<CertificateDer<'static>>,
    /// Key of the first certificate.
    pub key: PrivateKeyDer<'static>,
}

impl ServiceCertificate {
    /// Makes a self-signed certificate for the given names.
    ///
    /// # Errors
    ///
    /// A name is not valid in a certificate.
    pub fn self_signed(names: Vec<String>) -> Result<Self> {
        let made = rcgen::generate_simple_self_signed(names)?;
        let key = PrivateKeyDer::try_from(made.signing_key.serialize_der()).map_err(Error::Key)?;
        Ok(ServiceCertificate {
            chain: vec![made.cert.der().clone()],
            key,
        })
    }

    /// The QUIC server settings with this certificate.
    ///
    /// # Errors
    ///
    /// Certificate and key do not belong together.
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
