//! Results for people and for scripts.

use std::{
    fmt::Display,
    io::{Write, stderr, stdout},
};

use comfy_table::{Table, presets::NOTHING};
use serde::Serialize;

use crate::error::Result;

/// How results are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Tables for people.
    Table,
    /// JSON for scripts.
    Json,
}

/// A result that has a form for people besides its JSON.
pub trait Report: Serialize {
    /// The form for people, without a line feed at its end.
    fn text(&self) -> String;
}

/// Where results and messages go.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    pub format: Format,
}

impl Output {
    /// Writes the result of a command to the standard output.
    pub fn result(self, report: &impl Report) -> Result<()> {
        let text = match self.format {
            Format::Table => report.text(),
            Format::Json => serde_json::to_string_pretty(report)?,
        };
        Ok(writeln!(stdout(), "{text}")?)
    }

    /// Writes a failure for scripts; people have its message.
    pub fn failure(self, report: &impl Serialize) -> Result<()> {
        if self.format == Format::Json {
            writeln!(stdout(), "{}", serde_json::to_string_pretty(report)?)?;
        }
        Ok(())
    }
}

/// Writes a message to the standard error.
pub fn message(message: impl Display) {
    // The exit status still says how the command ended.
    let _ = writeln!(stderr(), "{message}");
}

/// A table without borders.
pub fn table<R>(head: &[&str], rows: impl IntoIterator<Item = R>) -> String
where
    R: IntoIterator<Item = String>,
{
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(head);
    for row in rows {
        table.add_row(row.into_iter());
    }
    let lines: Vec<String> = table.lines().map(|l| l.trim().to_owned()).collect();
    lines.join("\n")
}
