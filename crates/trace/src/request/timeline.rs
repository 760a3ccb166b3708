//! What happened to one flow or request, in order.

use std::time::Duration;

use serde::Serialize;

/// How much of the life of the processes is shown around the lines of an id.
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

/// A line in its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TimelineEntry {
    /// Milliseconds after the first line of the id; negative before it.
    pub at_ms: i64,
    /// Source of the line.
    pub process: String,
    /// The kind of line.
    pub event: String,
    /// What happened.
    pub message: String,
    /// The inputs of the decision.
    pub inputs: String,
    /// Whether it names the id, or tells what a process believed at the time.
    pub concerns: bool,
}

/// What happened to one flow or request.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Timeline {
    /// The lines in order.
    pub entries: Vec<TimelineEntry>,
    /// Sources whose time of day was wrong, and by how many milliseconds.
    pub corrected: Vec<(String, i64)>,
    /// Kinds of lines of this id that may be missing, because processes left
    /// out lines of these kinds at that time.
    pub left_out: Vec<String>,
}

impl Timeline {
    /// What became of it, by the last line that decides.
    #[must_use]
    pub fn outcome(&self) -> String {
        let decisive =
            |entry: &&TimelineEntry| entry.concerns && DECISIVE.contains(&entry.event.as_str());
        let Some(last) = self.entries.iter().rev().find(decisive) else {
            return "no process decided about it; its datagrams reached no balancer, or the lines \
                    were left out"
                .to_owned();
        };
        format!("{} by {}: {}", last.event, last.process, last.inputs)
    }
}

/// Kinds of lines that say what becomes of a flow or request.
pub(crate) const DECISIVE: [&str; 9] = [
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
