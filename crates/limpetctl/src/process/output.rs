//! Output of results as tables or JSON.

use std::{
    fmt::Display,
    io::{Write, stderr, stdout},
};

use comfy_table::{Table, presets::NOTHING};
use serde::Serialize;

use crate::error::Result;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Tables for reading.
    Table,
    /// JSON for scripts.
    Json,
}

/// A result that can be written as text besides JSON.
pub trait Report: Serialize {
    /// The result as text, without a trailing line feed.
    fn text(&self) -> String;
}

/// Writes results to the standard output.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    pub format: Format,
}

impl Output {
    /// Writes the result of a command.
    pub fn write_result(self, report: &impl Report) -> Result<()> {
        let text = match self.format {
            Format::Table => report.text(),
            Format::Json => serde_json::to_string_pretty(report)?,
        };
        Ok(writeln!(stdout(), "{text}")?)
    }

    /// Writes a failure if the format is JSON; in the table format, the message
    /// on the standard error reports it.
    pub fn write_failure(self, report: &impl Serialize) -> Result<()> {
        if self.format == Format::Json {
            writeln!(stdout(), "{}", serde_json::to_string_pretty(report)?)?;
        }
        Ok(())
    }
}

/// Writes a message to the standard error.
pub fn print_stderr(message: impl Display) {
    // If this fails, the exit status still reports how the command ended.
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
