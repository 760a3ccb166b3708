//! Sessions of `limpetctl check`, with every finding and exit code.

mod common;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use common::{Session, refusing_address};
use document::{CONFIG_PATH, EVACUATIONS_PATH};
use insta::assert_snapshot;

/// Starts a fake operators' interface that answers each path with a status and body.
fn operators_interface(answers: &[(&str, u16, &'static str)]) -> SocketAddr {
    let answers = answers
        .iter()
        .map(|&(path, status, body)| (path.to_owned(), status, body));
    let answers: Vec<_> = answers.collect();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // The requests have no body and are far smaller than one segment.
            let mut buf = [0; 4096];
            let len = stream.read(&mut buf).unwrap();
            let request = String::from_utf8_lossy(&buf[..len]).into_owned();
            let path = request.split(' ').nth(1).unwrap_or_default();
            let answer = answers.iter().find(|(at, ..)| at == path);
            let (status, body) = answer.map_or((404, "{}"), |(_, status, body)| (*status, *body));
            let body = body.strip_prefix('@').map_or(body.to_owned(), |file| {
                fs::read_to_string(format!("tests/documents/{file}")).unwrap()
            });
            let len = body.len();
            let head = format!(
                "HTTP/1.1 {status} status\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n"
            );
            stream.write_all((head + &body).as_bytes()).unwrap();
        }
    });
    address
}

/// Runs `limpetctl check` on a document of the tests.
fn check(session: &mut Session, args: &str) {
    session.run_printed(&format!("limpetctl check tests/documents/{args}"));
}

/// Guards against findings that are missing, misplaced or of the wrong severity, and
/// against documents without any that are not passed.
#[test]
fn findings_of_documents() {
    let mut s = Session::new(&[]);
    for args in [
        "good.json",
        "good.json --json",
        "warnings.json",
        "errors.json",
        "errors.json --output json",
        "type.json",
        "missing.json",
    ] {
        check(&mut s, args);
    }
    assert_snapshot!(s.text);
}

/// Guards against differences of text that are reported as changes, against changes that
/// are missed, and against evacuations that are not taken into account.
#[test]
fn differences_from_the_version_in_force() {
    let varna = format!("{EVACUATIONS_PATH}/varna");
    let control = operators_interface(&[
        (CONFIG_PATH, 200, "@same.json"),
        (EVACUATIONS_PATH, 200, r#"{"evacuated": ["varna"]}"#),
        (
            &varna,
            200,
            r#"{"evacuated": true, "services": ["vouchers-next", "intake"]}"#,
        ),
    ]);
    let empty = operators_interface(&[(EVACUATIONS_PATH, 200, r#"{"evacuated": []}"#)]);
    let mut s = Session::new(&[]);
    s.redact_as(control, "CONTROL");
    s.redact_as(empty, "EMPTY");
    for args in [
        format!("good.json --against {control}"),
        format!("changed.json --against {control}"),
        format!("changed.json --against {control} --json"),
        format!("warnings.json --against {control}"),
        format!("good.json --against {empty}"),
    ] {
        check(&mut s, &args);
    }
    assert_snapshot!(s.text);
}

/// Guards against a document that is passed although it was not compared, and against a
/// host that does not answer hiding the findings of the document.
#[test]
fn a_control_host_that_does_not_answer() {
    let refusing = refusing_address();
    let cases = [
        operators_interface(&[(CONFIG_PATH, 503, "{}")]),
        operators_interface(&[(CONFIG_PATH, 307, "")]),
        operators_interface(&[(CONFIG_PATH, 200, "[]")]),
    ];
    let mut s = Session::new(&[]);
    s.redact_as(refusing, "REFUSING");
    check(
        &mut s,
        &format!("warnings.json --against {refusing} --json"),
    );
    for control in cases {
        s.redact_as(control, "CONTROL");
        check(
            &mut s,
            &format!("good.json --against {control} --deadline 500ms"),
        );
    }
    assert_snapshot!(s.text);
}
