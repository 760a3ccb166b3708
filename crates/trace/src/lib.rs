//! What the log lines of several processes say of one flow or request.
//!
//! Each process writes JSON lines in its own order and by its own clock. A
//! [`LogCollection`] collects them, splits each source into the [`Incarnation`]s of its
//! process, and finds the runs whose time of day is wrong: within a run, lines
//! are ordered by the steady clock (`up_ms`), and between runs a line that
//! sends something comes before the line that receives it. The [`Timeline`] of
//! an id is in that order, so a clock that was stepped does not spoil it.
//!
//! ```
//! let balancer = concat!(
//!     r#"{"time":"2026-12-04T10:00:00.000Z","up_ms":0,"event":"started","role":"Balancer","ip":"192.0.2.1"}"#, "\n",
//!     r#"{"time":"2026-12-04T10:00:01.000Z","up_ms":1000,"event":"placed","flow":"F","copy":0,"agent":"192.0.2.9:7082"}"#, "\n",
//! );
//! // Three seconds behind, and the flow seems to arrive before it was sent.
//! let agent = concat!(
//!     r#"{"time":"2026-12-04T09:59:57.000Z","up_ms":0,"event":"started","role":"Agent","ip":"192.0.2.9"}"#, "\n",
//!     r#"{"time":"2026-12-04T09:59:58.001Z","up_ms":1001,"event":"opened","flow":"F","copy":0}"#, "\n",
//! );
//! let mut logs = trace::LogCollection::default();
//! logs.read_source("agent", agent.as_bytes())?;
//! logs.read_source("balancer", balancer.as_bytes())?;
//! let timeline = logs.timeline("F", trace::ContextWindow::default());
//! let events = timeline.entries.iter().filter(|entry| entry.concerns);
//! let events: Vec<&str> = events.map(|entry| entry.event.as_str()).collect();
//! assert_eq!(events, ["placed", "opened"]);
//! # Ok::<(), trace::Error>(())
//! ```

mod error;
mod process;
mod request;

pub use error::{Error, Result};
pub use process::{Incarnation, LogCollection};
pub use request::{ContextWindow, LogLine, Timeline, TimelineEntry};
