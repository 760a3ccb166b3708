//! One run of a process.

use std::time::Duration;

use crate::LogLine;

/// One run of a process, from its start to its end.
#[derive(Debug, Clone)]
pub struct Incarnation {
    /// Source of its lines.
    pub name: String,
    /// Its host's address, if its first line says so.
    pub ip: Option<String>,
    /// What the process does, if its first line says so.
    pub role: Option<String>,
    /// Its lines in the order in which they were written; never empty.
    pub lines: Vec<LogLine>,
    /// Milliseconds to add to its times so that they agree with the others'.
    pub(crate) shift_ms: i64,
}

impl Incarnation {
    /// A run that begins with this line.
    pub(crate) fn begin(name: &str, line: LogLine) -> Self {
        let started = line.event == STARTED;
        Incarnation {
            name: name.to_owned(),
            ip: line.text("ip").filter(|_| started).map(str::to_owned),
            role: line.text("role").filter(|_| started).map(str::to_owned),
            lines: vec![line],
            shift_ms: 0,
        }
    }

    /// Whether a line was written by a later run of the process.
    pub(crate) fn is_over_at(&self, line: &LogLine) -> bool {
        let last = self.lines.last().and_then(|last| last.up_ms);
        line.event == STARTED || line.up_ms < last
    }

    /// When a line was written: the time of day at the start of the run, and
    /// the steady clock from then on.
    pub(crate) fn at_ms(&self, line: &LogLine) -> i64 {
        let first = &self.lines[0];
        let wall = |line: &LogLine| line.wall().unwrap_or(Duration::ZERO).as_millis();
        let at = match (first.up_ms, line.up_ms) {
            (Some(from), Some(to)) => wall(first) + u128::from(to.saturating_sub(from)),
            _ => wall(line),
        };
        i64::try_from(at).unwrap_or(i64::MAX) + self.shift_ms
    }
}

/// The kind of a process's first line.
const STARTED: &str = "started";
