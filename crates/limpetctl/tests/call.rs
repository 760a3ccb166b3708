//! Snapshot of requests to a service, with every exit code of `call`.

#[path = "common/service.rs"]
mod service;

use std::{fmt::Write, net::UdpSocket, process::Command};

use insta::assert_snapshot;

fn call(text: &mut String, line: &str, unrecorded_args: &str) {
    let words = line.split_whitespace();
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .arg("call")
        .args(words)
        .args(unrecorded_args.split_whitespace())
        .output()
        .unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    writeln!(text, "$ limpetctl call {line}\n{stdout}").unwrap();
    for line in String::from_utf8(output.stderr).unwrap().lines() {
        writeln!(text, "stderr: {line}").unwrap();
    }
    writeln!(text, "exit code {}\n", output.status.code().unwrap()).unwrap();
}

/// Guards against reporting a request as not run that may have run, and a
/// truncated answer as complete.
#[test]
fn outcomes() {
    let (address, pem) = service::service();
    let folder = tempfile::tempdir().unwrap();
    let ca = folder.path().join("roots.pem");
    std::fs::write(&ca, pem).unwrap();
    let body = folder.path().join("body");
    std::fs::write(&body, "from a file").unwrap();
    let to = format!("--resolve {address} --deadline 2s");
    let trusted = format!("{to} --ca {}", ca.display());
    let mut text = String::new();
    call(&mut text, "https://vouchers.example/feed -v", &trusted);
    let line = "https://vouchers.example/claim --method POST --header x:1 --body ticket";
    call(&mut text, line, &trusted);
    let file = format!("{trusted} --body @{}", body.display());
    call(
        &mut text,
        "https://vouchers.example/claim --method PUT",
        &file,
    );
    call(&mut text, "https://vouchers.example/ --insecure", &to);
    for path in [
        "moved", "missing", "cut", "not-run", "rejected", "unknown", "reset", "closed",
    ] {
        call(
            &mut text,
            &format!("https://vouchers.example/{path}"),
            &trusted,
        );
    }
    let short = trusted.replace("2s", "500ms");
    call(&mut text, "https://vouchers.example/silent", &short);
    call(&mut text, "https://intake.example/", &trusted);
    // A socket that never answers.
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let silent = format!(
        "--resolve {} --deadline 500ms",
        socket.local_addr().unwrap()
    );
    call(&mut text, "https://vouchers.example/ --insecure", &silent);
    assert_snapshot!(text);
}
