//! The UDP socket of a caller and whom it trusts.

use std::{
    net::{Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use quinn::{ClientConfig, IdleTimeout, TransportConfig, VarInt, crypto::rustls::QuicClientConfig};
use rustls::{
    DigitallySignedStruct, RootCertStore, SignatureScheme,
    client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
    crypto::{CryptoProvider, verify_tls13_signature},
    pki_types::{CertificateDer, ServerName, UnixTime},
};

use crate::{Result, error::ErrorKind};

/// Application protocol of HTTP/3 in TLS.
const ALPN: &[u8] = b"h3";

/// Time after which a silent server is given up.
const IDLE_MILLIS: u32 = 30_000;

/// Time between packets that keep a quiet feed open on its way.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Which certificates are accepted.
#[derive(Debug, Clone)]
pub enum ServerTrust {
    /// Those issued by one of these.
    Roots(Vec<CertificateDer<'static>>),
    /// Any. The connection is encrypted, but the server is not authenticated.
    Any,
}

/// The UDP socket of a caller.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub(crate) quic: quinn::Endpoint,
}

impl Endpoint {
    /// Opens a socket to reach `server`.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened, or a root certificate cannot be read.
    pub fn open(server: SocketAddr, trust: ServerTrust) -> Result<Self> {
        let local: SocketAddr = if server.is_ipv4() {
            (Ipv4Addr::UNSPECIFIED, 0).into()
        } else {
            (Ipv6Addr::UNSPECIFIED, 0).into()
        };
        let mut quic = quinn::Endpoint::client(local).map_err(ErrorKind::Socket)?;
        quic.set_default_client_config(client_config(trust)?);
        Ok(Endpoint { quic })
    }
}

fn client_config(trust: ServerTrust) -> Result<ClientConfig> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?;
    let mut tls = match trust {
        ServerTrust::Roots(certificates) => {
            let mut roots = RootCertStore::empty();
            for certificate in certificates {
                roots.add(certificate)?;
            }
            builder.with_root_certificates(roots).with_no_client_auth()
        }
        ServerTrust::Any => builder
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(AnyCertificate(provider)))
            .with_no_client_auth(),
    };
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_MILLIS))))
        .keep_alive_interval(Some(KEEP_ALIVE));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

/// Accepts every certificate.
#[derive(Debug)]
struct AnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> std::result::Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::PeerIncompatible::Tls12NotOffered.into())
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
