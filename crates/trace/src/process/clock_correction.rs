//! Finds and corrects wrong wall clocks, from the order of sends and receipts.

use std::collections::{BTreeMap, VecDeque};

use super::Incarnation;
use crate::LogLine;

/// Smaller differences between two clocks are not corrected: this is more than
/// the network delay between any two hosts, and clocks never agree exactly.
const MIN_CORRECTION_MS: i64 = 300;

/// Assumed minimum from a send to its receipt, so that a corrected clock does
/// not give both the same time.
const MIN_DELAY_MS: i64 = 1;

/// A receipt whose time differs more than this from a send belongs to another
/// datagram.
const MAX_DELAY_MS: i64 = 120_000;

/// Shortest time in milliseconds from a send in one incarnation to its receipt
/// in another, by their indices; negative if the receipt seems to come first.
type MinDelays = BTreeMap<(usize, usize), i64>;

/// Sets the clock correction of each incarnation whose wall clock differs from
/// that of most others.
pub(super) fn correct_clocks(incarnations: &mut [Incarnation]) {
    let delays = min_delays(incarnations);
    let mut neighbours: BTreeMap<usize, BTreeMap<usize, i64>> = BTreeMap::new();
    for &(from, to) in delays.keys() {
        let offset = clock_offset_ms(&delays, from, to);
        neighbours.entry(from).or_default().insert(to, offset);
        neighbours.entry(to).or_default().insert(from, -offset);
    }
    // The clock that agrees with the most others is taken as correct.
    let agreement_count =
        |others: &BTreeMap<usize, i64>| others.values().filter(|offset| **offset == 0).count();
    let mut roots: Vec<usize> = neighbours.keys().copied().collect();
    roots.sort_by_key(|n| std::cmp::Reverse(agreement_count(&neighbours[n])));
    let mut corrections: BTreeMap<usize, i64> = BTreeMap::new();
    for root in roots {
        if corrections.contains_key(&root) {
            continue;
        }
        corrections.insert(root, 0);
        let mut queue = VecDeque::from([root]);
        while let Some(n) = queue.pop_front() {
            for (other, offset) in &neighbours[&n] {
                if !corrections.contains_key(other) {
                    corrections.insert(*other, corrections[&n] - offset);
                    queue.push_back(*other);
                }
            }
        }
    }
    for (n, correction) in corrections {
        incarnations[n].clock_correction_ms = correction;
    }
}

/// Milliseconds by which the clock of `to` is ahead of that of `from`; 0 if the
/// network delay may explain the difference.
fn clock_offset_ms(delays: &MinDelays, from: usize, to: usize) -> i64 {
    let forward = delays.get(&(from, to));
    let backward = delays.get(&(to, from)).map(|delay| -delay);
    let offset = match (forward, backward) {
        (Some(forward), Some(backward)) => i64::midpoint(*forward, backward),
        (Some(forward), None) => forward - MIN_DELAY_MS,
        (None, Some(backward)) => backward + MIN_DELAY_MS,
        (None, None) => 0,
    };
    if offset.abs() < MIN_CORRECTION_MS {
        0
    } else {
        offset
    }
}

fn min_delays(incarnations: &[Incarnation]) -> MinDelays {
    let mut agents: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (n, incarnation) in incarnations.iter().enumerate() {
        if incarnation.role.as_deref() == Some(AGENT_ROLE)
            && let Some(ip) = &incarnation.ip
        {
            agents.entry(ip).or_default().push(n);
        }
    }
    let received = receive_times(incarnations);
    let mut delays = MinDelays::new();
    for (from, incarnation) in incarnations.iter().enumerate() {
        for line in &incarnation.lines {
            let Some((host, hop)) = sent_to(line) else {
                continue;
            };
            for to in agents.get(host).into_iter().flatten() {
                let Some(at) = datagram_key(line).and_then(|key| received.get(&(*to, hop, key)))
                else {
                    continue;
                };
                let delay = at - incarnation.corrected_time_ms(line);
                if *to != from && delay.abs() < MAX_DELAY_MS {
                    let min_delay = delays.entry((from, *to)).or_insert(delay);
                    *min_delay = delay.min(*min_delay);
                }
            }
        }
    }
    delays
}

/// Role of the processes that receive flows.
pub(super) const AGENT_ROLE: &str = "Agent";

/// The hop by which an opening datagram reaches an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Hop {
    BalancerToAgent,
    AgentToAgent,
}

/// The flow and the copy number of an opening datagram.
type DatagramKey<'a> = (&'a str, u64);

fn datagram_key(line: &LogLine) -> Option<DatagramKey<'_>> {
    Some((line.str_field("flow")?, line.fields.get("copy")?.as_u64()?))
}

/// The host to which a flow was sent by the event of this line, and by which
/// hop.
fn sent_to(line: &LogLine) -> Option<(&str, Hop)> {
    match line.event.as_str() {
        "placed" => Some((line.host_field("agent")?, Hop::BalancerToAgent)),
        "passed_on" => Some((line.host_field("to")?, Hop::AgentToAgent)),
        _ => None,
    }
}

/// The hop by which the flow of a line reached the agent that logged it.
fn received_by(line: &LogLine) -> Option<Hop> {
    match (line.event.as_str(), line.str_field("origin")) {
        ("opened", Some("Passed")) => Some(Hop::AgentToAgent),
        ("opened" | "passed_on", _) => Some(Hop::BalancerToAgent),
        _ => None,
    }
}

/// Time at which each incarnation first received a copy of an opening datagram.
fn receive_times(incarnations: &[Incarnation]) -> BTreeMap<(usize, Hop, DatagramKey<'_>), i64> {
    let mut received = BTreeMap::new();
    for (n, incarnation) in incarnations.iter().enumerate() {
        for line in &incarnation.lines {
            if let (Some(hop), Some(key)) = (received_by(line), datagram_key(line)) {
                received
                    .entry((n, hop, key))
                    .or_insert(incarnation.corrected_time_ms(line));
            }
        }
    }
    received
}
