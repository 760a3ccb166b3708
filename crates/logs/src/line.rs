//! Encodes log records as JSON lines.

use std::{
    collections::BTreeMap,
    sync::LazyLock,
    time::{Instant, SystemTime},
};

use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

/// Time of the first use, which is when [`init`](crate::init) is called.
static START_TIME: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Sets the origin of `up_ms`, unless it is set already.
pub(crate) fn init_start_time() {
    LazyLock::force(&START_TIME);
}

/// The kind of a record: its `event`, or its target if it has none.
pub(crate) fn kind(record: &Record<'_>) -> String {
    let event = record.key_values().get(Key::from_str("event"));
    event.map_or_else(|| record.target().to_owned(), |event| event.to_string())
}

/// Encodes a record as a line.
pub(crate) fn encode_record(record: &Record<'_>) -> String {
    let mut line = common_fields(record.level().as_str(), record.target());
    line.insert("message".into(), record.args().to_string().into());
    // A field whose value cannot be read is omitted from the line.
    let _ = record.key_values().visit(&mut JsonFields(&mut line));
    encode_line(line)
}

/// Encodes a line that reports how many lines of each kind were suppressed.
pub(crate) fn encode_suppressed(suppressed: &BTreeMap<String, u64>) -> String {
    let mut line = common_fields("WARN", "logs");
    line.insert("event".into(), "lines_left_out".into());
    line.insert("message".into(), "log lines were suppressed".into());
    let counts = suppressed.iter();
    let counts: Map<String, Json> = counts
        .map(|(kind, count)| (kind.clone(), (*count).into()))
        .collect();
    line.insert("counts".into(), Json::Object(counts));
    encode_line(line)
}

fn common_fields(level: &str, target: &str) -> Map<String, Json> {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = Map::new();
    let up_ms = START_TIME.elapsed().as_millis();
    line.insert("time".into(), time.to_string().into());
    line.insert(
        "up_ms".into(),
        u64::try_from(up_ms).unwrap_or(u64::MAX).into(),
    );
    line.insert("level".into(), level.into());
    line.insert("target".into(), target.into());
    line
}

fn encode_line(line: Map<String, Json>) -> String {
    let mut text = Json::Object(line).to_string();
    text.push('\n');
    text
}

/// Inserts the key-value pairs of a record into a JSON object.
struct JsonFields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
