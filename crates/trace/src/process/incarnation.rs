//! The log lines of one incarnation of a process.

use std::time::Duration;

use crate::LogLine;

/// The log lines of a process from its start to its end.
#[derive(Debug, Clone)]
pub struct Incarnation {
    /// Name of the log source.
    pub source_name: String,
    /// Address of the host, if the first line is a start event.
    pub ip: Option<String>,
    /// Role of the process, if the first line is a start event.
    pub role: Option<String>,
    /// The lines in the order in which they were written; never empty.
    pub lines: Vec<LogLine>,
    /// Milliseconds to add to wall-clock times so that they agree with those of
    /// the other incarnations.
    pub(crate) clock_correction_ms: i64,
}

impl Incarnation {
    /// Creates an incarnation from its first line.
    pub(crate) fn from_first_line(source_name: &str, line: LogLine) -> Self {
        let started = line.event == START_EVENT;
        Incarnation {
            source_name: source_name.to_owned(),
            ip: line.str_field("ip").filter(|_| started).map(str::to_owned),
            role: line
                .str_field("role")
                .filter(|_| started)
                .map(str::to_owned),
            lines: vec![line],
            clock_correction_ms: 0,
        }
    }

    /// Whether a line was written by a later incarnation: it is a start event,
    /// or the uptime went back.
    pub(crate) fn ended_before(&self, line: &LogLine) -> bool {
        let last = self.lines.last().and_then(|last| last.up_ms);
        line.event == START_EVENT || line.up_ms < last
    }

    /// Corrected time of a line in Unix milliseconds: the wall-clock time of the
    /// first line plus the monotonic time since then. Lines without an uptime
    /// use their own wall-clock time.
    pub(crate) fn corrected_time_ms(&self, line: &LogLine) -> i64 {
        let first = &self.lines[0];
        let unix_ms = |line: &LogLine| line.unix_time().unwrap_or(Duration::ZERO).as_millis();
        let at = match (first.up_ms, line.up_ms) {
            (Some(from), Some(to)) => unix_ms(first) + u128::from(to.saturating_sub(from)),
            _ => unix_ms(line),
        };
        i64::try_from(at).unwrap_or(i64::MAX) + self.clock_correction_ms
    }
}

/// Event of the first line of a process.
const START_EVENT: &str = "started";
