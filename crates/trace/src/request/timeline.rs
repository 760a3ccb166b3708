//! The timeline of a flow or request.

use std::time::Duration;

use serde::Serialize;

/// The time range around the lines of an id in which other lines of the
/// processes involved are shown too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContextWindow {
    /// Time before the first and after the last line of the id.
    pub margin: Duration,
}

impl Default for ContextWindow {
    fn default() -> Self {
        ContextWindow {
            margin: Duration::from_secs(2),
        }
    }
}

/// A log line of a timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TimelineEntry {
    /// Milliseconds after the first line of the id; negative before it.
    pub at_ms: i64,
    /// Name of the log source.
    pub process: String,
    /// Name of the event.
    pub event: String,
    /// Message of the line.
    pub message: String,
    /// Fields of the line, as `name=value`.
    pub inputs: String,
    /// Whether the line mentions the id; otherwise it reports the state of a
    /// process at that time.
    pub concerns: bool,
}

/// The log lines of one flow or request in causal order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Timeline {
    /// The lines, ordered by corrected time.
    pub entries: Vec<TimelineEntry>,
    /// Log sources whose wall clock was wrong, with the milliseconds that were
    /// added to correct it.
    pub corrected: Vec<(String, i64)>,
    /// Kinds of lines of this id that may be missing, because the rate limit of
    /// a log suppressed lines of these kinds at that time.
    pub left_out: Vec<String>,
}

impl Timeline {
    /// Describes the last line of the id that has an outcome event.
    #[must_use]
    pub fn outcome(&self) -> String {
        let has_outcome = |entry: &&TimelineEntry| {
            entry.concerns && OUTCOME_EVENTS.contains(&entry.event.as_str())
        };
        let Some(last) = self.entries.iter().rev().find(has_outcome) else {
            return "no process logged an outcome: its datagrams reached no balancer, or the log \
                    lines were suppressed"
                .to_owned();
        };
        format!("{} by {}: {}", last.event, last.process, last.inputs)
    }
}

/// Events that decide how a flow or request goes on or ends.
pub(crate) const OUTCOME_EVENTS: [&str; 9] = [
    "placed",
    "opened",
    "passed_on",
    "taken",
    "bounced",
    "reset",
    "dropped",
    "tried",
    "refused",
];
