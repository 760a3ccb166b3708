//! Log lines, and the timeline that is built for one query.

mod log_line;
mod timeline;

pub use log_line::LogLine;
pub(crate) use timeline::OUTCOME_EVENTS;
pub use timeline::{ContextWindow, Timeline, TimelineEntry};
