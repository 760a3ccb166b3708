//! The lines of all processes.

use std::{
    collections::BTreeSet,
    io::{BufRead, BufReader, Read},
};

use super::{Incarnation, clock};
use crate::{ContextWindow, Error, LogLine, Result, Timeline, TimelineEntry, request::DECISIVE};

/// The lines of all processes.
#[derive(Debug, Default)]
pub struct LogCollection {
    runs: Vec<Incarnation>,
    /// Lines that are not in the form of this project.
    unrecognized_lines: u64,
}

impl LogCollection {
    /// Takes the lines of a source, which may hold several runs of a process.
    ///
    /// # Errors
    ///
    /// The source cannot be read.
    pub fn read_source(&mut self, name: &str, source: impl Read) -> Result<()> {
        let mut run: Option<Incarnation> = None;
        for text in BufReader::new(source).split(b'\n') {
            let text = text.map_err(|source| Error {
                source_name: name.to_owned(),
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
            match &mut run {
                Some(run) if !run.is_over_at(&line) => run.lines.push(line),
                _ => self
                    .runs
                    .extend(run.replace(Incarnation::begin(name, line))),
            }
        }
        self.runs.extend(run);
        Ok(())
    }

    /// Lines that are not in the form of this project.
    #[must_use]
    pub fn unrecognized_lines(&self) -> u64 {
        self.unrecognized_lines
    }

    /// What happened to a flow or request, with what the processes involved
    /// believed around that time.
    #[must_use]
    pub fn timeline(&self, id: &str, window: ContextWindow) -> Timeline {
        let mut runs = self.runs.clone();
        clock::align(&mut runs);
        let hosts = hosts(&runs, id);
        let involved = involved(&runs, id, &hosts);
        let times = runs
            .iter()
            .flat_map(|run| run.lines.iter().map(move |line| (run, line)));
        let times: Vec<i64> = times
            .filter(|(_, line)| line.concerns(id))
            .map(|(run, line)| run.at_ms(line))
            .collect();
        let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) else {
            return Timeline::default();
        };
        let span = i64::try_from(window.margin.as_millis()).unwrap_or(i64::MAX);
        let shown = first.saturating_sub(span)..=last.saturating_add(span);
        let mut timeline = Timeline::default();
        let mut left_out = BTreeSet::new();
        for (n, run) in runs.iter().enumerate() {
            if !involved.contains(&n) {
                continue;
            }
            if run.shift_ms != 0 {
                timeline.corrected.push((run.name.clone(), run.shift_ms));
            }
            for line in &run.lines {
                let at = run.at_ms(line);
                let concerns = line.concerns(id);
                if !shown.contains(&at) || !(concerns || is_belief(line, &hosts)) {
                    continue;
                }
                left_out.extend(kinds_left_out(line));
                timeline.entries.push(TimelineEntry {
                    at_ms: at - first,
                    process: run.name.clone(),
                    event: line.event.clone(),
                    message: line.message.clone(),
                    inputs: line.inputs(),
                    concerns,
                });
            }
        }
        // Stable: lines of one run stay in the order in which they were written.
        timeline.entries.sort_by_key(|entry| entry.at_ms);
        timeline.left_out = left_out.into_iter().collect();
        timeline
    }
}

/// The hosts of the processes that wrote of an id, and those that they name.
fn hosts<'a>(runs: &'a [Incarnation], id: &str) -> BTreeSet<&'a str> {
    let mut hosts = BTreeSet::new();
    for run in runs {
        for line in run.lines.iter().filter(|line| line.concerns(id)) {
            hosts.extend(run.ip.as_deref());
            hosts.extend(NAMING.into_iter().filter_map(|field| line.host(field)));
        }
    }
    hosts
}

/// The runs that wrote of an id, and those at the hosts involved.
fn involved(runs: &[Incarnation], id: &str, hosts: &BTreeSet<&str>) -> BTreeSet<usize> {
    let runs = runs.iter().enumerate().filter(|(_, run)| {
        let at_host = run.ip.as_deref().is_some_and(|ip| hosts.contains(ip));
        at_host || run.lines.iter().any(|line| line.concerns(id))
    });
    runs.map(|(n, _)| n).collect()
}

/// Fields that name a process on another host.
const NAMING: [&str; 3] = ["address", "agent", "to"];

/// Kinds of lines of the search for a flow, and of its datagrams.
const SEARCHING: [&str; 5] = ["searching", "claim", "not_held", "learned", "link_full"];

/// Whether lines of a kind are written for each flow, request or datagram.
fn is_per_flow(kind: &str) -> bool {
    DECISIVE.contains(&kind) || SEARCHING.contains(&kind)
}

/// Whether a line says what a process believes, not what it did with one flow.
/// What it believes of hosts that are not involved is left out.
fn is_belief(line: &LogLine, hosts: &BTreeSet<&str>) -> bool {
    let mut named = NAMING.into_iter().filter_map(|field| line.host(field));
    !is_per_flow(&line.event) && named.all(|host| hosts.contains(host))
}

fn kinds_left_out(line: &LogLine) -> Vec<String> {
    let counts = line.fields.get("counts").and_then(|c| c.as_object());
    let kinds = counts.into_iter().flat_map(|counts| counts.keys());
    kinds.filter(|kind| is_per_flow(kind)).cloned().collect()
}
