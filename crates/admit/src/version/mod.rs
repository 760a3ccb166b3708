//! What a version of the configuration or of the membership sets.

mod report;

pub use report::Report;
