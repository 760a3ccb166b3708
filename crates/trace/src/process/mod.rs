//! What lasts as long as a process that wrote lines.

mod clock;
mod collection;
mod incarnation;

pub use collection::LogCollection;
pub use incarnation::Incarnation;
