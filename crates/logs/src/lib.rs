//! Log lines in JSON, bounded in number, that never block the process.
//!
//! Each line is an object with `time`, `up_ms`, `level`, `target`, `message` and
//! the fields of the record; `event` names the kind of line, and `up_ms` is the
//! time since the process started by the steady clock, which is not stepped. Lines of one kind
//! beyond [`PER_SECOND`] in a second are left out, and so are lines that the
//! reader of the output does not take in time. What was left out is counted by
//! kind and told in a line of its own.
//!
//! ```
//! logs::init(logs::Output::Stdout);
//! log::info!(event = "started", port = 443; "listening");
//! ```

mod budget;
mod line;
mod output;

pub use budget::{Budget, PER_SECOND};
pub use output::{Output, init};
