//! Tests of the authorization rules and of the identity in a certificate.

use auth::{CertificateIdentity, DenyReason, ServerKind, authorize_author, authorize_path};
use rcgen::{CertificateParams, KeyPair};

const NO_ROLE: &[&str] = &["app1.example"];
const CONTROL: &[&str] = &["control.limpetplank.internal"];
const NODE: &[&str] = &["node.limpetplank.internal"];
const OPERATOR: &[&str] = &["alice.operator.limpetplank.internal"];

/// Roles in the order of the columns of [`DECISIONS`].
const ROLES: [&[&str]; 4] = [NO_ROLE, CONTROL, NODE, OPERATOR];

const YES: Result<(), DenyReason> = Ok(());
const NO: Result<(), DenyReason> = Err(DenyReason::Role);
const UNKNOWN_PATH: Result<(), DenyReason> = Err(DenyReason::Path);

type Row = (ServerKind, &'static str, [Result<(), DenyReason>; 4]);

/// The expected decision for every path and role.
const DECISIONS: &[Row] = &[
    (ServerKind::Control, "/v1/consensus", [NO, YES, NO, NO]),
    (ServerKind::Control, "/v1/hello", [NO, YES, NO, YES]),
    (ServerKind::Control, "/v1/sync", [NO, NO, YES, NO]),
    (ServerKind::Control, "/v1/change", [NO, NO, NO, YES]),
    (ServerKind::Control, "/v1/query", [NO, NO, NO, YES]),
    (ServerKind::Control, "/v1/group", [NO, NO, NO, YES]),
    (ServerKind::Control, "/", [UNKNOWN_PATH; 4]),
    (ServerKind::Control, "/v1/%63hange", [UNKNOWN_PATH; 4]),
    (ServerKind::Control, "/v1/change/", [UNKNOWN_PATH; 4]),
    (ServerKind::Control, "/v1/reserve", [UNKNOWN_PATH; 4]),
    (ServerKind::Peer, "/v1/reserve", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/release", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/offer", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/begin", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/end", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/claim/1", [NO, NO, YES, NO]),
    (ServerKind::Peer, "/v1/change", [NO, NO, YES, NO]),
];

/// Guards against a path that allows the wrong role or denies the right one, and
/// against a path without a rule that is allowed.
#[test]
fn every_path_and_every_role() {
    for (port, path, expected) in DECISIONS {
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

/// Guards against DNS names that resemble that of a role and are accepted.
#[test]
fn unrelated_dns_names_give_no_role() {
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

/// Guards against a change that is attributed to another operator.
#[test]
fn an_author_must_be_an_operator_in_the_certificate() {
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

/// Guards against DNS names that are lost when a certificate is parsed, and against
/// names taken from other fields than the DNS names.
#[test]
fn identity_is_read_from_the_dns_names_of_a_certificate() {
    let mut names: Vec<String> = ROLES.concat().iter().map(ToString::to_string).collect();
    names.push("127.0.0.1".into());
    let mut params = CertificateParams::new(names).unwrap();
    // The subject is free text and must be ignored.
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
