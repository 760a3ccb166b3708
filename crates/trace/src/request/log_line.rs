//! Parses log lines.

use std::time::{Duration, SystemTime};

use serde::Deserialize;
use serde_json::{Map, Value};

/// One log line of a process.
#[derive(Debug, Clone, Deserialize)]
pub struct LogLine {
    /// Wall-clock time in RFC 3339; the clock may be stepped.
    time: String,
    /// Milliseconds since the process started, by the monotonic clock.
    pub up_ms: Option<u64>,
    /// Name of the event; empty if the line has none.
    #[serde(default)]
    pub event: String,
    /// Message for human readers.
    #[serde(default)]
    pub message: String,
    /// All other fields.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

/// Fields that say where in the program a line was logged.
const LOCATION_FIELDS: [&str; 2] = ["level", "target"];

impl LogLine {
    /// Parses a line; `None` if it is not in the log format of this project.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        // A log collector may have put a prefix before the JSON object.
        let text = &text[text.find('{')?..];
        let line: LogLine = serde_json::from_str(text).ok()?;
        line.unix_time()?;
        Some(line)
    }

    /// Wall-clock time since the Unix epoch.
    #[must_use]
    pub fn unix_time(&self) -> Option<Duration> {
        let time = humantime::parse_rfc3339(&self.time).ok()?;
        time.duration_since(SystemTime::UNIX_EPOCH).ok()
    }

    /// Whether the value of a field is this id.
    #[must_use]
    pub fn mentions(&self, id: &str) -> bool {
        self.fields.values().any(|value| value.as_str() == Some(id))
    }

    /// The value of a field that holds a string.
    #[must_use]
    pub fn str_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// The host part of a field that holds an address, without its port.
    #[must_use]
    pub fn host_field(&self, field: &str) -> Option<&str> {
        let address = self.str_field(field)?;
        Some(address.rsplit_once(':').map_or(address, |(host, _)| host))
    }

    /// All fields but the location, as `name=value`.
    #[must_use]
    pub fn inputs(&self) -> String {
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !LOCATION_FIELDS.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        fields.join(" ")
    }
}
