//! Certificates issued by a CA of the test.

use std::{
    fs,
    net::IpAddr,
    path::{Path, PathBuf},
};

use auth::{CredentialFiles, Credentials};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose, date_time_ymd,
};

/// A certificate authority with the folder for its certificates and keys.
pub struct CertificateAuthority {
    dir: PathBuf,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    pub fn new(dir: &Path, name: &str) -> CertificateAuthority {
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let key = KeyPair::generate().expect("key");
        let issuer = CertifiedIssuer::self_signed(params, key).expect("certificate");
        let dir = dir.join(name);
        fs::create_dir_all(&dir).expect("folder");
        fs::write(dir.join("ca.pem"), issuer.pem()).expect("file");
        CertificateAuthority { dir, issuer }
    }

    /// Path of the CA certificate.
    pub fn ca(&self) -> PathBuf {
        self.dir.join("ca.pem")
    }

    /// Issues a certificate for a DNS name and, if given, an IP address.
    pub fn issue(&self, name: &str, address: Option<IpAddr>) -> CredentialFiles {
        self.issue_with(name, address, |_| ())
    }

    /// Issues a certificate that has expired.
    pub fn issue_expired(&self, name: &str) -> CredentialFiles {
        self.issue_with(name, None, |params| {
            params.not_after = date_time_ymd(2020, 1, 1);
        })
    }

    fn issue_with(
        &self,
        name: &str,
        address: Option<IpAddr>,
        adjust: impl FnOnce(&mut CertificateParams),
    ) -> CredentialFiles {
        let names: Vec<String> = [name.to_owned()]
            .into_iter()
            .chain(address.map(|a| a.to_string()))
            .collect();
        let file_stem = names.join("-");
        let mut params = CertificateParams::new(names).expect("parameters");
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        adjust(&mut params);
        let key = KeyPair::generate().expect("key");
        let certificate = params.signed_by(&key, &self.issuer).expect("certificate");
        let files = CredentialFiles {
            ca: self.ca(),
            certificate: self.dir.join(format!("{file_stem}.pem")),
            key: self.dir.join(format!("{file_stem}.key")),
        };
        fs::write(&files.certificate, certificate.pem()).expect("file");
        fs::write(&files.key, key.serialize_pem()).expect("file");
        files
    }
}

/// Reads the credentials from the files.
pub fn read_credentials(files: &CredentialFiles) -> Credentials {
    Credentials::read(files).expect("credentials")
}

/// The `--tls-*` flags for the files.
pub fn tls_flags(files: &CredentialFiles) -> [String; 3] {
    [
        format!("--tls-ca={}", files.ca.display()),
        format!("--tls-certificate={}", files.certificate.display()),
        format!("--tls-key={}", files.key.display()),
    ]
}
