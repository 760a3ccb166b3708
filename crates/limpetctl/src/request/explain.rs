//! The timeline of a flow or request, from the logs of several processes.

use std::{fmt::Write, fs::File, io::stdin, path::Path};

use serde::Serialize;
use trace::{ContextWindow, LogCollection, Timeline};

use crate::{
    error::{Error, Result},
    process::{Exit, ExplainArgs, Output, Report, STDIN_NAME, table},
};

/// A timeline and its outcome.
#[derive(Debug, Serialize)]
struct ExplainView {
    id: String,
    outcome: String,
    #[serde(flatten)]
    timeline: Timeline,
}

impl Report for ExplainView {
    fn text(&self) -> String {
        let entries = self.timeline.entries.iter();
        let rows = entries.map(|entry| {
            [
                if entry.concerns { "*" } else { "" }.to_owned(),
                format!("{} ms", entry.at_ms),
                entry.process.clone(),
                entry.event.clone(),
                entry.message.clone(),
                entry.inputs.clone(),
            ]
        });
        let mut text = table(&["", "AT", "PROCESS", "EVENT", "MESSAGE", "INPUTS"], rows);
        for (process, shift) in &self.timeline.corrected {
            // Writing to a string cannot fail.
            let _ = write!(text, "\nclock of {process} corrected by {shift} ms");
        }
        if !self.timeline.left_out.is_empty() {
            let kinds = self.timeline.left_out.join(", ");
            let _ = write!(
                text,
                "\nlog lines suppressed at that time, by event: {kinds}"
            );
        }
        let _ = write!(text, "\noutcome: {}", self.outcome);
        text
    }
}

pub fn run(args: &ExplainArgs, out: Output) -> Result<Exit> {
    let mut logs = LogCollection::default();
    for file in &args.files {
        read_file(&mut logs, file)?;
    }
    let window = ContextWindow {
        margin: args.around,
    };
    let timeline = logs.timeline(&args.id, window);
    if timeline.entries.is_empty() {
        return Err(Error::NoLogLines {
            id: args.id.clone(),
            unrecognized_lines: logs.unrecognized_lines(),
        });
    }
    out.write_result(&ExplainView {
        id: args.id.clone(),
        outcome: timeline.outcome(),
        timeline,
    })?;
    Ok(Exit::Done)
}

fn read_file(logs: &mut LogCollection, file: &Path) -> Result<()> {
    if file.as_os_str() == STDIN_NAME {
        return Ok(logs.read_source(STDIN_NAME, stdin().lock())?);
    }
    let name = file.file_stem().unwrap_or(file.as_os_str());
    let name = name.to_string_lossy();
    let source = File::open(file).map_err(|source| trace::Error {
        source_name: file.display().to_string(),
        source,
    })?;
    Ok(logs.read_source(&name, source)?)
}
