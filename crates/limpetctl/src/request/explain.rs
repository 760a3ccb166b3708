//! The timeline of a flow or request and groups of failures, from the logs of several
//! processes.

use std::{fmt::Write, fs::File, io::stdin, path::Path};

use serde::Serialize;
use trace::{ContextWindow, FailureGroup, FailureGroups, LogCollection, Timeline};

use crate::{
    error::{Error, Result},
    process::{Exit, ExplainArgs, Output, Report, STDIN_NAME, table},
};

/// A timeline and its outcome.
#[derive(Debug, Serialize)]
struct ExplainView {
    id: String,
    outcome: String,
    /// The group of failures that the flow or request belongs to.
    #[serde(skip_serializing_if = "Option::is_none")]
    group: Option<FailureGroup>,
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
        if let Some(group) = &self.group {
            let _ = write!(
                text,
                "\n{} of the refusals and resets in these logs, {} %, have this cause, agent, \
                 route and second (callers: {}, largest: {})",
                group.failures,
                group.percent,
                group.callers,
                describe_largest_caller(group)
            );
        }
        text
    }
}

/// The caller with the most failures of a group and their number.
fn describe_largest_caller(group: &FailureGroup) -> String {
    let largest = group.largest_caller.as_ref();
    largest.map_or_else(String::new, |caller| {
        format!("{} ({})", caller.address, caller.failures)
    })
}

/// Number of groups in the text form; the JSON form has all of them.
const MAX_TEXT_GROUPS: usize = 30;

/// Refusals and resets by what they share.
#[derive(Debug, Serialize)]
struct GroupsView(FailureGroups);

impl Report for GroupsView {
    fn text(&self) -> String {
        let groups = &self.0.groups;
        let mut text = format!("refused or reset: {}", self.0.failures);
        if !groups.is_empty() {
            let rows = groups.iter().take(MAX_TEXT_GROUPS).map(|group| {
                [
                    format!("{} %", group.percent),
                    group.failures.to_string(),
                    group.callers.to_string(),
                    describe_largest_caller(group),
                    group.key.cause.clone(),
                    group.key.agent.clone(),
                    group.key.route.clone(),
                    group.key.second.clone(),
                ]
            });
            let head = [
                "SHARE", "FAILURES", "CALLERS", "LARGEST", "CAUSE", "AGENT", "ROUTE", "SECOND",
            ];
            text = format!("{}\n{text}", table(&head, rows));
        }
        let more = groups.len().saturating_sub(MAX_TEXT_GROUPS);
        if more > 0 {
            let _ = write!(text, ", {more} smaller groups are not shown");
        }
        if self.0.left_out > 0 {
            let _ = write!(
                text,
                "\nlog lines on failures suppressed: {}",
                self.0.left_out
            );
        }
        text
    }
}

pub fn run(args: &ExplainArgs, out: Output) -> Result<Exit> {
    let mut logs = LogCollection::default();
    for file in args.files.iter().chain(&args.groups) {
        read_file(&mut logs, file)?;
    }
    let groups = logs.failure_groups();
    let Some(id) = &args.id else {
        out.write_result(&GroupsView(groups))?;
        return Ok(Exit::Done);
    };
    let window = ContextWindow {
        margin: args.around,
    };
    let timeline = logs.timeline(id, window);
    if timeline.entries.is_empty() {
        return Err(Error::NoLogLines {
            id: id.clone(),
            unrecognized_lines: logs.unrecognized_lines(),
        });
    }
    out.write_result(&ExplainView {
        id: id.clone(),
        outcome: timeline.outcome(),
        group: groups.group_of(id).cloned(),
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
