//! The certificate of a process and the CA that it trusts.

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

const CA: &str = "--tls-ca";
const CERTIFICATE: &str = "--tls-certificate";
const KEY: &str = "--tls-key";

/// The files that the settings name, all in PEM.
#[derive(Debug, Clone)]
pub struct CredentialFiles {
    /// Certificates of the CA, as `--tls-ca` names it.
    pub ca: PathBuf,
    /// Certificate chain of the process, as `--tls-certificate` names it.
    pub certificate: PathBuf,
    /// Private key of the certificate, as `--tls-key` names it.
    pub key: PathBuf,
}

/// What a process proves its identity with, and whom it believes.
///
/// The files are read once; a renewed certificate is used after a restart.
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
    /// A file cannot be read, or its contents cannot be used. The error names
    /// the setting and the file.
    pub fn read(files: &CredentialFiles) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        for root in certificates(CA, &files.ca)? {
            roots
                .add(root)
                .map_err(|cause| unusable(CA, &files.ca, cause))?;
        }
        let roots = Arc::new(roots);
        let chain = certificates(CERTIFICATE, &files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key).map_err(|cause| Error::Pem {
            flag: KEY,
            file: files.key.clone(),
            cause,
        })?;
        Ok(Credentials {
            identity: chain
                .first()
                .map(CertificateIdentity::from_certificate)
                .unwrap_or_default(),
            client: client(files, roots.clone(), chain.clone(), key.clone_key())?,
            server: server(files, roots, chain, key)?,
        })
    }

    /// What the certificate of this process says of it.
    #[must_use]
    pub fn identity(&self) -> &CertificateIdentity {
        &self.identity
    }

    /// Settings of a client that shows its certificate and verifies that of
    /// the server.
    #[must_use]
    pub fn client_config(&self) -> Arc<ClientConfig> {
        self.client.clone()
    }

    /// Settings of a server that requires a certificate of the CA from every
    /// client.
    #[must_use]
    pub fn server_config(&self) -> ServerConfig {
        (*self.server).clone()
    }

    /// Secures a connection to the host at `address`, whose certificate must
    /// name the IP address.
    ///
    /// # Errors
    ///
    /// The handshake failed; nothing was sent but the handshake.
    pub async fn connect_tls(
        &self,
        address: SocketAddr,
        stream: TcpStream,
    ) -> io::Result<TlsStream<TcpStream>> {
        // The request follows the end of the handshake, which the server does
        // not answer: Nagle's algorithm would hold it for a delayed
        // acknowledgement, 40 ms.
        stream.set_nodelay(true)?;
        let name = ServerName::from(address.ip());
        let connector = TlsConnector::from(self.client.clone());
        connector.connect(name, stream).await
    }
}

fn client(
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
        .map_err(|cause| unusable(CERTIFICATE, &files.certificate, cause))?;
    client.resumption = Resumption::disabled();
    Ok(Arc::new(client))
}

fn server(
    files: &CredentialFiles,
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<ServerConfig>> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(|cause| Error::Ca {
            flag: CA,
            file: files.ca.clone(),
            cause,
        })?;
    let mut server = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map(|builder| builder.with_client_cert_verifier(verifier))
        .and_then(|builder| builder.with_single_cert(chain, key))
        .map_err(|cause| unusable(CERTIFICATE, &files.certificate, cause))?;
    // A resumed session is not verified again and is renewed by each use, so
    // that a certificate would count long after it has expired.
    server.send_tls13_tickets = 0;
    Ok(Arc::new(server))
}

fn certificates(flag: &'static str, file: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let found: Vec<_> = CertificateDer::pem_file_iter(file)
        .and_then(Iterator::collect)
        .map_err(|cause| Error::Pem {
            flag,
            file: file.into(),
            cause,
        })?;
    if found.is_empty() {
        let file = file.into();
        return Err(Error::Empty { flag, file });
    }
    Ok(found)
}

fn unusable(flag: &'static str, file: &Path, cause: rustls::Error) -> Error {
    Error::Unusable {
        flag,
        file: file.into(),
        cause,
    }
}
