//! The UDP socket of a caller and its TLS settings.

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

/// ALPN protocol id of HTTP/3.
const ALPN_H3: &[u8] = b"h3";

/// Idle timeout of a connection, in milliseconds.
const IDLE_TIMEOUT_MILLIS: u32 = 30_000;

/// Interval of keep-alive packets, which keep an idle stream open across
/// middleboxes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Which server certificates are accepted.
#[derive(Debug, Clone)]
pub enum ServerTrust {
    /// Certificates issued by one of these CAs.
    Roots(Vec<CertificateDer<'static>>),
    /// Any certificate. The connection is encrypted, but the server is not
    /// authenticated.
    Any,
}

/// The UDP socket of a caller.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub(crate) quic: quinn::Endpoint,
}

impl Endpoint {
    /// Opens a socket of the address family of `server`.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened, or a root certificate is invalid.
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
    tls.alpn_protocols = vec![ALPN_H3.to_vec()];
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
            IDLE_TIMEOUT_MILLIS,
        ))))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

/// A verifier that accepts every certificate.
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
