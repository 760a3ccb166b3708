//! State that a version of the configuration or of the membership sets.

mod class;
mod peers;
mod report;

pub(crate) use class::Class;
pub(crate) use peers::Peers;
pub use report::LoadReport;
