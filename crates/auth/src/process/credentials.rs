//! The certificate and key of a process, and the CA that it trusts.

use std::{
    fmt, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
};

use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    client::Resumption,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    server::WebPkiClientVerifier,
    version::TLS13,
};
use tokio::net::TcpStream;
use tokio_rustls::{TlsConnector, client::TlsStream};

use crate::{CertificateIdentity, Error, Result};

const CA_FLAG: &str = "--tls-ca";
const CERTIFICATE_FLAG: &str = "--tls-certificate";
const KEY_FLAG: &str = "--tls-key";

/// Paths of the credential files, all in PEM format.
#[derive(Debug, Clone)]
pub struct CredentialFiles {
    /// Certificates of the CA, as `--tls-ca` names it.
    pub ca: PathBuf,
    /// Certificate chain of the process, as `--tls-certificate` names it.
    pub certificate: PathBuf,
    /// Private key of the certificate, as `--tls-key` names it.
    pub key: PathBuf,
}

/// The TLS credentials of a process: its certificate and key, and the CA that it
/// trusts.
///
/// The files are read once; a renewed certificate takes effect after a restart.
#[derive(Clone)]
pub struct Credentials {
    client: Arc<ClientConfig>,
    server: Arc<ServerConfig>,
    identity: CertificateIdentity,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Credentials")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl Credentials {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or its contents are invalid. The error names the
    /// flag and the file.
    pub fn read(files: &CredentialFiles) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        for root in read_certificates(CA_FLAG, &files.ca)? {
            roots
                .add(root)
                .map_err(|cause| invalid_certificate(CA_FLAG, &files.ca, cause))?;
        }
        let roots = Arc::new(roots);
        let chain = read_certificates(CERTIFICATE_FLAG, &files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key).map_err(|cause| Error::Pem {
            flag: KEY_FLAG,
            file: files.key.clone(),
            cause,
        })?;
        Ok(Credentials {
            identity: chain
                .first()
                .map(CertificateIdentity::from_certificate)
                .unwrap_or_default(),
            client: build_client_config(files, roots.clone(), chain.clone(), key.clone_key())?,
            server: build_server_config(files, roots, chain, key)?,
        })
    }

    /// The identity in the certificate of this process.
    #[must_use]
    pub fn identity(&self) -> &CertificateIdentity {
        &self.identity
    }

    /// TLS configuration of a client that presents its certificate and verifies
    /// the server's.
    #[must_use]
    pub fn client_config(&self) -> Arc<ClientConfig> {
        self.client.clone()
    }

    /// TLS configuration of a server that requires every client to present a
    /// certificate issued by the CA.
    #[must_use]
    pub fn server_config(&self) -> ServerConfig {
        (*self.server).clone()
    }

    /// Performs the TLS handshake on a connection to `address`. The server's
    /// certificate must contain that IP address.
    ///
    /// # Errors
    ///
    /// The handshake failed; no application data was sent.
    pub async fn connect_tls(
        &self,
        address: SocketAddr,
        stream: TcpStream,
    ) -> io::Result<TlsStream<TcpStream>> {
        // The server does not reply to the last handshake message, so Nagle's
        // algorithm would delay the request until a delayed acknowledgement
        // arrives, after 40 ms.
        stream.set_nodelay(true)?;
        let name = ServerName::from(address.ip());
        let connector = TlsConnector::from(self.client.clone());
        connector.connect(name, stream).await
    }
}

fn build_client_config(
    files: &CredentialFiles,
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<ClientConfig>> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut client = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map(|builder| builder.with_root_certificates(roots))
        .and_then(|builder| builder.with_client_auth_cert(chain, key))
        .map_err(|cause| invalid_certificate(CERTIFICATE_FLAG, &files.certificate, cause))?;
    client.resumption = Resumption::disabled();
    Ok(Arc::new(client))
}

fn build_server_config(
    files: &CredentialFiles,
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<ServerConfig>> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(|cause| Error::InvalidCa {
            flag: CA_FLAG,
            file: files.ca.clone(),
            cause,
        })?;
    let mut server = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map(|builder| builder.with_client_cert_verifier(verifier))
        .and_then(|builder| builder.with_single_cert(chain, key))
        .map_err(|cause| invalid_certificate(CERTIFICATE_FLAG, &files.certificate, cause))?;
    // Session resumption is disabled: a resumed session skips certificate
    // verification and each use renews it, so a client could stay authenticated
    // long after its certificate has expired.
    server.send_tls13_tickets = 0;
    Ok(Arc::new(server))
}

fn read_certificates(flag: &'static str, file: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let certificates: Vec<_> = CertificateDer::pem_file_iter(file)
        .and_then(Iterator::collect)
        .map_err(|cause| Error::Pem {
            flag,
            file: file.into(),
            cause,
        })?;
    if certificates.is_empty() {
        let file = file.into();
        return Err(Error::NoCertificate { flag, file });
    }
    Ok(certificates)
}

fn invalid_certificate(flag: &'static str, file: &Path, cause: rustls::Error) -> Error {
    Error::InvalidCertificate {
        flag,
        file: file.into(),
        cause,
    }
}
