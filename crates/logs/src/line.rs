//! Log lines in JSON.

use std::{
    io::{self, Write},
    time::SystemTime,
};

use env_logger::{Builder, Env, fmt::Formatter};
use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

/// Starts the log on standard error. `LIMPET_LOG` sets the level.
pub fn init() {
    Builder::from_env(Env::new().filter_or("LIMPET_LOG", "info"))
        .format(write_line)
        .init();
}

fn write_line(buf: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = Map::new();
    line.insert("time".into(), time.to_string().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    // A value that cannot be read is left out of the line.
    let _ = record.key_values().visit(&mut Fields(&mut line));
    writeln!(buf, "{}", Json::Object(line))
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
