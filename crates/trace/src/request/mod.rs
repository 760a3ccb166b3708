//! What lasts for one question: lines and the timeline of an id.

mod line;
mod timeline;

pub use line::Line;
pub(crate) use timeline::DECISIVE;
pub use timeline::{Around, Entry, Timeline};
