//! What lasts as long as a process that wrote lines.

mod clock;
mod collection;
mod run;

pub use collection::LogCollection;
pub use run::Run;
