//! Certificates of a CA that the test makes.

use std::{
    fs,
    net::IpAddr,
    path::{Path, PathBuf},
};

use auth::{Credentials, Files};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose, date_time_ymd,
};

/// A CA and the folder of its certificates.
pub struct Authority {
    dir: PathBuf,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    pub fn new(dir: &Path, name: &str) -> Authority {
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let key = KeyPair::generate().expect("key");
        let issuer = CertifiedIssuer::self_signed(params, key).expect("certificate");
        let dir = dir.join(name);
        fs::create_dir_all(&dir).expect("folder");
        fs::write(dir.join("ca.pem"), issuer.pem()).expect("file");
        Authority { dir, issuer }
    }

    /// The certificate of the CA.
    pub fn ca(&self) -> PathBuf {
        self.dir.join("ca.pem")
    }

    /// Issues a certificate for a DNS name and an address.
    pub fn issue(&self, name: &str, address: Option<IpAddr>) -> Files {
        self.write(name, address, |_| ())
    }

    /// Issues a certificate that has expired.
    pub fn issue_expired(&self, name: &str) -> Files {
        self.write(name, None, |params| {
            params.not_after = date_time_ymd(2020, 1, 1);
        })
    }

    fn write(
        &self,
        name: &str,
        address: Option<IpAddr>,
        change: impl FnOnce(&mut CertificateParams),
    ) -> Files {
        let names: Vec<String> = [name.to_owned()]
            .into_iter()
            .chain(address.map(|a| a.to_string()))
            .collect();
        let file = names.join("-");
        let mut params = CertificateParams::new(names).expect("parameters");
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        change(&mut params);
        let key = KeyPair::generate().expect("key");
        let certificate = params.signed_by(&key, &self.issuer).expect("certificate");
        let files = Files {
            ca: self.ca(),
            certificate: self.dir.join(format!("{file}.pem")),
            key: self.dir.join(format!("{file}.key")),
        };
        fs::write(&files.certificate, certificate.pem()).expect("file");
        fs::write(&files.key, key.serialize_pem()).expect("file");
        files
    }
}

/// The credentials in the files.
pub fn credentials(files: &Files) -> Credentials {
    Credentials::read(files).expect("credentials")
}

/// The flags that name the files.
pub fn flags(files: &Files) -> [String; 3] {
    [
        format!("--tls-ca={}", files.ca.display()),
        format!("--tls-certificate={}", files.certificate.display()),
        format!("--tls-key={}", files.key.display()),
    ]
}
