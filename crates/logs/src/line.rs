//! One line.

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

/// When the process started: the first use is at the start of the log.
static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Starts the clock of the lines, unless it runs already.
pub(crate) fn start_clock() {
    LazyLock::force(&STARTED);
}

/// The kind of a line: its `event`, or its target if it has none.
pub(crate) fn kind(record: &Record<'_>) -> String {
    let event = record.key_values().get(Key::from_str("event"));
    event.map_or_else(|| record.target().to_owned(), |event| event.to_string())
}

/// Writes a record as a line.
pub(crate) fn format(record: &Record<'_>) -> String {
    let mut line = start(record.level().as_str(), record.target());
    line.insert("message".into(), record.args().to_string().into());
    // A value that cannot be read is left out of the line.
    let _ = record.key_values().visit(&mut Fields(&mut line));
    finish(line)
}

/// Writes how many lines of each kind were left out.
pub(crate) fn format_left_out(left_out: &BTreeMap<String, u64>) -> String {
    let mut line = start("WARN", "logs");
    line.insert("event".into(), "lines_left_out".into());
    line.insert("message".into(), "log lines were left out".into());
    let counts = left_out.iter();
    let counts: Map<String, Json> = counts
        .map(|(kind, count)| (kind.clone(), (*count).into()))
        .collect();
    line.insert("counts".into(), Json::Object(counts));
    finish(line)
}

fn start(level: &str, target: &str) -> Map<String, Json> {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = Map::new();
    let up = STARTED.elapsed().as_millis();
    line.insert("time".into(), time.to_string().into());
    line.insert("up_ms".into(), u64::try_from(up).unwrap_or(u64::MAX).into());
    line.insert("level".into(), level.into());
    line.insert("target".into(), target.into());
    line
}

fn finish(line: Map<String, Json>) -> String {
    let mut text = Json::Object(line).to_string();
    text.push('\n');
    text
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
