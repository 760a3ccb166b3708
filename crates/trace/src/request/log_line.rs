//! One log line.

use std::time::{Duration, SystemTime};

use serde::Deserialize;
use serde_json::{Map, Value};

/// One log line of a process.
#[derive(Debug, Clone, Deserialize)]
pub struct LogLine {
    /// Time of day in RFC 3339; it may be stepped.
    time: String,
    /// Milliseconds since the process started, by the steady clock.
    pub up_ms: Option<u64>,
    /// The kind of line.
    #[serde(default)]
    pub event: String,
    /// What happened, for people.
    #[serde(default)]
    pub message: String,
    /// Everything else.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

/// Fields that say where in the program a line was written.
const PLACE: [&str; 2] = ["level", "target"];

impl LogLine {
    /// Reads a line; `None` if it is not one of this project.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        // A collector may have put a prefix before the object.
        let text = &text[text.find('{')?..];
        let line: LogLine = serde_json::from_str(text).ok()?;
        line.wall()?;
        Some(line)
    }

    /// Time of day since the Unix epoch.
    #[must_use]
    pub fn wall(&self) -> Option<Duration> {
        let time = humantime::parse_rfc3339(&self.time).ok()?;
        time.duration_since(SystemTime::UNIX_EPOCH).ok()
    }

    /// Whether a field has this value.
    #[must_use]
    pub fn concerns(&self, id: &str) -> bool {
        self.fields.values().any(|value| value.as_str() == Some(id))
    }

    /// The text of a field.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// The host in a field that holds an address.
    #[must_use]
    pub fn host(&self, field: &str) -> Option<&str> {
        let address = self.text(field)?;
        Some(address.rsplit_once(':').map_or(address, |(host, _)| host))
    }

    /// The inputs of the decision, as `name=value`.
    #[must_use]
    pub fn inputs(&self) -> String {
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !PLACE.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        fields.join(" ")
    }
}
