//! Who may ask for what, and what a certificate says.

use auth::{CertificateIdentity, DenyReason, ServerKind, authorize_author, authorize_path};
use rcgen::{CertificateParams, KeyPair};

const STRANGER: &[&str] = &["app1.example"];
const CONTROL: &[&str] = &["control.limpetplank.internal"];
const NODE: &[&str] = &["node.limpetplank.internal"];
const OPERATOR: &[&str] = &["alice.operator.limpetplank.internal"];

/// Roles in the order of the columns of [`TABLE`].
const ROLES: [&[&str]; 4] = [STRANGER, CONTROL, NODE, OPERATOR];

const YES: Result<(), DenyReason> = Ok(());
const NO: Result<(), DenyReason> = Err(DenyReason::Role);
const NOBODY: Result<(), DenyReason> = Err(DenyReason::Path);

type Row = (ServerKind, &'static str, [Result<(), DenyReason>; 4]);

/// Every path and every role.
const TABLE: &[Row] = &[
    (ServerKind::Control, "/v1/consensus", [NO, YES, NO, NO]),
    (ServerKind::Control, "/v1/hello", [NO, YES, NO, YES]),
    (ServerKind::Control, "/v1/sync", [NO, NO, YES, NO]),
    (ServerKind::Control, "/v1/change", [NO, NO, NO, YES]),
    (ServerKind::Control, "/v1/query", [NO, NO, NO, YES]),
    (ServerKind::Control, "/v1/group", [NO, NO, NO, YES]),
    (ServerKind::Control, "/", [NOBODY; 4]),
    (ServerKind::Control, "/v1/%63hange", [NOBODY; 4]),
    (ServerKind::Control, "/v1/change/", [NOBODY; 4]),
    (ServerKind::Control, "/v1/reserve", [NOBODY; 4]),
    (ServerKind::Peer, "/v1/reserve", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/release", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/offer", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/begin", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/end", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/claim/1", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/change", [NO, NO, YES, NO]),
];

/// Guards against a path that is open to the wrong role, or closed to the
/// right one, and against a path without a rule that is open.
#[test]
fn every_path_and_every_role() {
    for (port, path, expected) in TABLE {
        for (names, expected) in ROLES.iter().zip(expected) {
            let identity = CertificateIdentity::from_dns_names(names.iter().copied());
            assert_eq!(
                authorize_path(*port, path, &identity),
                *expected,
                "{path} {names:?}"
            );
        }
        let all = CertificateIdentity::from_dns_names(ROLES.concat());
        let any = expected.iter().any(Result::is_ok);
        assert_eq!(
            authorize_path(*port, path, &all).is_ok(),
            any,
            "{path}, all roles"
        );
    }
}

/// Guards against names that only resemble those of a role.
#[test]
fn names_that_say_nothing() {
    for name in [
        "",
        "limpetplank.internal",
        "operator.limpetplank.internal",
        ".operator.limpetplank.internal",
        "*.operator.limpetplank.internal",
        "*.limpetplank.internal",
        "xcontrol.limpetplank.internal",
        "a.control.limpetplank.internal",
        "node.limpetplank.internal.example",
        "nodeXlimpetplank.internal",
        "control.limpetplank.example",
        "alice.operatorXlimpetplank.internal",
    ] {
        assert_eq!(
            CertificateIdentity::from_dns_names([name]),
            CertificateIdentity::default(),
            "{name}"
        );
    }
}

/// Guards against a change in the name of another operator.
#[test]
fn an_author_is_a_name_of_the_certificate() {
    let names = CertificateIdentity::from_dns_names(OPERATOR.iter().copied());
    let cases = [
        ("alice", Ok(())),
        ("bob", Err(DenyReason::Author)),
        ("Alice", Err(DenyReason::Author)),
        ("alice.operator", Err(DenyReason::Author)),
    ];
    for (author, expected) in cases {
        let author = author.parse().unwrap();
        assert_eq!(authorize_author(&author, &names), expected, "{author}");
        let node = CertificateIdentity::from_dns_names(NODE.iter().copied());
        assert_eq!(authorize_author(&author, &node), Err(DenyReason::Author));
    }
}

/// Guards against names that are lost or taken from elsewhere between the
/// certificate and the decision.
#[test]
fn a_certificate_is_read() {
    let mut names: Vec<String> = ROLES.concat().iter().map(ToString::to_string).collect();
    names.push("127.0.0.1".into());
    let mut params = CertificateParams::new(names).unwrap();
    // The subject is free text and must not count.
    let subject = "bob.operator.limpetplank.internal";
    params
        .distinguished_name
        .push(rcgen::DnType::CommonName, subject);
    let certificate = params.self_signed(&KeyPair::generate().unwrap()).unwrap();
    let identity = CertificateIdentity::from_certificate(certificate.der());
    assert_eq!(
        identity,
        CertificateIdentity::from_dns_names(ROLES.concat())
    );
    assert_eq!(identity.operators.len(), 1);
    assert_eq!(
        CertificateIdentity::from_certificate(&vec![1, 2, 3].into()),
        CertificateIdentity::default()
    );
}
