//! Builds the timeline of a flow or request from the logs of several processes.
//!
//! Each process writes JSON lines in its own order and by its own clock. A
//! [`LogCollection`] reads them, splits each source into the [`Incarnation`]s of
//! its process, and corrects wall clocks that are wrong: lines of one
//! incarnation are ordered by the monotonic clock (`up_ms`), and a line that
//! reports a send comes before the line that reports its receipt in another
//! incarnation. The [`Timeline`] of an id has that order, so a wall clock that
//! was stepped does not change it. [`FailureGroups`] show which refusals and resets share
//! a cause.
//!
//! ```
//! let balancer = concat!(
//!     r#"{"time":"2026-12-04T10:00:00.000Z","up_ms":0,"event":"started","role":"Balancer","ip":"192.0.2.1"}"#, "\n",
//!     r#"{"time":"2026-12-04T10:00:01.000Z","up_ms":1000,"event":"placed","flow":"F","copy":0,"agent":"192.0.2.9:7082"}"#, "\n",
//! );
//! // The clock is three seconds behind: the flow seems to arrive before it is sent.
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
pub use request::{
    CallerFailures, ContextWindow, FailureGroup, FailureGroups, FailureKey, LogLine, Timeline,
    TimelineEntry,
};
