//! Timelines from the logs of several processes.

use std::{fmt::Write, time::Duration};

use trace::{ContextWindow, LogCollection, Timeline};

const FLOW: &str = "100.64.0.7:40001-198.18.0.1:443";

/// Start of all processes in Unix milliseconds.
const START_TIME_MS: i64 = 1_780_000_000_000;

/// Writes the log of a process whose wall clock is wrong by `step_ms` from the
/// uptime `stepped_at_ms` on.
struct ProcessLog {
    text: String,
    step_ms: i64,
    stepped_at_ms: i64,
}

impl ProcessLog {
    fn start(role: &str, ip: &str, step_ms: i64, stepped_at_ms: i64) -> Self {
        let mut process = ProcessLog {
            text: String::new(),
            step_ms,
            stepped_at_ms,
        };
        process.write_line(
            0,
            "started",
            &format!(r#""role":"{role}","ip":"{ip}","message":"process starts""#),
        );
        process
    }

    fn write_line(&mut self, up: i64, event: &str, fields: &str) {
        let step_ms = if up >= self.stepped_at_ms {
            self.step_ms
        } else {
            0
        };
        let unix_time = u64::try_from(START_TIME_MS + up + step_ms).unwrap();
        let unix_time = std::time::UNIX_EPOCH + Duration::from_millis(unix_time);
        let time = humantime::format_rfc3339_millis(unix_time);
        writeln!(
            self.text,
            r#"{{"time":"{time}","up_ms":{up},"event":"{event}",{fields}}}"#
        )
        .unwrap();
    }
}

fn flow_fields(rest: &str) -> String {
    format!(r#""flow":"{FLOW}",{rest}"#)
}

/// The timeline of a flow that a balancer places at one agent, which passes it on
/// to another, which resets it.
fn timeline(step_ms: i64, stepped_at_ms: i64) -> Timeline {
    let mut balancer = ProcessLog::start("Balancer", "192.0.2.1", 0, 0);
    let placed = flow_fields(r#""copy":0,"agent":"192.0.2.8:7082""#);
    balancer.write_line(1000, "placed", &placed);
    balancer.write_line(1006, "taken", &flow_fields(r#""agent":"192.0.2.9:7082""#));
    let mut first = ProcessLog::start("Agent", "192.0.2.8", 0, 0);
    let passed = flow_fields(r#""copy":0,"to":"192.0.2.9:7082","full":1"#);
    first.write_line(1002, "passed_on", &passed);
    let mut second = ProcessLog::start("Agent", "192.0.2.9", step_ms, stepped_at_ms);
    let opened = flow_fields(r#""copy":0,"origin":"Passed","busy":3"#);
    second.write_line(1004, "opened", &opened);
    second.write_line(
        1499,
        "queued",
        r#""flow":"100.64.0.8:9-198.18.0.1:443","waiting":3"#,
    );
    second.write_line(1500, "upstream", r#""accepting":0"#);
    balancer.write_line(1510, "agent", r#""agent":"192.0.2.9:7082","accepting":0"#);
    balancer.write_line(1511, "agent", r#""agent":"192.0.2.77:7082","accepting":0"#);
    let lost = flow_fields(r#""cause":"upstream_lost_flow""#);
    second.write_line(1600, "reset", &lost);
    second.write_line(
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

/// Guards against a timeline that is out of order because a wall clock was wrong
/// or stepped.
#[test]
fn stepped_clocks_do_not_change_the_order() {
    let cases = [
        ("right clocks", 0, 0, false),
        ("behind since its start", -4000, 0, true),
        ("ahead since its start", 7000, 0, true),
        ("stepped back while it ran", -4000, 1000, false),
        ("stepped ahead while it ran", 9000, 1550, false),
    ];
    for (what, step_ms, stepped_at_ms, corrected) in cases {
        let timeline = timeline(step_ms, stepped_at_ms);
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

/// Guards against an outcome that is not the event that ended the flow.
#[test]
fn the_outcome_is_the_last_decision() {
    let timeline = timeline(0, 0);
    let outcome = timeline.outcome();
    assert!(outcome.starts_with("reset by a2"), "{outcome}");
    assert!(outcome.contains("cause=upstream_lost_flow"), "{outcome}");
}

/// Guards against suppressed lines that look as if nothing had happened.
#[test]
fn suppressed_kinds_are_reported() {
    assert_eq!(timeline(0, 0).left_out, ["opened"]);
}

/// Guards against a missing line on a state that the decisions depend on.
#[test]
fn states_of_the_processes_involved_are_shown() {
    let timeline = timeline(0, 0);
    let states = timeline.entries.iter().filter(|entry| !entry.concerns);
    let states: Vec<&str> = states.map(|entry| entry.event.as_str()).collect();
    assert!(states.contains(&"upstream"), "{states:?}");
    // Only the state of the agent that is involved.
    let agents = states.iter().filter(|event| **event == "agent");
    assert_eq!(agents.count(), 1, "{states:?}");
    // Not the flows of others, which are many while the cause is the same for all.
    assert!(!states.contains(&"queued"), "{states:?}");
}

/// Guards against taking the incarnations of a restarted process for one.
#[test]
fn a_restart_begins_a_new_incarnation() {
    let mut process = ProcessLog::start("Agent", "192.0.2.9", 0, 0);
    process.write_line(5000, "opened", &flow_fields(r#""copy":0"#));
    let again = ProcessLog::start("Agent", "192.0.2.9", 0, 0);
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

/// Guards against failures that are counted twice, assigned to the wrong agent or second,
/// or missing in the total.
#[test]
fn failures_are_grouped_by_what_they_share() {
    // The agent's clock is 5 s behind.
    let mut balancer = ProcessLog::start("Balancer", "192.0.2.1", 0, 0);
    let mut agent = ProcessLog::start("Agent", "192.0.2.8", -5000, 0);
    let flow = |caller: u8, port: u16| format!("100.64.0.{caller}:{port}-198.18.0.1:443");
    let fields = |port| format!(r#""flow":"{}","copy":0,"#, flow(7, port));
    for port in 0..6 {
        let placed = fields(port) + r#""agent":"192.0.2.8:7082""#;
        balancer.write_line(900, "placed", &placed);
        agent.write_line(901, "opened", &(fields(port) + r#""origin":"Placed""#));
    }
    for (up, port) in [1500, 2100]
        .into_iter()
        .flat_map(|up| (0..6).map(move |port| (up, port)))
    {
        let causes = ["upstream_restarted", "no_slot_in_time"];
        let cause = causes[usize::from(port >= 3)];
        agent.write_line(
            up,
            "reset",
            &(fields(port) + &format!(r#""cause":"{cause}""#)),
        );
    }
    // A balancer logs a reset without the agent at which it placed the flow.
    let last = flow(9, 1);
    let placed = format!(r#""flow":"{last}","copy":0,"agent":"192.0.2.8:7082""#);
    balancer.write_line(1200, "placed", &placed);
    let reset = format!(r#""flow":"{last}","cause":"no_slot_in_time""#);
    balancer.write_line(1900, "reset", &reset);
    balancer.write_line(2000, "lines_left_out", r#""counts":{"reset":4,"placed":9}"#);
    let mut logs = LogCollection::default();
    logs.read_source("balancer", balancer.text.as_bytes())
        .unwrap();
    logs.read_source("agent", agent.text.as_bytes()).unwrap();
    let groups = logs.failure_groups();
    let second = "2026-05-28T20:26:41Z";
    let found: Vec<_> = groups
        .groups
        .iter()
        .map(|group| {
            let key = &group.key;
            assert_eq!((key.agent.as_str(), key.second.as_str()), ("agent", second));
            assert_eq!(key.route, "198.18.0.1:443");
            (key.cause.as_str(), group.failures, group.callers)
        })
        .collect();
    let expected = [("no_slot_in_time", 4, 2), ("upstream_restarted", 3, 1)];
    assert_eq!(found, expected);
    assert_eq!((groups.failures, groups.left_out), (7, 4));
    let group = groups.group_of(&last).unwrap();
    assert!((group.percent - 57.1).abs() < 1e-9, "{group:?}");
    let largest = group.largest_caller.as_ref().unwrap();
    assert_eq!(
        (largest.address.as_str(), largest.failures),
        ("100.64.0.7", 3)
    );
    assert_eq!(groups.group_of("100.64.0.9:2-198.18.0.1:443"), None);
}
