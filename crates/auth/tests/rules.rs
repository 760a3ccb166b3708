//! Who may ask for what, and what a certificate says.

use auth::{Names, Port, Refusal, allow, may_author};
use rcgen::{CertificateParams, KeyPair};

const STRANGER: &[&str] = &["app1.example"];
const CONTROL: &[&str] = &["control.limpetplank.internal"];
const NODE: &[&str] = &["node.limpetplank.internal"];
const OPERATOR: &[&str] = &["alice.operator.limpetplank.internal"];

/// Roles in the order of the columns of [`TABLE`].
const ROLES: [&[&str]; 4] = [STRANGER, CONTROL, NODE, OPERATOR];

const YES: Result<(), Refusal> = Ok(());
const NO: Result<(), Refusal> = Err(Refusal::Role);
const NOBODY: Result<(), Refusal> = Err(Refusal::Path);

type Row = (Port, &'static str, [Result<(), Refusal>; 4]);

/// Every path and every role.
const TABLE: &[Row] = &[
    (Port::Control, "/v1/consensus", [NO, YES, NO, NO]),
    (Port::Control, "/v1/hello", [NO, YES, NO, YES]),
    (Port::Control, "/v1/sync", [NO, NO, YES, NO]),
    (Port::Control, "/v1/change", [NO, NO, NO, YES]),
    (Port::Control, "/v1/query", [NO, NO, NO, YES]),
    (Port::Control, "/v1/group", [NO, NO, NO, YES]),
    (Port::Control, "/", [NOBODY; 4]),
    (Port::Control, "/v1/%63hange", [NOBODY; 4]),
    (Port::Control, "/v1/change/", [NOBODY; 4]),
    (Port::Control, "/v1/reserve", [NOBODY; 4]),
    (Port::Peer, "/v1/reserve", [NO, NO, YES, NO]),
    (Port::Peer, "/v1/release", [NO, NO, YES, NO]),
    (Port::Peer, "/v1/offer", [NO, NO, YES, NO]),
    (Port::Peer, "/v1/begin", [NO, NO, YES, NO]),
    (Port::Peer, "/v1/end", [NO, NO, YES, NO]),
    (Port::Peer, "/claim/1", [NO, NO, YES, NO]),
    (Port::Peer, "/v1/change", [NO, NO, YES, NO]),
];

/// Guards against a path that is open to the wrong role, or closed to the
/// right one, and against a path without a rule that is open.
#[test]
fn every_path_and_every_role() {
    for (port, path, expected) in TABLE {
        for (names, expected) in ROLES.iter().zip(expected) {
            let read = Names::read(names.iter().copied());
            assert_eq!(allow(*port, path, &read), *expected, "{path} {names:?}");
        }
        let all = Names::read(ROLES.concat());
        let any = expected.iter().any(Result::is_ok);
        assert_eq!(allow(*port, path, &all).is_ok(), any, "{path}, all roles");
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
        assert_eq!(Names::read([name]), Names::default(), "{name}");
    }
}

/// Guards against a change in the name of another operator.
#[test]
fn an_author_is_a_name_of_the_certificate() {
    let names = Names::read(OPERATOR.iter().copied());
    let cases = [
        ("alice", Ok(())),
        ("bob", Err(Refusal::Author)),
        ("Alice", Err(Refusal::Author)),
        ("alice.operator", Err(Refusal::Author)),
    ];
    for (author, expected) in cases {
        let author = author.parse().unwrap();
        assert_eq!(may_author(&author, &names), expected, "{author}");
        let node = Names::read(NODE.iter().copied());
        assert_eq!(may_author(&author, &node), Err(Refusal::Author));
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
    let read = Names::of(certificate.der());
    assert_eq!(read, Names::read(ROLES.concat()));
    assert_eq!(read.operators.len(), 1);
    assert_eq!(Names::of(&vec![1, 2, 3].into()), Names::default());
}
