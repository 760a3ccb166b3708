//! Collects the logs of several processes.

use std::{
    collections::BTreeSet,
    io::{BufRead, BufReader, Read},
};

use super::{Incarnation, clock_correction};
use crate::{
    ContextWindow, Error, LogLine, Result, Timeline, TimelineEntry, request::OUTCOME_EVENTS,
};

/// The log lines of several processes.
#[derive(Debug, Default)]
pub struct LogCollection {
    pub(super) incarnations: Vec<Incarnation>,
    /// Lines that are not in the log format of this project.
    unrecognized_lines: u64,
}

impl LogCollection {
    /// Adds the lines of a source, which may hold several incarnations of a
    /// process.
    ///
    /// # Errors
    ///
    /// Returns an error if the source cannot be read.
    pub fn read_source(&mut self, source_name: &str, source: impl Read) -> Result<()> {
        let mut incarnation: Option<Incarnation> = None;
        for text in BufReader::new(source).split(b'\n') {
            let text = text.map_err(|source| Error {
                source_name: source_name.to_owned(),
                source,
            })?;
            let text = String::from_utf8_lossy(&text);
            if text.trim().is_empty() {
                continue;
            }
            let Some(line) = LogLine::parse(&text) else {
                self.unrecognized_lines += 1;
                continue;
            };
            match &mut incarnation {
                Some(incarnation) if !incarnation.ended_before(&line) => {
                    incarnation.lines.push(line);
                }
                _ => self
                    .incarnations
                    .extend(incarnation.replace(Incarnation::from_first_line(source_name, line))),
            }
        }
        self.incarnations.extend(incarnation);
        Ok(())
    }

    /// Number of lines read that are not in the log format of this project.
    #[must_use]
    pub fn unrecognized_lines(&self) -> u64 {
        self.unrecognized_lines
    }

    /// Builds the timeline of a flow or request, with lines on the state of the
    /// processes involved within the context window.
    #[must_use]
    pub fn timeline(&self, id: &str, window: ContextWindow) -> Timeline {
        let mut incarnations = self.incarnations.clone();
        clock_correction::correct_clocks(&mut incarnations);
        let hosts = involved_hosts(&incarnations, id);
        let involved = involved_incarnations(&incarnations, id, &hosts);
        let times = incarnations.iter().flat_map(|incarnation| {
            incarnation
                .lines
                .iter()
                .map(move |line| (incarnation, line))
        });
        let times: Vec<i64> = times
            .filter(|(_, line)| line.mentions(id))
            .map(|(incarnation, line)| incarnation.corrected_time_ms(line))
            .collect();
        let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) else {
            return Timeline::default();
        };
        let margin_ms = i64::try_from(window.margin.as_millis()).unwrap_or(i64::MAX);
        let shown_ms = first.saturating_sub(margin_ms)..=last.saturating_add(margin_ms);
        let mut timeline = Timeline::default();
        let mut suppressed = BTreeSet::new();
        for (n, incarnation) in incarnations.iter().enumerate() {
            if !involved.contains(&n) {
                continue;
            }
            if incarnation.clock_correction_ms != 0 {
                timeline.corrected.push((
                    incarnation.source_name.clone(),
                    incarnation.clock_correction_ms,
                ));
            }
            for line in &incarnation.lines {
                let at = incarnation.corrected_time_ms(line);
                let concerns = line.mentions(id);
                if !shown_ms.contains(&at) || !(concerns || is_state_line(line, &hosts)) {
                    continue;
                }
                suppressed.extend(suppressed_kinds(line));
                timeline.entries.push(TimelineEntry {
                    at_ms: at - first,
                    process: incarnation.source_name.clone(),
                    event: line.event.clone(),
                    message: line.message.clone(),
                    inputs: line.inputs(),
                    concerns,
                });
            }
        }
        // The sort is stable: lines of one incarnation that have the same time stay
        // in the order in which they were written.
        timeline.entries.sort_by_key(|entry| entry.at_ms);
        timeline.left_out = suppressed.into_iter().collect();
        timeline
    }
}

/// The hosts of the processes that mention an id, and the hosts that they name
/// in these lines.
fn involved_hosts<'a>(incarnations: &'a [Incarnation], id: &str) -> BTreeSet<&'a str> {
    let mut hosts = BTreeSet::new();
    for incarnation in incarnations {
        for line in incarnation.lines.iter().filter(|line| line.mentions(id)) {
            hosts.extend(incarnation.ip.as_deref());
            hosts.extend(
                ADDRESS_FIELDS
                    .into_iter()
                    .filter_map(|field| line.host_field(field)),
            );
        }
    }
    hosts
}

/// Indices of the incarnations that mention an id or ran on a host involved.
fn involved_incarnations(
    incarnations: &[Incarnation],
    id: &str,
    hosts: &BTreeSet<&str>,
) -> BTreeSet<usize> {
    let incarnations = incarnations.iter().enumerate().filter(|(_, incarnation)| {
        let on_host = incarnation
            .ip
            .as_deref()
            .is_some_and(|ip| hosts.contains(ip));
        on_host || incarnation.lines.iter().any(|line| line.mentions(id))
    });
    incarnations.map(|(n, _)| n).collect()
}

/// Fields with the address of a process on another host.
const ADDRESS_FIELDS: [&str; 3] = ["address", "agent", "to"];

/// Events of single datagrams, and of the search for the agent that holds a
/// flow.
const SEARCH_EVENTS: [&str; 5] = ["searching", "claim", "not_held", "learned", "link_full"];

/// Events of flows and requests that wait.
const WAITING_EVENTS: [&str; 4] = ["queued", "request_queued", "cold_held", "held_by_link"];

/// Whether lines of a kind are logged for each flow, request or datagram.
fn is_per_flow_kind(kind: &str) -> bool {
    OUTCOME_EVENTS.contains(&kind)
        || SEARCH_EVENTS.contains(&kind)
        || WAITING_EVENTS.contains(&kind)
}

/// Whether a line reports the state of a process rather than what it did with
/// one flow. Lines on hosts that are not involved do not count.
fn is_state_line(line: &LogLine, hosts: &BTreeSet<&str>) -> bool {
    let mut named = ADDRESS_FIELDS
        .into_iter()
        .filter_map(|field| line.host_field(field));
    !is_per_flow_kind(&line.event) && named.all(|host| hosts.contains(host))
}

/// The per-flow kinds in a line that reports suppressed lines.
fn suppressed_kinds(line: &LogLine) -> Vec<String> {
    let counts = line.fields.get("counts").and_then(|c| c.as_object());
    let kinds = counts.into_iter().flat_map(|counts| counts.keys());
    kinds
        .filter(|kind| is_per_flow_kind(kind))
        .cloned()
        .collect()
}
