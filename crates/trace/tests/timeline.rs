//! The timeline of an id, from lines of several processes.

use std::{fmt::Write, time::Duration};

use trace::{ContextWindow, LogCollection, Timeline};

const FLOW: &str = "100.64.0.7:40001-198.18.0.1:443";

/// Start of all processes in the tests, in milliseconds since the Unix epoch.
const EPOCH_MS: i64 = 1_780_000_000_000;

/// Writes the lines of a process whose time of day is off by `step` milliseconds
/// from the uptime `stepped_at` on.
struct Process {
    text: String,
    step: i64,
    stepped_at: i64,
}

impl Process {
    fn start(role: &str, ip: &str, step: i64, stepped_at: i64) -> Self {
        let mut process = Process {
            text: String::new(),
            step,
            stepped_at,
        };
        process.line(
            0,
            "started",
            &format!(r#""role":"{role}","ip":"{ip}","message":"process starts""#),
        );
        process
    }

    fn line(&mut self, up: i64, event: &str, fields: &str) {
        let step = if up >= self.stepped_at { self.step } else { 0 };
        let wall = u64::try_from(EPOCH_MS + up + step).unwrap();
        let wall = std::time::UNIX_EPOCH + Duration::from_millis(wall);
        let time = humantime::format_rfc3339_millis(wall);
        writeln!(
            self.text,
            r#"{{"time":"{time}","up_ms":{up},"event":"{event}",{fields}}}"#
        )
        .unwrap();
    }
}

fn flow(rest: &str) -> String {
    format!(r#""flow":"{FLOW}",{rest}"#)
}

/// A flow that is placed at one agent, passed on to another and broken off.
fn timeline(step: i64, stepped_at: i64) -> Timeline {
    let mut balancer = Process::start("Balancer", "192.0.2.1", 0, 0);
    let placed = flow(r#""copy":0,"agent":"192.0.2.8:7082""#);
    balancer.line(1000, "placed", &placed);
    balancer.line(1006, "taken", &flow(r#""agent":"192.0.2.9:7082""#));
    let mut first = Process::start("Agent", "192.0.2.8", 0, 0);
    let passed = flow(r#""copy":0,"to":"192.0.2.9:7082","full":1"#);
    first.line(1002, "passed_on", &passed);
    let mut second = Process::start("Agent", "192.0.2.9", step, stepped_at);
    let opened = flow(r#""copy":0,"origin":"Passed","busy":3"#);
    second.line(1004, "opened", &opened);
    second.line(1500, "upstream", r#""accepting":0"#);
    balancer.line(1510, "agent", r#""agent":"192.0.2.9:7082","accepting":0"#);
    balancer.line(1511, "agent", r#""agent":"192.0.2.77:7082","accepting":0"#);
    let lost = flow(r#""cause":"upstream_lost_flow""#);
    second.line(1600, "reset", &lost);
    second.line(
        2100,
        "lines_left_out",
        r#""counts":{"opened":17,"routes":1}"#,
    );
    let mut logs = LogCollection::default();
    for (name, process) in [("a2", &second), ("b", &balancer), ("a1", &first)] {
        logs.read_source(name, process.text.as_bytes()).unwrap();
    }
    logs.timeline(FLOW, ContextWindow::default())
}

fn events(timeline: &Timeline) -> Vec<(&str, &str)> {
    let entries = timeline.entries.iter().filter(|entry| entry.concerns);
    let entries = entries.map(|entry| (entry.process.as_str(), entry.event.as_str()));
    entries.collect()
}

/// Guards against a timeline that a stepped or wrong clock puts out of order.
#[test]
fn stepped_clocks_do_not_change_the_order() {
    let cases = [
        ("right clocks", 0, 0, false),
        ("behind since its start", -4000, 0, true),
        ("ahead since its start", 7000, 0, true),
        ("stepped back while it ran", -4000, 1000, false),
        ("stepped ahead while it ran", 9000, 1550, false),
    ];
    for (what, step, stepped_at, corrected) in cases {
        let timeline = timeline(step, stepped_at);
        let expected = [
            ("b", "placed"),
            ("a1", "passed_on"),
            ("a2", "opened"),
            ("b", "taken"),
            ("a2", "reset"),
        ];
        assert_eq!(events(&timeline), expected, "{what}");
        assert_eq!(!timeline.corrected.is_empty(), corrected, "{what}");
    }
}

/// Guards against an outcome that does not name what ended the flow.
#[test]
fn the_outcome_is_the_last_decision() {
    let timeline = timeline(0, 0);
    let outcome = timeline.outcome();
    assert!(outcome.starts_with("reset by a2"), "{outcome}");
    assert!(outcome.contains("cause=upstream_lost_flow"), "{outcome}");
}

/// Guards against a gap in the lines that looks like a gap in what happened.
#[test]
fn lines_that_were_left_out_are_told() {
    assert_eq!(timeline(0, 0).left_out, ["opened"]);
}

/// Guards against a change of belief that is missing between the decisions.
#[test]
fn beliefs_of_the_processes_involved_are_shown() {
    let timeline = timeline(0, 0);
    let beliefs = timeline.entries.iter().filter(|entry| !entry.concerns);
    let beliefs: Vec<&str> = beliefs.map(|entry| entry.event.as_str()).collect();
    assert!(beliefs.contains(&"upstream"), "{beliefs:?}");
    // Only what it believes of an agent that is involved.
    let agents = beliefs.iter().filter(|event| **event == "agent");
    assert_eq!(agents.count(), 1, "{beliefs:?}");
}

/// Guards against runs of a restarted process that are taken for one.
#[test]
fn a_restart_begins_a_new_run() {
    let mut process = Process::start("Agent", "192.0.2.9", 0, 0);
    process.line(5000, "opened", &flow(r#""copy":0"#));
    let again = Process::start("Agent", "192.0.2.9", 0, 0);
    let text = format!("{}{}", process.text, again.text);
    let mut logs = LogCollection::default();
    logs.read_source("a", text.as_bytes()).unwrap();
    let timeline = logs.timeline(FLOW, ContextWindow::default());
    assert_eq!(events(&timeline), [("a", "opened")]);
    assert!(timeline.entries.iter().all(|entry| entry.at_ms <= 0));
}

/// Guards against a collection that fails on lines in another format.
#[test]
fn unrecognized_lines_are_counted() {
    let mut logs = LogCollection::default();
    let text = "plain text\n{\"time\":\"noon\"}\n\n[1,2]\n{\"half\":";
    logs.read_source("x", text.as_bytes()).unwrap();
    assert_eq!(logs.unrecognized_lines(), 4);
    assert_eq!(
        logs.timeline(FLOW, ContextWindow::default()),
        Timeline::default()
    );
}
