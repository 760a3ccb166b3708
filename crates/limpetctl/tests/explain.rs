//! `limpetctl explain` on log files.

mod common;

use std::fs;

use common::limpetctl;
use tempfile::TempDir;

const FLOW: &str = "100.64.0.7:40001-198.18.0.1:443";

/// Writes the logs of a balancer and an agent and returns their paths.
fn logs(dir: &TempDir) -> [String; 2] {
    let balancer = r#"{"time":"2026-12-04T10:00:00.000Z","up_ms":0,"event":"started","role":"Balancer","ip":"192.0.2.1","message":"process starts"}
{"time":"2026-12-04T10:00:01.000Z","up_ms":1000,"event":"placed","flow":"FLOW","copy":0,"agent":"192.0.2.9:7082","message":"new flow placed"}
"#;
    let agent = r#"{"time":"2026-12-04T09:59:57.000Z","up_ms":0,"event":"started","role":"Agent","ip":"192.0.2.9","message":"process starts"}
{"time":"2026-12-04T09:59:58.002Z","up_ms":1002,"event":"reset","flow":"FLOW","cause":"no_agent","message":"flow broken off"}
{"time":"2026-12-04T09:59:58.002Z","up_ms":1002,"event":"opened","flow":"FLOW","copy":0,"message":"new flow given to the upstream"}
"#;
    [("balancer", balancer), ("agent", agent)].map(|(name, text)| {
        let path = dir.path().join(format!("{name}.log"));
        fs::write(&path, text.replace("FLOW", FLOW)).unwrap();
        path.display().to_string()
    })
}

fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let output = limpetctl(args);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// Guards against a timeline without one of the processes, the clock correction
/// or the outcome, in both output formats.
#[test]
fn a_flow_is_explained_from_the_files_of_two_processes() {
    let dir = tempfile::tempdir().unwrap();
    let [balancer, agent] = logs(&dir);
    let (code, text, _) = run(&["explain", FLOW, &agent, &balancer]);
    assert_eq!(code, Some(0));
    for part in [
        "0 ms",
        "placed",
        "cause=no_agent",
        "clock of ",
        "outcome: opened by agent",
    ] {
        assert!(text.contains(part), "{part} is missing:\n{text}");
    }
    let (code, text, _) = run(&["--output", "json", "explain", FLOW, &agent, &balancer]);
    assert_eq!(code, Some(0));
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["entries"][0]["event"], "started");
    assert_eq!(value["id"], FLOW);
}

/// Guards against groups without a count, a share or a cause, against a flow whose group
/// is not shown, and against logs without failures that are reported as an error.
#[test]
fn failures_are_grouped() {
    let dir = tempfile::tempdir().unwrap();
    let [balancer, agent] = logs(&dir);
    let mut text = String::new();
    for args in [
        &["explain", "--groups", &agent, &balancer][..],
        &["--output", "json", "explain", "--groups", &agent, &balancer],
        &["explain", FLOW, &agent, &balancer],
        &["explain", "--groups", &balancer],
    ] {
        let (code, stdout, stderr) = run(args);
        let args = args
            .join(" ")
            .replace(&dir.path().display().to_string(), "logs");
        let session = format!("$ limpetctl {args}\n{stdout}{stderr}exit code {code:?}\n\n");
        text.push_str(&session);
    }
    insta::assert_snapshot!(text);
}

/// Guards against an unknown id or a missing file that is reported as a success.
#[test]
fn an_unknown_id_or_file_fails_with_the_reason() {
    let dir = tempfile::tempdir().unwrap();
    let [balancer, _] = logs(&dir);
    let cases = [
        (
            ["explain", "nothing", &balancer],
            "no log line mentions nothing",
        ),
        (
            ["explain", FLOW, "/nonexistent.log"],
            "cannot read /nonexistent.log",
        ),
    ];
    for (args, reason) in cases {
        let (code, _, message) = run(&args);
        assert_eq!(code, Some(1), "{args:?}");
        assert!(message.contains(reason), "{message}");
    }
}
