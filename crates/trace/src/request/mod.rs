//! Log lines, and the timeline that is built for one query.

mod failure_groups;
mod log_line;
mod timeline;

pub(crate) use failure_groups::route_of;
pub use failure_groups::{CallerFailures, FailureGroup, FailureGroups, FailureKey};
pub use log_line::LogLine;
pub(crate) use timeline::OUTCOME_EVENTS;
pub use timeline::{ContextWindow, Timeline, TimelineEntry};
