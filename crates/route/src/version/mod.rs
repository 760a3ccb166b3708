//! What changes with a version: the table and the placement of buckets.

mod owners;
mod table;

pub use owners::Owners;
pub use table::Table;
