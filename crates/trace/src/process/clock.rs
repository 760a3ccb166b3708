//! Whose time of day is wrong, by what processes sent one another.

use std::collections::{BTreeMap, VecDeque};

use super::Incarnation;
use crate::LogLine;

/// Two runs whose times of day differ by less are left as they are: it is above
/// the way between any two hosts, and clocks are never exactly alike.
const TOLERANCE_MS: i64 = 300;

/// What is received comes at least this much after it was sent, so that a
/// corrected clock does not make both happen at once.
const LEAST_MS: i64 = 1;

/// A datagram that is received later than this was not the one that was sent.
const LONGEST_MS: i64 = 120_000;

/// Shortest time from a line of one run to the line of another that follows
/// from it; negative if it seems to come before.
type Delays = BTreeMap<(usize, usize), i64>;

/// Sets the shift of each run whose time of day differs from that of most others.
pub(super) fn align(runs: &mut [Incarnation]) {
    let delays = delays(runs);
    let mut neighbours: BTreeMap<usize, BTreeMap<usize, i64>> = BTreeMap::new();
    for &(from, to) in delays.keys() {
        let ahead = ahead(&delays, from, to);
        neighbours.entry(from).or_default().insert(to, ahead);
        neighbours.entry(to).or_default().insert(from, -ahead);
    }
    // The clock that agrees with most others is taken as right.
    let agreeing = |others: &BTreeMap<usize, i64>| others.values().filter(|a| **a == 0).count();
    let mut roots: Vec<usize> = neighbours.keys().copied().collect();
    roots.sort_by_key(|n| std::cmp::Reverse(agreeing(&neighbours[n])));
    let mut shifts: BTreeMap<usize, i64> = BTreeMap::new();
    for root in roots {
        if shifts.contains_key(&root) {
            continue;
        }
        shifts.insert(root, 0);
        let mut queue = VecDeque::from([root]);
        while let Some(n) = queue.pop_front() {
            for (other, ahead) in &neighbours[&n] {
                if !shifts.contains_key(other) {
                    shifts.insert(*other, shifts[&n] - ahead);
                    queue.push_back(*other);
                }
            }
        }
    }
    for (n, shift) in shifts {
        runs[n].shift_ms = shift;
    }
}

/// By how much the clock of `to` is ahead of that of `from`, if by more than
/// the way between them explains.
fn ahead(delays: &Delays, from: usize, to: usize) -> i64 {
    let there = delays.get(&(from, to));
    let back = delays.get(&(to, from)).map(|delay| -delay);
    let ahead = match (there, back) {
        (Some(there), Some(back)) => i64::midpoint(*there, back),
        (Some(there), None) => there - LEAST_MS,
        (None, Some(back)) => back + LEAST_MS,
        (None, None) => 0,
    };
    if ahead.abs() < TOLERANCE_MS { 0 } else { ahead }
}

fn delays(runs: &[Incarnation]) -> Delays {
    let mut agents: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (n, run) in runs.iter().enumerate() {
        if run.role.as_deref() == Some(AGENT)
            && let Some(ip) = &run.ip
        {
            agents.entry(ip).or_default().push(n);
        }
    }
    let received = received(runs);
    let mut delays = Delays::new();
    for (from, run) in runs.iter().enumerate() {
        for line in &run.lines {
            let Some((host, kind)) = sent(line) else {
                continue;
            };
            for to in agents.get(host).into_iter().flatten() {
                let Some(at) = identity(line).and_then(|id| received.get(&(*to, kind, id))) else {
                    continue;
                };
                let delay = at - run.at_ms(line);
                if *to != from && delay.abs() < LONGEST_MS {
                    let least = delays.entry((from, *to)).or_insert(delay);
                    *least = delay.min(*least);
                }
            }
        }
    }
    delays
}

/// Role of the processes to which flows are sent.
const AGENT: &str = "Agent";

/// How a flow came to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    Placed,
    Passed,
}

/// A flow and the copy of its opening datagram.
type Identity<'a> = (&'a str, u64);

fn identity(line: &LogLine) -> Option<Identity<'_>> {
    Some((line.text("flow")?, line.fields.get("copy")?.as_u64()?))
}

/// The host to which a line says that a flow was sent.
fn sent(line: &LogLine) -> Option<(&str, Way)> {
    match line.event.as_str() {
        "placed" => Some((line.host("agent")?, Way::Placed)),
        "passed_on" => Some((line.host("to")?, Way::Passed)),
        _ => None,
    }
}

/// How the flow of a line had come to the agent that wrote it.
fn came(line: &LogLine) -> Option<Way> {
    match (line.event.as_str(), line.text("origin")) {
        ("opened", Some("Passed")) => Some(Way::Passed),
        ("opened" | "passed_on", _) => Some(Way::Placed),
        _ => None,
    }
}

/// When each run first received a copy of an opening datagram.
fn received(runs: &[Incarnation]) -> BTreeMap<(usize, Way, Identity<'_>), i64> {
    let mut received = BTreeMap::new();
    for (n, run) in runs.iter().enumerate() {
        for line in &run.lines {
            if let (Some(way), Some(id)) = (came(line), identity(line)) {
                received.entry((n, way, id)).or_insert(run.at_ms(line));
            }
        }
    }
    received
}
