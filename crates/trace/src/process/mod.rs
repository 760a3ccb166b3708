//! What lasts as long as a process that wrote lines.

mod clock;
mod reader;
mod run;

pub use reader::Reader;
pub use run::Run;
