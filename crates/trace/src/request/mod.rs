//! What lasts for one question: lines and the timeline of an id.

mod log_line;
mod timeline;

pub use log_line::LogLine;
pub(crate) use timeline::DECISIVE;
pub use timeline::{ContextWindow, Timeline, TimelineEntry};
