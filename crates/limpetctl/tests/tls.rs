//! Mutual TLS of `limpetctl`.

mod common;

use std::{fs, path::Path};

use common::{limpetctl, refusing_address};
use rcgen::{CertificateParams, KeyPair};

/// Writes a self-signed certificate of the operator `alice`; returns the flags
/// that name it as CA and certificate.
fn write_certificate(dir: &Path) -> [String; 6] {
    let names = vec!["alice.operator.limpetplank.internal".to_owned()];
    let params = CertificateParams::new(names).unwrap();
    let key = KeyPair::generate().unwrap();
    let certificate = params.self_signed(&key).unwrap();
    let (pem, key_file) = (dir.join("alice.pem"), dir.join("alice.key"));
    fs::write(&pem, certificate.pem()).unwrap();
    fs::write(&key_file, key.serialize_pem()).unwrap();
    let (pem, key_file) = (pem.display().to_string(), key_file.display().to_string());
    [
        "--tls-ca".into(),
        pem.clone(),
        "--tls-certificate".into(),
        pem,
        "--tls-key".into(),
        key_file,
    ]
}

fn run(tls: &[String], operator: &str) -> (Option<i32>, String) {
    let control = refusing_address().to_string();
    let change = [
        "--control",
        &control,
        "--operator",
        operator,
        "--deadline",
        "200ms",
        "upstream",
        "drain",
        "app1",
        "--base",
        "4",
        "--change-id",
        "01890a5d-ac96-774b-bcce-b302099a8057",
    ];
    let tls = tls.iter().map(String::as_str);
    let args: Vec<_> = tls.chain(change).collect();
    let output = limpetctl(&args);
    (
        output.status.code(),
        String::from_utf8(output.stderr).unwrap(),
    )
}

/// Guards against an operator name that is not in the certificate and is refused
/// only by the control hosts.
#[test]
fn the_operator_must_be_in_the_certificate() {
    let dir = tempfile::tempdir().unwrap();
    let tls = write_certificate(dir.path());
    let (code, text) = run(&tls, "bob");
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("--operator"), "{text}");
    assert!(!text.contains("change id"), "{text}");
}

/// Guards against a printed resend command without the files of mutual TLS, which
/// could not authenticate the operator.
#[test]
fn a_resend_command_names_the_tls_files() {
    let dir = tempfile::tempdir().unwrap();
    let tls = write_certificate(dir.path());
    let (code, text) = run(&tls, "alice");
    assert_eq!(code, Some(5), "{text}");
    for pair in tls.chunks(2) {
        let flag = format!("{}={}", pair[0], pair[1]);
        assert!(text.contains(&flag), "{flag}: {text}");
    }
}
